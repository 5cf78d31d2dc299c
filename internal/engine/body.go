package engine

import (
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
)

// BodyError says that a request body is not one JSON object.
type BodyError struct {
	Cause error
}

// Error gives the cause.
func (e *BodyError) Error() string { return "body is not a JSON object: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// Body is a JSON request body whose unknown fields are kept as they are.
type Body struct {
	fields map[string]json.RawMessage
}

// ParseBody reads a JSON object; an error is a *BodyError. Of a key given
// twice the last value stays, so that every reader sees the same one.
func ParseBody(data []byte) (*Body, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, errors.WithStack(&BodyError{Cause: err})
	}
	if fields == nil {
		return nil, errors.WithStack(&BodyError{Cause: &MissingError{Field: "object"}})
	}
	return &Body{fields: fields}, nil
}

// MissingError names a field that is missing or of another type.
type MissingError struct {
	Field string
}

// Error names the field.
func (e *MissingError) Error() string { return "field " + e.Field + " is missing or of another type" }

// Text returns a string field; ok is false if it is missing or no string.
func (b *Body) Text(name string) (value string, ok bool) {
	raw, found := b.fields[name]
	if !found || json.Unmarshal(raw, &value) != nil {
		return "", false
	}
	return value, true
}

// Flag returns a boolean field, false if it is missing.
func (b *Body) Flag(name string) bool {
	value := false
	if raw, found := b.fields[name]; found {
		_ = json.Unmarshal(raw, &value)
	}
	return value
}

// Number returns an integer field; ok is false if it is missing.
func (b *Body) Number(name string) (value int, ok bool) {
	raw, found := b.fields[name]
	if !found {
		return 0, false
	}
	value, err := strconv.Atoi(string(raw))
	return value, err == nil
}

// Has reports whether a field is present.
func (b *Body) Has(name string) bool {
	_, found := b.fields[name]
	return found
}

// Raw returns a field as it was written, nil if it is missing.
func (b *Body) Raw(name string) json.RawMessage { return b.fields[name] }

// Set replaces a field with an already encoded value.
func (b *Body) Set(name string, value json.RawMessage) { b.fields[name] = value }

// SetNumber replaces a field with an integer.
func (b *Body) SetNumber(name string, value int) {
	b.fields[name] = json.RawMessage(strconv.Itoa(value))
}

// Encode writes the object.
func (b *Body) Encode() ([]byte, error) { return json.Marshal(b.fields) }

// Clone returns a copy whose fields can be set apart.
func (b *Body) Clone() *Body {
	fields := make(map[string]json.RawMessage, len(b.fields))
	for name, value := range b.fields {
		fields[name] = value
	}
	return &Body{fields: fields}
}
