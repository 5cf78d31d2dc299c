package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// NewAttemptRequest returns the HTTP request of an attempt, for a client that uses only
// HTTP/2. GetBody is set, so that the client can send the request again on a new
// connection. It does so only if the peer has not processed the request, which the
// GOAWAY frame of a peer that shuts down tells.
func NewAttemptRequest(ctx context.Context, method, target string, body []byte) (*http.Request, error) {
	newBody := func() io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }
	request, err := http.NewRequestWithContext(ctx, method, target, newBody())
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.GetBody = func() (io.ReadCloser, error) { return newBody(), nil }
	return request, nil
}
