// Command regression plays the regression set on the bench of the platform's users and
// prints, for each site, whether its gate passed, its score and the worth of each day,
// beside those of the last full score in the journal.
//
// Usage, from the repository's root:
//
//	regression --bench PROGRAM [--jobs N] [--why TEXT] SITE...
//
// The exit code is 1 if a gate failed or a score fell by more than the noise of the bench.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"os/exec"
	"strconv"
	"strings"
)

// noise is the change of a score up to which two runs of the same code differ.
const noise = 0.03

func main() {
	log.SetFlags(0)
	bench := flag.String("bench", "", "path of the bench")
	jobs := flag.Int("jobs", 4, "days played at the same time")
	why := flag.String("why", "regression set", "line for the journal")
	flag.Parse()
	if *bench == "" || flag.NArg() == 0 {
		flag.Usage()
		os.Exit(2)
	}
	passed := true
	for _, site := range flag.Args() {
		before, err := lastScore(journalFolder, siteName(site))
		if err != nil {
			log.Fatal(err)
		}
		if err := play(*bench, site, *jobs, *why); err != nil {
			log.Fatal(err)
		}
		now, err := lastScore(journalFolder, siteName(site))
		if err != nil {
			log.Fatal(err)
		}
		if now == nil || before != nil && now.ID == before.ID {
			log.Fatalf("%s: the bench left no full score in %s", site, journalFolder)
		}
		fmt.Print(compare(now, before))
		passed = passed && now.holds(before)
	}
	if !passed {
		os.Exit(1)
	}
}

// siteName returns the name of a site from the path of its file.
func siteName(path string) string {
	return strings.TrimSuffix(path[strings.LastIndex(path, "/")+1:], ".toml")
}

// play plays the standard days of a site. The bench writes the result to the journal.
func play(bench, site string, jobs int, why string) error {
	command := exec.Command(bench, "score", site, "--jobs", strconv.Itoa(jobs), "--why", why)
	command.Stderr = os.Stderr
	if err := command.Run(); err != nil {
		return fmt.Errorf("play %s: %w", site, err)
	}
	return nil
}

// compare returns a table of the days of a score beside an earlier one, nil for none.
func compare(now, before *score) string {
	var out strings.Builder
	earlier := map[string]day{}
	gate := map[bool]string{true: "gate passed", false: "gate FAILED"}
	fmt.Fprintf(&out, "%s %s: score %.3f%s, %s\n", now.Site, now.ID, now.Score, change(now.Score, before), gate[now.passed()])
	if before != nil {
		for _, d := range before.Days {
			earlier[d.Name] = d
		}
	}
	for _, d := range now.Days {
		line := fmt.Sprintf("  %-14s worth %.3f", d.Name, d.Worth)
		if old, ok := earlier[d.Name]; ok {
			line += fmt.Sprintf(" (%.3f)", old.Worth)
		}
		fmt.Fprintln(&out, line)
	}
	return out.String()
}

// change describes the difference to an earlier score.
func change(value float64, before *score) string {
	if before == nil {
		return ""
	}
	return fmt.Sprintf(" (%.3f in %s)", before.Score, before.ID)
}
