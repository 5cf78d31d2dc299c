package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// NewAttempt returns the request of one attempt with its body, for a client
// that speaks HTTP/2 alone. Such a client sends the body again on a fresh
// connection only if the peer has said that it did not take the request, as a
// peer that stops does for what crosses its goodbye.
func NewAttempt(ctx context.Context, method, target string, body []byte) (*http.Request, error) {
	open := func() io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }
	request, err := http.NewRequestWithContext(ctx, method, target, open())
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.GetBody = func() (io.ReadCloser, error) { return open(), nil }
	return request, nil
}
