// Package engine is the client that an agent uses to reach its endpoint: a
// model engine with the OpenAI-compatible HTTP interface, or a plain service.
package engine

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
)

// HeaderRequestID carries the request's identity to the endpoint. An engine
// that echoes another identity has answered another request.
const HeaderRequestID = "X-Request-Id"

// Connection bounds towards the endpoint.
const (
	maxIdleConns   = 64
	idleTimeout    = 90 * time.Second
	dialTimeout    = 2 * time.Second
	maxHeaderBytes = 64 << 10
)

// UnreachableError says that the endpoint was never sent the request.
type UnreachableError struct {
	Cause error
}

// Error gives the cause.
func (e *UnreachableError) Error() string { return "endpoint unreachable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// BrokenError says that the endpoint may have run the request and gave no answer.
type BrokenError struct {
	Cause error
}

// Error gives the cause.
func (e *BrokenError) Error() string { return "endpoint gave no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// MismatchError says that the endpoint answered another request.
type MismatchError struct {
	Want, Got string
}

// Error gives both identities.
func (e *MismatchError) Error() string {
	return "endpoint answered request " + e.Got + " instead of " + e.Want
}

// Call is one request to the endpoint.
type Call struct {
	ID     string // identity of the attempt
	Method string
	Path   string // escaped path with its query
	Header http.Header
	Body   []byte
}

// Client sends calls to one endpoint. It never sends a call twice.
type Client struct {
	base *url.URL
	http *http.Client
}

// New returns a client for the endpoint at the base URL.
func New(base *url.URL) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{base: base, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect passes a redirect on as the endpoint's answer.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends the call once. The error is a *UnreachableError if no connection
// was made, else a *BrokenError or a *MismatchError. The caller closes the body.
func (c *Client) Do(ctx context.Context, call *Call) (*http.Response, error) {
	trace := &dispatch.ConnTrace{}
	request, err := c.request(trace.Watch(ctx), call)
	if err != nil {
		return nil, errors.WithStack(&UnreachableError{Cause: err})
	}
	response, err := c.http.Do(request)
	if err != nil {
		if !trace.Connected() {
			return nil, errors.WithStack(&UnreachableError{Cause: err})
		}
		return nil, errors.WithStack(&BrokenError{Cause: err})
	}
	if got := response.Header.Get(HeaderRequestID); got != "" && got != call.ID {
		_ = response.Body.Close()
		return nil, errors.WithStack(&MismatchError{Want: call.ID, Got: got})
	}
	return response, nil
}

// request builds the HTTP request. GetBody stays nil and the body is hidden
// behind a plain reader, so that net/http can't replay the request on a fresh
// connection; it would do so for one that carries an Idempotency-Key.
func (c *Client) request(ctx context.Context, call *Call) (*http.Request, error) {
	target := c.base.Scheme + "://" + c.base.Host + call.Path
	body := io.NopCloser(bytes.NewReader(call.Body))
	request, err := http.NewRequestWithContext(ctx, call.Method, target, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.Body))
	request.Header = http.Header{}
	maps.Copy(request.Header, call.Header.Clone())
	request.Header.Set(HeaderRequestID, call.ID)
	return request, nil
}
