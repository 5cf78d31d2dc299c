package ticket

import (
	"bytes"
	"encoding/json"
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

// UnmarshalText reads a duration such as "490ms"; a bare number is refused.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &DecodeError{Problems: []string{"duration " + string(text) + " needs a unit, for example 490ms"}}
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// DecodeTOML reads a ticket as an operator writes it. Every unknown key is
// reported in one *DecodeError.
func DecodeTOML(text []byte) (*Ticket, error) {
	t := &Ticket{}
	meta, err := toml.NewDecoder(bytes.NewReader(text)).Decode(t)
	if err != nil {
		return nil, errors.WithStack(&DecodeError{Problems: []string{err.Error()}})
	}
	var problems []string
	for _, key := range meta.Undecoded() {
		problems = append(problems, "unknown key "+key.String())
	}
	if len(problems) > 0 {
		return nil, errors.WithStack(&DecodeError{Problems: problems})
	}
	return t, nil
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
	return nil
}
