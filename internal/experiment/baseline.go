package experiment

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

const (
	defaultBaselineSlots = 16
	relayBufferBytes     = 4096
	idleConnections      = 256
)

// baseline is a proxy of the plainest kind: endpoints in turn, a
// first-in-first-out queue before each, no tiers, no second try.
type baseline struct {
	groups map[string]*rotation // by model or service
	server *http.Server
	client *http.Client
	url    string
}

// rotation is the endpoints of one model or service in turn.
type rotation struct {
	next  atomic.Uint64
	lines []*line
}

// line is the queue before one endpoint. Goroutines that wait to send on a
// channel are served first in, first out.
type line struct {
	back    *back
	slots   chan struct{}
	mu      sync.Mutex
	drained bool
}

func (l *line) setDrained(v bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained = v
}

func (l *line) isDrained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drained
}

// pick takes the next endpoint that isn't drained.
func (r *rotation) pick() *line {
	for range r.lines {
		l := r.lines[r.next.Add(1)%uint64(len(r.lines))]
		if !l.isDrained() {
			return l
		}
	}
	return nil
}

// newBaseline starts the proxy before a fleet.
func newBaseline(f *fleet) (*baseline, error) {
	b := &baseline{groups: map[string]*rotation{}, client: newClient()}
	for _, back := range f.backs {
		r := b.groups[back.Serves]
		if r == nil {
			r = &rotation{}
			b.groups[back.Serves] = r
		}
		r.lines = append(r.lines, &line{back: back, slots: make(chan struct{}, orDefault(back.Slots, defaultBaselineSlots))})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the baseline")
	}
	b.url = "http://" + listener.Addr().String()
	b.server = newServer(b)
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// newClient returns a client that keeps many connections open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: 0, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
}

// ServeHTTP relays one request.
func (b *baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	target, path := b.route(r.URL.Path, body)
	l := target.pick()
	if l == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	case <-r.Context().Done():
		return
	}
	b.relay(w, r, l.back.URL+path, body)
}

// route finds the rotation by the path and the body's model.
func (b *baseline) route(path string, body []byte) (*rotation, string) {
	if rest, ok := strings.CutPrefix(path, "/services/"); ok {
		name, tail, _ := strings.Cut(rest, "/")
		return b.rotation(name), "/" + tail
	}
	for name, r := range b.groups {
		if strings.Contains(string(body[:min(len(body), 200)]), `"model":"`+name+`"`) {
			return r, path
		}
	}
	return &rotation{}, path
}

func (b *baseline) rotation(name string) *rotation {
	if r := b.groups[name]; r != nil {
		return r
	}
	return &rotation{}
}

// relay passes the answer on as it comes.
func (b *baseline) relay(w http.ResponseWriter, r *http.Request, url string, body []byte) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, url, strings.NewReader(string(body)))
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	req.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	resp, err := b.client.Do(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	if err := copyFlushing(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyFlushing copies until the end and flushes after each read.
func copyFlushing(w http.ResponseWriter, r io.Reader) error {
	buffer := make([]byte, relayBufferBytes)
	flusher := http.NewResponseController(w)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return errors.Wrap(werr, "write to the caller")
			}
			if ferr := flusher.Flush(); ferr != nil {
				return errors.Wrap(ferr, "flush to the caller")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read from the endpoint")
		}
	}
}

// CallerURLs is where callers send their requests.
func (b *baseline) CallerURLs() []string { return []string{b.url} }

// Drain takes an endpoint out of the rotation, or in again.
func (b *baseline) Drain(_ context.Context, endpoint string, undo bool) error {
	for _, r := range b.groups {
		for _, l := range r.lines {
			if l.back.Name == endpoint {
				l.setDrained(!undo)
				return nil
			}
		}
	}
	return &EndpointError{Name: endpoint}
}

// LoseDomain does nothing: the proxy has no part in a failure domain.
func (b *baseline) LoseDomain(context.Context, string) error { return nil }

// LoseControl does nothing: the proxy has no control.
func (b *baseline) LoseControl(context.Context) error { return nil }

// Submit does nothing: the proxy has no configuration.
func (b *baseline) Submit(context.Context, *ticket.Ticket) error { return nil }

// Revisions gives none.
func (b *baseline) Revisions(context.Context) (map[string]uint64, error) { return nil, nil }

// Close ends the proxy.
func (b *baseline) Close(context.Context) error { return b.server.Close() }
