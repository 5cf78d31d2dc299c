package ticket

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Plausible bounds of a class's durations. A value outside them suggests that
// the unit is wrong.
const (
	minFirstTokenTarget    = 5 * time.Millisecond // also for patience and deadline
	maxFirstTokenTarget    = 2 * time.Minute
	minBetweenTokensTarget = time.Millisecond
	maxBetweenTokensTarget = 5 * time.Second
	maxPatience            = 4 * time.Hour
	maxDeadline            = 24 * time.Hour
)

// Bounds of the other fields.
const (
	maxShare                 = 1_000
	maxOutputTokens          = 1_000_000
	maxKeyHashesPerWorkspace = 16
	maxLimitValue            = 1_000_000_000
	keyHashHexDigits         = 64 // SHA-256
)

// emptyKeyHash is the SHA-256 of empty input: the key was lost before it was
// hashed.
const emptyKeyHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

func (c *checker) checkClasses() {
	tiers := map[Tier]bool{}
	for _, name := range c.sortedNames(KindClass) {
		class := c.after.Classes[name]
		tiers[class.Tier] = true
		c.checkClass(objectPath(KindClass, name), class)
	}
	if len(c.after.Classes) > 1 && len(tiers) == 1 {
		c.addFault(wholeTicket, "class.tier", "all classes would be in one tier, so none would give way to another",
			"put the classes that can wait into a lower tier (a larger number)")
	}
}

func (c *checker) checkClass(object string, class Class) {
	if class.Tier < 1 || class.Tier > MaxTier {
		c.addFault(object, "tier", "tier "+strconv.Itoa(int(class.Tier))+" does not exist",
			"use 1 (highest) to "+strconv.Itoa(int(MaxTier)))
	}
	firstTokenOK := c.checkDuration(object, "first_token_target", class.FirstTokenTarget, minFirstTokenTarget, maxFirstTokenTarget)
	betweenTokensOK := class.BetweenTokensTarget != 0 &&
		c.checkDuration(object, "between_tokens_target", class.BetweenTokensTarget, minBetweenTokensTarget, maxBetweenTokensTarget)
	patienceOK := c.checkDuration(object, "patience", class.Patience, minFirstTokenTarget, maxPatience)
	deadlineOK := c.checkDuration(object, "deadline", class.Deadline, minFirstTokenTarget, maxDeadline)
	if firstTokenOK && betweenTokensOK && class.BetweenTokensTarget > class.FirstTokenTarget {
		c.addFault(object, "between_tokens_target", "larger than first_token_target", "check whether the two are swapped")
	}
	if firstTokenOK && patienceOK && class.Patience < class.FirstTokenTarget {
		c.addFault(object, "patience", "shorter than first_token_target, so requests would be refused while still on time",
			"set it to at least "+class.FirstTokenTarget.String())
	}
	if patienceOK && deadlineOK && class.Deadline <= class.Patience {
		c.addFault(object, "deadline", "not longer than patience, so an answer that starts late could never end in time",
			"set it to more than "+class.Patience.String())
	}
}

// checkDuration adds a fault unless d is set and within its bounds, and reports
// whether it is.
func (c *checker) checkDuration(object, field string, d Duration, low, high time.Duration) bool {
	remedy := "use " + low.String() + " to " + high.String()
	v := time.Duration(d)
	switch {
	case d == invalidDuration:
		c.addFault(object, field, "not a length of time", "write it with its unit, for example \"490ms\"")
	case v == 0:
		c.addFault(object, field, "missing", remedy)
	case v < 0:
		c.addFault(object, field, d.String()+" is negative", remedy)
	case v < low:
		c.addFault(object, field, d.String()+" is implausibly short; was the unit mistaken?", remedy)
	case v > high:
		c.addFault(object, field, d.String()+" is implausibly long"+unitHint(v, low, high), remedy)
	default:
		return true
	}
	return false
}

// unitHint completes the problem of a duration that is too long. It proposes a
// thousandth of v if that is within the bounds, because seconds may have been
// written for milliseconds.
func unitHint(v, low, high time.Duration) string {
	if meant := v / 1000; meant >= low && meant <= high {
		return "; was " + meant.String() + " meant?"
	}
	return "; was the unit mistaken?"
}

func (c *checker) checkWorkspaces() {
	hashOwners := make(map[string]string, len(c.after.Workspaces))
	for _, name := range c.sortedNames(KindWorkspace) {
		w := c.after.Workspaces[name]
		c.checkWorkspace(objectPath(KindWorkspace, name), w)
		c.checkKeyHashes(hashOwners, w)
	}
}

func (c *checker) checkWorkspace(object string, w Workspace) {
	if len(w.Classes) == 0 {
		c.addFault(object, "classes", "no class is allowed", "list at least one class")
	}
	c.checkDuplicates(object, "classes", w.Classes)
	for _, class := range w.Classes {
		c.checkReference(object, "classes", KindClass, class)
	}
	switch {
	case w.DefaultClass == "":
		c.addFault(object, "default_class", "missing", "name the class of requests that name none")
	case !slices.Contains(w.Classes, w.DefaultClass):
		c.addFault(object, "default_class", "class "+strconv.Quote(w.DefaultClass)+" is not among the workspace's classes",
			defaultClassRemedy(w.DefaultClass, w.Classes))
	}
	if w.Limit != "" {
		c.checkReference(object, "limit", KindLimit, w.Limit)
	}
	if w.Share < 1 || w.Share > maxShare {
		c.addFault(object, "share", "share "+strconv.Itoa(w.Share)+" is out of bounds", "use 1 to "+strconv.Itoa(maxShare))
	}
}

