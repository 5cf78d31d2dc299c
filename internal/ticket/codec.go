package ticket

import (
	"bytes"
	"encoding/json"
	"math"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// DecodeError reports a ticket, configuration or snapshot that cannot be
// decoded.
type DecodeError struct {
	// Problems lists the malformed and unknown keys.
	Problems []string
}

// Error implements error.
func (e *DecodeError) Error() string {
	text := "cannot decode"
	for _, p := range e.Problems {
		text += "; " + p
	}
	return text
}

// invalidDuration represents text that is not a duration. Decoding goes on, so
// that Apply reports the field together with all other faults.
const invalidDuration = Duration(math.MinInt64)

// UnmarshalText parses a duration such as "490ms". Text that has no unit or
// cannot be parsed becomes a value that Apply reports as a fault.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || string(text) == "0" {
		*d = invalidDuration
		return nil
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String formats the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// EncodeTOML encodes a ticket in the format of ticket files.
func EncodeTOML(t *Ticket) ([]byte, error) {
	var text bytes.Buffer
	encoder := toml.NewEncoder(&text)
	encoder.Indent = ""
	if err := encoder.Encode(t); err != nil {
		return nil, errors.WithStack(err)
	}
	return text.Bytes(), nil
}

// Encode returns the ticket's canonical JSON form, used on the wire and in the
// log.
func Encode(t *Ticket) ([]byte, error) { return json.Marshal(t) }

// Decode decodes the output of Encode and rejects unknown fields.
func Decode(data []byte) (*Ticket, error) {
	t := &Ticket{}
	if err := decodeStrict(data, t); err != nil {
		return nil, err
	}
	return t, nil
}

// EncodeConfiguration encodes a configuration for the wire and for snapshots.
func EncodeConfiguration(c *Configuration) ([]byte, error) { return json.Marshal(c) }

// DecodeConfiguration decodes the output of EncodeConfiguration and rejects unknown
// fields.
func DecodeConfiguration(data []byte) (*Configuration, error) {
	c := NewConfiguration()
	if err := decodeStrict(data, c); err != nil {
		return nil, err
	}
	return c, nil
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
