package document

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

// maxContent bounds an unpacked document, in bytes.
const maxContent = 64 << 20

// TooLongError says that a packed document is longer than any may be.
type TooLongError struct{}

// Error gives the bound.
func (e *TooLongError) Error() string { return "document: longer than 64 MiB" }

// Pack compresses a document for the log and for the way to the entries.
func Pack(content []byte) ([]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(content); err != nil {
		return nil, errors.Wrap(err, "pack document")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack document")
	}
	return packed.Bytes(), nil
}

// Unpack reverses Pack. Nothing is the packed form of nothing. The error is a
// *TooLongError or one of compress/gzip.
func Unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack document")
	}
	content, err := io.ReadAll(io.LimitReader(r, maxContent+1))
	if err == nil && len(content) > maxContent {
		err = &TooLongError{}
	}
	return content, errors.Wrap(err, "unpack document")
}
