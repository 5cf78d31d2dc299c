// Package engine contains the client that an agent uses to call its endpoint,
// which is either a model engine with an OpenAI-compatible HTTP API or another
// HTTP service, and the parsers for request bodies and event streams.
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

	"github.com/trefoilkeel/trefoilkeel/internal/answer"
	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
)

// HeaderRequestID carries the ID of the attempt to the endpoint. A response that
// echoes another ID belongs to another request.
const HeaderRequestID = "X-Request-Id"

// Limits of the connections to the endpoint.
const (
	maxIdleConns    = 64
	idleConnTimeout = 90 * time.Second
	dialTimeout     = 2 * time.Second
	maxHeaderBytes  = 64 << 10
)

// UnreachableError reports that the request was not sent to the endpoint.
type UnreachableError struct {
	Cause error
}

func (e *UnreachableError) Error() string { return "endpoint unreachable: " + e.Cause.Error() }

func (e *UnreachableError) Unwrap() error { return e.Cause }

// NoResponseError reports that the endpoint may have run the request but sent no response.
type NoResponseError struct {
	Cause error
}

func (e *NoResponseError) Error() string { return "endpoint gave no answer: " + e.Cause.Error() }

func (e *NoResponseError) Unwrap() error { return e.Cause }

// RequestIDMismatchError reports that the response belongs to another request.
type RequestIDMismatchError struct {
	Want, Got string
}

func (e *RequestIDMismatchError) Error() string {
	return "endpoint answered request " + e.Got + " instead of " + e.Want
}

// Call is a request to the endpoint.
type Call struct {
	ID         string // of the attempt
	Method     string
	RequestURI string // escaped, with the query
	Header     http.Header
	Body       []byte
}

// Client sends calls to one endpoint. It never retries a call.
type Client struct {
	baseURL    *url.URL
	httpClient *http.Client
}

// New returns a client for the endpoint at the base URL.
func New(base *url.URL) *Client {
	transport := &http.Transport{
		DialContext:            answer.ScanHeads((&net.Dialer{Timeout: dialTimeout}).DialContext),
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{baseURL: base, httpClient: &http.Client{Transport: &answer.Transport{Next: transport}, CheckRedirect: noRedirect}}
}

// noRedirect makes the HTTP client return a redirect as the response.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends the call once. The error is an *UnreachableError if no connection was
// made, else a *NoResponseError or a *RequestIDMismatchError. The caller must
// close the response body.
func (c *Client) Do(ctx context.Context, call *Call) (*http.Response, error) {
	trace := &dispatch.ConnTrace{}
	request, err := c.newRequest(trace.TraceContext(ctx), call)
	if err != nil {
		return nil, errors.WithStack(&UnreachableError{Cause: err})
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		if !trace.MayHaveSent() {
			return nil, errors.WithStack(&UnreachableError{Cause: err})
		}
		return nil, errors.WithStack(&NoResponseError{Cause: err})
	}
	if got := response.Header.Get(HeaderRequestID); got != "" && got != call.ID {
		_ = response.Body.Close()
		// The true response may follow. If this one had no body, its connection is idle by now.
		c.httpClient.CloseIdleConnections()
		return nil, errors.WithStack(&RequestIDMismatchError{Want: call.ID, Got: got})
	}
	return response, nil
}

// newRequest returns the HTTP request. The body is wrapped in a plain reader and
// GetBody is nil, so that net/http can't replay the request on a new connection,
// which it would do for a request with an Idempotency-Key header.
func (c *Client) newRequest(ctx context.Context, call *Call) (*http.Request, error) {
	target := c.baseURL.Scheme + "://" + c.baseURL.Host + call.RequestURI
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
