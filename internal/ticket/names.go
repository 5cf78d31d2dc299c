package ticket

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Length limits of names and texts.
const (
	maxNameBytes      = 63
	maxModelNameBytes = 128
	maxAuthorBytes    = 100
	maxSummaryBytes   = 500
)

// Limits of the search for the closest known name, which remedies suggest.
const (
	maxClosestNameSearches = 100 // per ticket
	maxEditDistance        = 3
)

// closestName returns the known name with the smallest edit distance to name,
// ignoring letter case, and the first in sorted order on a tie. The distance must be
// at most maxEditDistance and less than half the length of the longer name.
func closestName(name string, known map[string]struct{}) (string, bool) {
	best, distance := "", maxEditDistance+1
	if len(name) > maxModelNameBytes {
		return "", false
	}
	for _, candidate := range slices.Sorted(maps.Keys(known)) {
		d := editDistance(strings.ToLower(name), strings.ToLower(candidate))
		if d < distance && 2*d < max(len(candidate), len(name)) {
			best, distance = candidate, d
		}
	}
	return best, best != ""
}

// editDistance returns the Levenshtein distance of a and b in bytes. If their
// lengths differ by more than maxEditDistance, it returns maxEditDistance+1.
func editDistance(a, b string) int {
	if max(len(a)-len(b), len(b)-len(a)) > maxEditDistance {
		return maxEditDistance + 1
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

// nameProblem describes why an object's name is not allowed and how to correct
// it. Both results are empty for an allowed name.
func nameProblem(kind ObjectKind, name string) (problem, remedy string) {
	maxBytes := maxNameBytes
	allowedCharacters := "lower-case letters, digits, '-', '_' and '.'"
	if kind == KindModel {
		maxBytes = maxModelNameBytes
		allowedCharacters = "letters, digits, '-', '_', '.', ':' and '/'"
	}
	switch {
	case name == "":
		return "the name is missing", "give the " + kind.displayName() + " a name"
	case len(name) > maxBytes:
		return "the name is longer than " + strconv.Itoa(maxBytes) + " characters", "shorten it"
	case !hasValidNameCharacters(kind, name):
		return "the name has characters that are not allowed",
			"use " + allowedCharacters + ", and begin with a letter or a digit"
	}
	return "", ""
}

func hasValidNameCharacters(kind ObjectKind, name string) bool {
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

// isPrintable reports whether text contains no ASCII control character and no
// U+FFFD, which is also what ranging over invalid UTF-8 yields.
func isPrintable(text string) bool {
	for _, r := range text {
		if r < ' ' || r == 0x7f || r == '\uFFFD' {
			return false
		}
	}
	return true
}
