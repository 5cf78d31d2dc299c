package directory

import (
	"strings"
	"time"
	"unicode/utf8"
)

const (
	// MaxNameBytes limits the length of an endpoint's ID and of each of its names, so that a full
	// Directory fits one message between hosts.
	MaxNameBytes = 255
	// MaxSlots limits the slots of an endpoint. Sums over a full Directory fit 64 bits.
	MaxSlots = 1 << 20
	// MaxInteger limits sequence numbers and start times. JSON numbers are exact up to it.
	MaxInteger = 1 << 53
	// MaxWarmup limits how long after its report an endpoint is still slow.
	MaxWarmup = 24 * time.Hour
	// MaxStartAhead is how far in the future an incarnation may have started. The clocks of
	// endpoints and hosts differ; a wrong time zone must not keep an endpoint out. A start later
	// than that would keep all further incarnations from the ID and the address.
	MaxStartAhead = 24 * time.Hour
)

// InvalidError reports a field of an endpoint that can't be used.
type InvalidError struct {
	Field string
}

func (e *InvalidError) Error() string { return "endpoint's " + e.Field + " can't be used" }

// CheckID returns an *InvalidError for an ID that can't be passed on in a message or header.
func CheckID(id string) error {
	if id == "" || strings.Contains(id, " ") || !isName(id) {
		return &InvalidError{Field: "ID"}
	}
	return nil
}

// Check returns an *InvalidError for an endpoint that no host may use or pass on.
func (e *Endpoint) Check() error {
	if err := CheckID(e.ID); err != nil {
		return err
	}
	for _, name := range []struct{ field, value string }{
		{"service", e.Service}, {"address", e.Address}, {"failure domain", e.FailureDomain}, {"version", e.Version},
	} {
		if !isName(name.value) {
			return &InvalidError{Field: name.field}
		}
	}
	switch {
	case e.State < Ready || e.State > Gone:
		return &InvalidError{Field: "state"}
	case e.Slots < 0 || e.Slots > MaxSlots:
		return &InvalidError{Field: "slots"}
	case e.StartedUnixMS < 0 || e.StartedUnixMS > MaxInteger:
		return &InvalidError{Field: "start"}
	case e.Sequence > MaxInteger:
		return &InvalidError{Field: "sequence number"}
	case e.State != Gone && !isAddress(e.Address):
		return &InvalidError{Field: "address"}
	}
	return nil
}

// CheckReport returns an *InvalidError for an endpoint whose report a host must not accept at now.
func (e *Endpoint) CheckReport(now time.Time) error {
	if e.WarmupEndsAt.Sub(now) > MaxWarmup {
		return &InvalidError{Field: "warmup"}
	}
	if err := CheckStart(e.StartedUnixMS, now); err != nil {
		return err
	}
	return e.Check()
}

// CheckStart returns an *InvalidError for the start of an incarnation that can't have reported at
// now. A start of 0 is not known.
func CheckStart(startedUnixMS int64, now time.Time) error {
	if startedUnixMS < 0 || startedUnixMS > now.Add(MaxStartAhead).UnixMilli() {
		return &InvalidError{Field: "start"}
	}
	return nil
}

// isName reports whether s is short enough, valid UTF-8 and without control characters.
func isName(s string) bool {
	if len(s) > MaxNameBytes || !utf8.ValidString(s) {
		return false
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
