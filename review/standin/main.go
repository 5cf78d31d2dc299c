package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotShown = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(exitNotShown)
	}
	play := map[string]func(d *deployment, trouble bool) (broken bool, err error){"extra-answer": playExtraAnswer, "lost-departure": playLostDeparture}[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotShown)
	}
	os.Exit(playCase(play, os.Args[2]))
}

// playCase plays a case with a deployment of its own and returns the exit code.
func playCase(play func(d *deployment, trouble bool) (bool, error), folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotShown
	}
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotShown
	}
	defer d.close()
	broken, err := play(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.addf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotShown
	case broken:
		return exitBroken
	}
	return exitHeld
}

// newEndpoints returns an endpoint of the service in each zone.
func newEndpoints(d *deployment) ([]*endpoint, error) {
	var endpoints []*endpoint
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		e, err := newEndpoint(d, fmt.Sprintf("i-%d", i+1), zone, "127.0.0.1")
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
	}
	return endpoints, nil
}

// recordRequests adds what was sent, answered and run.
func recordRequests(d *deployment, c *callers, endpoints []*endpoint) {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, s := range c.all {
		lines = append(lines, line{s.at, fmt.Sprintf("request %s sent to %s, answered %d %s", s.id, s.entry.name, s.status, s.error)})
	}
	for _, e := range endpoints {
		for _, run := range e.allRuns() {
			lines = append(lines, line{run.at, fmt.Sprintf("endpoint %s runs %s", e.id, run.id)})
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	for _, l := range lines {
		d.record.addAt(l.at, "%s", l.text)
	}
}
