package rpc

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// minSilence is how long a call that is cancelled must have waited for its answer to count as ended by silence.
const minSilence = 100 * time.Millisecond

// timeoutError is an error that may report a timeout, as those of net and context do.
type timeoutError interface {
	error
	Timeout() bool
}

// unsharedKey marks the context of a call that is sent on a connection of its own.
type unsharedKey struct{}

// Unshared returns a context for a call that HTTP1Client sends on a new connection, which no other call uses.
func Unshared(ctx context.Context) context.Context {
	return context.WithValue(ctx, unsharedKey{}, true)
}

// hostTransports sends the calls to each host over a transport of its own. A network failure can leave all connections to a
// host open and silent. So once a call has ended by silence, no further call uses a connection that was open then: the
// others would each cost a timeout of their own.
type hostTransports struct {
	newTransport func() *http.Transport
	unshared     *http.Transport // for calls marked by Unshared; nil if connections carry several calls at a time

	mu     sync.Mutex
	byHost map[string]*hostTransport
}

// hostTransport holds the connections to one host.
type hostTransport struct {
	*http.Transport
	usedAt time.Time
}

// HostTransports returns a round tripper that calls each host over a transport of its own, and replaces that once a call
// has ended by silence.
func HostTransports(newTransport func() *http.Transport) http.RoundTripper {
	return newHostTransports(newTransport)
}

func newHostTransports(newTransport func() *http.Transport) *hostTransports {
	return &hostTransports{newTransport: newTransport, byHost: map[string]*hostTransport{}}
}

// RoundTrip sends a request once. Errors are those of http.Transport.
func (t *hostTransports) RoundTrip(r *http.Request) (*http.Response, error) {
	host, startedAt := r.URL.Scheme+"://"+r.URL.Host, time.Now()
	transport := t.transport(host, startedAt)
	sender := transport.Transport
	if isUnshared, _ := r.Context().Value(unsharedKey{}).(bool); isUnshared && t.unshared != nil {
		sender = t.unshared
	}
	response, err := sender.RoundTrip(r)
	if err != nil {
		if isSilence(r.Context(), err) || r.Context().Err() != nil && time.Since(startedAt) >= minSilence {
			t.retire(host, transport)
		}
		return nil, err
	}
	response.Body = &watchedBody{ReadCloser: response.Body, onError: func(err error) {
		if isSilence(r.Context(), err) {
			t.retire(host, transport)
		}
	}}
	return response, nil
}

// isSilence reports whether a call failed since its answer, or a part of it, did not come in time.
func isSilence(ctx context.Context, err error) bool {
	return isTimeout(err) || isTimeout(context.Cause(ctx))
}

func isTimeout(err error) bool {
	var timeout timeoutError
	return errors.As(err, &timeout) && timeout.Timeout()
}

// transport returns the transport to a host. A new one replaces those that have not been used for idleTimeout.
func (t *hostTransports) transport(host string, now time.Time) *hostTransport {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.byHost[host]
	if current == nil {
		for other, unused := range t.byHost {
			if now.Sub(unused.usedAt) > idleTimeout {
				delete(t.byHost, other)
				unused.CloseIdleConnections()
			}
		}
		current = &hostTransport{Transport: t.newTransport()}
		t.byHost[host] = current
	}
	current.usedAt = now
	return current
}

// retire keeps further calls from the connections of a transport. Calls in progress end on them; those connections are
// closed when they become idle, as a transport does after CloseIdleConnections.
func (t *hostTransports) retire(host string, silent *hostTransport) {
	t.mu.Lock()
	if t.byHost[host] == silent {
		delete(t.byHost, host)
	}
	t.mu.Unlock()
	silent.CloseIdleConnections()
}

// CloseIdleConnections closes the idle connections to all hosts.
func (t *hostTransports) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.byHost {
		transport.CloseIdleConnections()
	}
}

// watchedBody reports the error that ends a body early.
type watchedBody struct {
	io.ReadCloser
	onError func(error)
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.onError(err)
	}
	return n, err
}
