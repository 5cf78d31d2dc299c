package ticket

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Bounds of a class's times: outside them a unit was mistaken.
const (
	minFirstToken    = 5 * time.Millisecond
	maxFirstToken    = 2 * time.Minute
	minBetweenTokens = time.Millisecond
	maxBetweenTokens = 5 * time.Second
	maxPatience      = 4 * time.Hour
	maxDeadline      = 24 * time.Hour
)

// Bounds of the other fields.
const (
	maxShare        = 1_000
	maxOutputTokens = 1_000_000
	maxKeyHashes    = 16
	maxLimitValue   = 1_000_000_000
	keyHashBytes    = 64 // hex digits of SHA-256
)

// emptyKeyHash is the SHA-256 of no bytes: a key was lost on the way.
const emptyKeyHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

func (c *checker) checkClasses() {
	tiers := map[Tier]bool{}
	for _, name := range c.ordered(KindClass) {
		class := c.after.Classes[name]
		tiers[class.Tier] = true
		c.checkClass(object(KindClass, name), class)
	}
	if len(c.after.Classes) > 1 && len(tiers) == 1 {
		c.add(objectTicket, "class.tier", "all classes would be in one tier, so none would give way to another",
			"put the classes that can wait into a lower tier (a larger number)")
	}
}

func (c *checker) checkClass(object string, class Class) {
	if class.Tier < 1 || class.Tier > MaxTier {
		c.add(object, "tier", "tier "+strconv.Itoa(int(class.Tier))+" does not exist",
			"use 1 (highest) to "+strconv.Itoa(int(MaxTier)))
	}
	first := c.checkTime(object, "first_token_target", class.FirstTokenTarget, minFirstToken, maxFirstToken)
	between := class.BetweenTokensTarget != 0 &&
		c.checkTime(object, "between_tokens_target", class.BetweenTokensTarget, minBetweenTokens, maxBetweenTokens)
	patience := c.checkTime(object, "patience", class.Patience, minFirstToken, maxPatience)
	deadline := c.checkTime(object, "deadline", class.Deadline, minFirstToken, maxDeadline)
	if first && between && class.BetweenTokensTarget > class.FirstTokenTarget {
		c.add(object, "between_tokens_target", "larger than first_token_target", "check whether the two are swapped")
	}
	if first && patience && class.Patience < class.FirstTokenTarget {
		c.add(object, "patience", "shorter than first_token_target, so requests would be refused while still on time",
			"set it to at least "+class.FirstTokenTarget.String())
	}
	if patience && deadline && class.Deadline <= class.Patience {
		c.add(object, "deadline", "not longer than patience, so an answer that starts late could never end in time",
			"set it to more than "+class.Patience.String())
	}
}

// checkTime reports whether a time is present and inside its bounds.
func (c *checker) checkTime(object, field string, d Duration, low, high time.Duration) bool {
	remedy := "use " + low.String() + " to " + high.String()
	v := time.Duration(d)
	switch {
	case d == unreadableDuration:
		c.add(object, field, "not a length of time", "write it with its unit, for example \"490ms\"")
	case v == 0:
		c.add(object, field, "missing", remedy)
	case v < 0:
		c.add(object, field, d.String()+" is negative", remedy)
	case v < low:
		c.add(object, field, d.String()+" is implausibly short; was the unit mistaken?", remedy)
	case v > high:
		c.add(object, field, d.String()+" is implausibly long"+asMilliseconds(v, low, high), remedy)
	default:
		return true
	}
	return false
}

// asMilliseconds asks whether seconds were written for milliseconds.
func asMilliseconds(v, low, high time.Duration) string {
	if meant := v / 1000; meant >= low && meant <= high {
		return "; was " + meant.String() + " meant?"
	}
	return "; was the unit mistaken?"
}

func (c *checker) checkWorkspaces() {
	owners := make(map[string]string, len(c.after.Workspaces))
	for _, name := range c.ordered(KindWorkspace) {
		w := c.after.Workspaces[name]
		c.checkWorkspace(object(KindWorkspace, name), w)
		c.checkKeys(owners, w)
	}
}

func (c *checker) checkWorkspace(object string, w Workspace) {
	if len(w.Classes) == 0 {
		c.add(object, "classes", "no class is allowed", "list at least one class")
	}
	c.checkRepeats(object, "classes", w.Classes)
	for _, class := range w.Classes {
		c.reference(object, "classes", KindClass, class)
	}
	switch {
	case w.DefaultClass == "":
		c.add(object, "default_class", "missing", "name the class of requests that name none")
	case !slices.Contains(w.Classes, w.DefaultClass):
		c.add(object, "default_class", "class "+strconv.Quote(w.DefaultClass)+" is not among the workspace's classes",
			memberRemedy(w.DefaultClass, w.Classes))
	}
	if w.Limit != "" {
		c.reference(object, "limit", KindLimit, w.Limit)
	}
	if w.Share < 1 || w.Share > maxShare {
		c.add(object, "share", "share "+strconv.Itoa(w.Share)+" is out of bounds", "use 1 to "+strconv.Itoa(maxShare))
	}
}

