package ticket

import (
	"bytes"
	"encoding/json"
	"math"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// DecodeError reports a ticket or state that can't be read.
type DecodeError struct {
	// Problems lists every unreadable or unknown key.
	Problems []string
}

// Error lists the problems.
func (e *DecodeError) Error() string {
	text := "cannot decode"
	for _, p := range e.Problems {
		text += "; " + p
	}
	return text
}

// unreadableDuration stands for a text that is no length of time, so that the
// rules can report it together with every other fault.
const unreadableDuration = Duration(math.MinInt64)

// UnmarshalText reads a duration such as "490ms". A text without a unit or
// otherwise unreadable becomes a value that Apply reports as a fault.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || string(text) == "0" {
		*d = unreadableDuration
		return nil
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String writes the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// EncodeTOML writes a ticket as an operator writes it.
func EncodeTOML(t *Ticket) ([]byte, error) {
	var text bytes.Buffer
	encoder := toml.NewEncoder(&text)
	encoder.Indent = ""
	if err := encoder.Encode(t); err != nil {
		return nil, errors.WithStack(err)
	}
	return text.Bytes(), nil
}

// Encode writes the ticket in its canonical form for the wire and the log.
func Encode(t *Ticket) ([]byte, error) { return json.Marshal(t) }

// Decode reads what Encode wrote and refuses unknown fields.
func Decode(data []byte) (*Ticket, error) {
	t := &Ticket{}
	if err := decodeStrict(data, t); err != nil {
		return nil, err
	}
	return t, nil
}

// EncodeState writes a configuration for the wire and for snapshots.
func EncodeState(s *State) ([]byte, error) { return json.Marshal(s) }

// DecodeState reads what EncodeState wrote.
func DecodeState(data []byte) (*State, error) {
	s := NewState()
	if err := decodeStrict(data, s); err != nil {
		return nil, err
	}
	return s, nil
}

func decodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.WithStack(&DecodeError{Problems: []string{err.Error()}})
	}
	if dec.More() {
		return errors.WithStack(&DecodeError{Problems: []string{"more data follows"}})
	}
	return nil
}
