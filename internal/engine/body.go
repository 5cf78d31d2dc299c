package engine

import (
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
)

// BodyError reports that a request body is not a single JSON object.
type BodyError struct {
	Cause error
}

func (e *BodyError) Error() string { return "body is not a JSON object: " + e.Cause.Error() }

func (e *BodyError) Unwrap() error { return e.Cause }

// Body is a JSON request body. Fields that are not set, unknown ones included,
// keep their values.
type Body struct {
	fields map[string]json.RawMessage
}

// ParseBody parses a JSON object; an error is a *BodyError. Of a duplicate key
// only the last value is kept, so that all readers, the engine included, see the
// same one.
func ParseBody(data []byte) (*Body, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, errors.WithStack(&BodyError{Cause: err})
	}
	if fields == nil {
		return nil, errors.WithStack(&BodyError{Cause: &FieldError{Field: "object"}})
	}
	return &Body{fields: fields}, nil
}

// FieldError reports a field that is missing or of the wrong type.
type FieldError struct {
	Field string
}

func (e *FieldError) Error() string { return "field " + e.Field + " is missing or of another type" }

// StringField returns a string field; ok is false if it is missing or not a string.
func (b *Body) StringField(name string) (value string, ok bool) {
	raw, found := b.fields[name]
	if !found || json.Unmarshal(raw, &value) != nil {
		return "", false
	}
	return value, true
}

// BoolField returns a boolean field, false if it is missing or not a boolean.
func (b *Body) BoolField(name string) bool {
	value := false
	if raw, found := b.fields[name]; found {
		_ = json.Unmarshal(raw, &value)
	}
	return value
}

// IntField returns an integer field; ok is false if it is missing or not an integer.
func (b *Body) IntField(name string) (value int, ok bool) {
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

// Raw returns the encoded value of a field, nil if it is missing.
func (b *Body) Raw(name string) json.RawMessage { return b.fields[name] }

// SetRaw sets a field to an encoded value.
func (b *Body) SetRaw(name string, value json.RawMessage) { b.fields[name] = value }

// SetIntField sets a field to an integer.
func (b *Body) SetIntField(name string, value int) {
	b.fields[name] = json.RawMessage(strconv.Itoa(value))
}

// Encode encodes the object as JSON.
func (b *Body) Encode() ([]byte, error) { return json.Marshal(b.fields) }

// Clone returns a copy whose fields can be set independently.
func (b *Body) Clone() *Body {
	fields := make(map[string]json.RawMessage, len(b.fields))
	for name, value := range b.fields {
		fields[name] = value
	}
	return &Body{fields: fields}
}
