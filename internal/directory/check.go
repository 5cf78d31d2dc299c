package directory

import (
	"strings"
	"unicode/utf8"
)

// MaxNameBytes limits the length of an endpoint's ID and of each of its names, so that a full
// Directory fits one message between hosts.
const MaxNameBytes = 255

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
	if e.State != Gone && !isAddress(e.Address) {
		return &InvalidError{Field: "address"}
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
