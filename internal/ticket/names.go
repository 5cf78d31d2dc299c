package ticket

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Bounds of names and texts, in bytes.
const (
	maxNameBytes      = 63
	maxModelNameBytes = 128
	maxAuthorBytes    = 100
	maxSummaryBytes   = 500
)

// Bounds of the search for the nearest known name.
const (
	maxHints    = 100 // searches for one ticket
	maxDistance = 3   // edits
)

// nearest returns the known name with the fewest edits from name, the first
// in order if several are as near.
func nearest(name string, known map[string]struct{}) (string, bool) {
	best, distance := "", maxDistance+1
	if len(name) > maxModelNameBytes {
		return "", false
	}
	for _, candidate := range slices.Sorted(maps.Keys(known)) {
		d := edits(strings.ToLower(name), strings.ToLower(candidate))
		if d < distance && 2*d < max(len(candidate), len(name)) {
			best, distance = candidate, d
		}
	}
	return best, best != ""
}

// edits is the Levenshtein distance, or more than maxDistance if the lengths
// differ by more.
func edits(a, b string) int {
	if max(len(a)-len(b), len(b)-len(a)) > maxDistance {
		return maxDistance + 1
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substituted := diagonal
			if a[i] != b[j] {
				substituted++
			}
			diagonal = row[j+1]
			row[j+1] = min(substituted, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}

// nameProblem says what is wrong with the name of an object, "" for nothing.
func nameProblem(kind Kind, name string) (problem, remedy string) {
	limit := maxNameBytes
	allowed := "lower-case letters, digits, '-', '_' and '.'"
	if kind == KindModel {
		limit = maxModelNameBytes
		allowed = "letters, digits, '-', '_', '.', ':' and '/'"
	}
	switch {
	case name == "":
		return "the name is missing", "give the " + kind.label() + " a name"
	case len(name) > limit:
		return "the name is longer than " + strconv.Itoa(limit) + " characters", "shorten it"
	case !validName(kind, name):
		return "the name has characters that are not allowed",
			"use " + allowed + ", and begin with a letter or a digit"
	}
	return "", ""
}

func validName(kind Kind, name string) bool {
	for i := range len(name) {
		ch := name[i]
		switch {
		case ch >= 'a' && ch <= 'z', ch >= '0' && ch <= '9':
		case ch >= 'A' && ch <= 'Z' && kind == KindModel:
		case i > 0 && (ch == '-' || ch == '_' || ch == '.'):
		case i > 0 && kind == KindModel && (ch == ':' || ch == '/'):
		default:
			return false
		}
	}
	return true
}

// printable reports whether a text has no control characters and is UTF-8.
func printable(text string) bool {
	for _, r := range text {
		if r < ' ' || r == 0x7f || r == '\uFFFD' {
			return false
		}
	}
	return true
}