func defaultClassRemedy(name string, classes []string) string {
	known := map[string]struct{}{}
	for _, class := range classes {
		known[class] = struct{}{}
	}
	if closest, found := closestName(name, known); found {
		return "did you mean " + strconv.Quote(closest) + "?"
	}
	return "add it to classes or name another"
}

// checkKeyHashes quotes no hash in a fault, since a malformed one could be the key
// itself.
func (c *checker) checkKeyHashes(hashOwners map[string]string, w Workspace) {
	objectPath := objectPath(KindWorkspace, w.Name)
	if n := len(w.KeyHashes); n == 0 || n > maxKeyHashesPerWorkspace {
		c.addFault(objectPath, "key_hashes", strconv.Itoa(n)+" key hashes", "list 1 to "+strconv.Itoa(maxKeyHashesPerWorkspace))
	}
	for i, hash := range w.KeyHashes {
		field := "key_hashes[" + strconv.Itoa(i) + "]"
		switch owner, found := hashOwners[hash]; {
		case !isValidKeyHash(hash):
			c.addFault(objectPath, field, "not a key hash (64 lower-case hex digits); if it is the key itself, treat that key as leaked",
				"make a new key with `trefoilkeel keys new` and paste its hash")
		case hash == emptyKeyHash:
			c.addFault(objectPath, field, "the hash of an empty key", "make a key with `trefoilkeel keys new`")
		case found && owner == w.Name:
			c.addFault(objectPath, field, "listed twice", "keep it once")
		case found:
			c.addFault(objectPath, field, "also belongs to workspace "+strconv.Quote(owner), "make a key of its own with `trefoilkeel keys new`")
		default:
			hashOwners[hash] = w.Name
		}
	}
}

// MayExposeKey reports whether a workspace has a key hash that is malformed. It
// could be the key itself, so such a ticket is always refused and must not be
// stored.
func (t *Ticket) MayExposeKey() bool {
	return slices.ContainsFunc(t.Workspaces, func(w Workspace) bool {
		return slices.ContainsFunc(w.KeyHashes, func(hash string) bool { return !isValidKeyHash(hash) })
	})
}

func isValidKeyHash(hash string) bool {
	if len(hash) != keyHashHexDigits {
		return false
	}
	for i := range len(hash) {
		if ch := hash[i]; (ch < '0' || ch > '9') && (ch < 'a' || ch > 'f') {
			return false
		}
	}
	return true
}

func (c *checker) checkModelsAndServices() {
	for _, name := range c.sortedNames(KindModel) {
		if n := c.after.Models[name].MaxOutputTokens; n < 1 || n > maxOutputTokens {
			c.addFault(objectPath(KindModel, name), "max_output_tokens", strconv.Itoa(n)+" is out of bounds",
				"use 1 to "+strconv.Itoa(maxOutputTokens))
		}
	}
	for _, name := range c.sortedNames(KindService) {
		if class := c.after.Services[name].Class; class != "" {
			c.checkReference(objectPath(KindService, name), "class", KindClass, class)
		}
	}
}

func (c *checker) checkLimits() {
	for _, name := range c.sortedNames(KindLimit) {
		l := c.after.Limits[name]
		objectPath := objectPath(KindLimit, name)
		c.checkLimitValue(objectPath, "requests_per_second", l.RequestsPerSecond)
		c.checkLimitValue(objectPath, "concurrency", l.Concurrency)
		c.checkLimitValue(objectPath, "tokens_per_second", l.TokensPerSecond)
		if l.RequestsPerSecond == 0 && l.Concurrency == 0 && l.TokensPerSecond == 0 {
			c.addFault(objectPath, "", "bounds nothing", "set at least one field, or remove the limit")
		}
	}
}

// checkLimitValue accepts 0, which means that the field was omitted.
func (c *checker) checkLimitValue(object, field string, v int) {
	if v == 0 {
		return
	}
	if v < 1 || v > maxLimitValue {
		c.addFault(object, field, "zero or out of bounds: it would refuse every request or bound nothing",
			"use 1 to "+strconv.Itoa(maxLimitValue)+", or leave the field out for no bound")
	}
}

func (c *checker) checkDuplicates(object, field string, names []string) {
	for _, name := range duplicates(names) {
		c.addFault(object, field, strconv.Quote(name)+" is listed twice", "keep it once")
	}
}

// maxPairwiseNames is the length up to which duplicates compares each pair of
// names instead of sorting them.
const maxPairwiseNames = 16

// duplicates returns each name that is equal to an earlier one.
func duplicates(names []string) []string {
	var repeated []string
	if len(names) <= maxPairwiseNames {
		for i, name := range names {
			if slices.Contains(names[:i], name) {
				repeated = append(repeated, name)
			}
		}
		return repeated
	}
	sorted := slices.Sorted(slices.Values(names))
	for i, name := range sorted[1:] {
		if name == sorted[i] {
			repeated = append(repeated, name)
		}
	}
	return repeated
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
