package document

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

// maxContentBytes limits the size of a decompressed document.
const maxContentBytes = 64 << 20

// TooLargeError reports a document that exceeds the size limit once decompressed.
type TooLargeError struct{}

// Error includes the limit.
func (e *TooLargeError) Error() string { return "document: longer than 64 MiB" }

// Compress compresses a document for the replicated log and for its transfer to the
// entry hosts.
func Compress(content []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(content); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	return compressed.Bytes(), nil
}

// Decompress reverses Compress. Empty input gives empty content. An error wraps a
// *TooLargeError or one of compress/gzip.
func Decompress(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress document")
	}
	content, err := io.ReadAll(io.LimitReader(r, maxContentBytes+1))
	if err == nil && len(content) > maxContentBytes {
		err = &TooLargeError{}
	}
	return content, errors.Wrap(err, "decompress document")
}