func memberRemedy(name string, members []string) string {
	known := map[string]struct{}{}
	for _, m := range members {
		known[m] = struct{}{}
	}
	if near, found := nearest(name, known); found {
		return "did you mean " + strconv.Quote(near) + "?"
	}
	return "add it to classes or name another"
}

// checkKeys never shows an entry: it could be a key written for its hash.
func (c *checker) checkKeys(owners map[string]string, w Workspace) {
	object := object(KindWorkspace, w.Name)
	if n := len(w.KeyHashes); n == 0 || n > maxKeyHashes {
		c.add(object, "key_hashes", strconv.Itoa(n)+" key hashes", "list 1 to "+strconv.Itoa(maxKeyHashes))
	}
	for i, hash := range w.KeyHashes {
		field := "key_hashes[" + strconv.Itoa(i) + "]"
		switch owner, taken := owners[hash]; {
		case !validHash(hash):
			c.add(object, field, "not a key hash (64 lower-case hex digits); if it is the key itself, treat that key as leaked",
				"make a new key with `trefoilkeel keys new` and paste its hash")
		case hash == emptyKeyHash:
			c.add(object, field, "the hash of an empty key", "make a key with `trefoilkeel keys new`")
		case taken && owner == w.Name:
			c.add(object, field, "listed twice", "keep it once")
		case taken:
			c.add(object, field, "also belongs to workspace "+strconv.Quote(owner), "make a key of its own with `trefoilkeel keys new`")
		default:
			owners[hash] = w.Name
		}
	}
}

// MayExposeKey reports whether a ticket has something else in the place of a
// key hash. It could be the key itself: such a ticket is refused in any state,
// and must not be stored.
func (t *Ticket) MayExposeKey() bool {
	return slices.ContainsFunc(t.Workspaces, func(w Workspace) bool {
		return slices.ContainsFunc(w.KeyHashes, func(hash string) bool { return !validHash(hash) })
	})
}

func validHash(hash string) bool {
	if len(hash) != keyHashBytes {
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
	for _, name := range c.ordered(KindModel) {
		if n := c.after.Models[name].MaxOutputTokens; n < 1 || n > maxOutputTokens {
			c.add(object(KindModel, name), "max_output_tokens", strconv.Itoa(n)+" is out of bounds",
				"use 1 to "+strconv.Itoa(maxOutputTokens))
		}
	}
	for _, name := range c.ordered(KindService) {
		if class := c.after.Services[name].Class; class != "" {
			c.reference(object(KindService, name), "class", KindClass, class)
		}
	}
}

func (c *checker) checkLimits() {
	for _, name := range c.ordered(KindLimit) {
		l := c.after.Limits[name]
		object := object(KindLimit, name)
		c.checkLimit(object, "requests_per_second", l.RequestsPerSecond)
		c.checkLimit(object, "concurrency", l.Concurrency)
		c.checkLimit(object, "tokens_per_second", l.TokensPerSecond)
		if l.RequestsPerSecond == 0 && l.Concurrency == 0 && l.TokensPerSecond == 0 {
			c.add(object, "", "bounds nothing", "set at least one field, or remove the limit")
		}
	}
}

// checkLimit allows a field that was left out.
func (c *checker) checkLimit(object, field string, v int) {
	if v == 0 {
		return
	}
	if v < 1 || v > maxLimitValue {
		c.add(object, field, "zero or out of bounds: it would refuse every request or bound nothing",
			"use 1 to "+strconv.Itoa(maxLimitValue)+", or leave the field out for no bound")
	}
}

func (c *checker) checkRepeats(object, field string, names []string) {
	for _, name := range repeats(names) {
		c.add(object, field, strconv.Quote(name)+" is listed twice", "keep it once")
	}
}

// shortList is how many names are compared pair by pair.
const shortList = 16

// repeats returns each name that is equal to an earlier one.
func repeats(names []string) []string {
	var again []string
	if len(names) <= shortList {
		for i, name := range names {
			if slices.Contains(names[:i], name) {
				again = append(again, name)
			}
		}
		return again
	}
	sorted := slices.Sorted(slices.Values(names))
	for i, name := range sorted[1:] {
		if name == sorted[i] {
			again = append(again, name)
		}
	}
	return again
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
