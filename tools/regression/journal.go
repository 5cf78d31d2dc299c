package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// journalFolder is where the bench writes an entry for each run.
const journalFolder = "journal"

// score is the journal entry of a score.
type score struct {
	ID    string   `json:"id"`
	Verb  string   `json:"cmd"`
	Args  []string `json:"argv"`
	Site  string   `json:"site"`
	Score float64  `json:"score"`
	Days  []day    `json:"days"`
}

// day is the result of one day.
type day struct {
	Name  string  `json:"name"`
	Worth float64 `json:"G"`
	Gate  bool    `json:"gate"`
}

// lastScore returns the newest full score of a site, nil for none. The names of the files
// begin with the time of the run.
func lastScore(folder, site string) (*score, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(files)
	for _, file := range slices.Backward(files) {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		// Entries of other verbs have other types in these fields.
		var verb struct {
			Verb string `json:"cmd"`
			Site string `json:"site"`
		}
		if err := json.Unmarshal(content, &verb); err != nil {
			return nil, fmt.Errorf("read %s: %w", file, err)
		}
		if verb.Verb != "score" || verb.Site != site {
			continue
		}
		s := &score{}
		if err := json.Unmarshal(content, s); err != nil {
			return nil, fmt.Errorf("read %s: %w", file, err)
		}
		if !slices.Contains(s.Args, "--quick") && !slices.Contains(s.Args, "--small") {
			return s, nil
		}
	}
	return nil, nil
}

// passed reports whether every day passed its gate.
func (s *score) passed() bool {
	return len(s.Days) > 0 && !slices.ContainsFunc(s.Days, func(d day) bool { return !d.Gate })
}

// holds reports whether the gate passed and the score is within the noise of an earlier
// one, nil for none, or better.
func (s *score) holds(before *score) bool {
	return s.passed() && (before == nil || s.Score >= before.Score-noise)
}
