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
	maxIdleConnsPerHost  = 256
)

// baselineProxy is the minimal proxy that the system is compared with:
// round-robin balancing, a FIFO queue per endpoint, no tiers and no retries.
type baselineProxy struct {
	balancers map[string]*roundRobin // by model or service
	server    *http.Server
	client    *http.Client
	url       string
}

// roundRobin balances over the endpoints of one model or service.
type roundRobin struct {
	next   atomic.Uint64
	queues []*endpointQueue
}

// endpointQueue limits the concurrent requests of one endpoint. It is FIFO
// because the runtime serves goroutines blocked on a channel send in order.
type endpointQueue struct {
	standin *standinServer
	slots   chan struct{}
	mu      sync.Mutex
	drained bool
}

func (q *endpointQueue) setDrained(v bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.drained = v
}

func (q *endpointQueue) isDrained() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.drained
}

// pick returns the queue of the next endpoint that isn't drained, or nil.
func (r *roundRobin) pick() *endpointQueue {
	for range r.queues {
		q := r.queues[r.next.Add(1)%uint64(len(r.queues))]
		if !q.isDrained() {
			return q
		}
	}
	return nil
}

func startBaseline(standins *standinServers) (*baselineProxy, error) {
	b := &baselineProxy{balancers: map[string]*roundRobin{}, client: newHTTPClient()}
	for _, server := range standins.servers {
		balancer := b.balancers[server.Serves]
		if balancer == nil {
			balancer = &roundRobin{}
			b.balancers[server.Serves] = balancer
		}
		balancer.queues = append(balancer.queues, &endpointQueue{standin: server, slots: make(chan struct{}, orDefault(server.Slots, defaultBaselineSlots))})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the baseline proxy")
	}
	b.url = "http://" + listener.Addr().String()
	b.server = newHTTPServer(b)
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// newHTTPClient returns a client that keeps many idle connections open.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: 0, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
}

// ServeHTTP forwards one request once its endpoint has a free slot.
func (b *baselineProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	balancer, path := b.route(r.URL.Path, body)
	queue := balancer.pick()
	if queue == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case queue.slots <- struct{}{}:
		defer func() { <-queue.slots }()
	case <-r.Context().Done():
		return
	}
	b.forward(w, r, queue.standin.URL+path, body)
}

// route selects the balancer by the service in the path or the model in the
// body, and returns the path to request at the endpoint.
func (b *baselineProxy) route(path string, body []byte) (*roundRobin, string) {
	if servicePath, ok := strings.CutPrefix(path, "/services/"); ok {
		name, rest, _ := strings.Cut(servicePath, "/")
		return b.balancerFor(name), "/" + rest
	}
	for name, balancer := range b.balancers {
		if strings.Contains(string(body[:min(len(body), 200)]), `"model":"`+name+`"`) {
			return balancer, path
		}
	}
	return &roundRobin{}, path
}

func (b *baselineProxy) balancerFor(name string) *roundRobin {
	if balancer := b.balancers[name]; balancer != nil {
		return balancer
	}
	return &roundRobin{}
}

// forward sends the request to the endpoint and streams the response back.
func (b *baselineProxy) forward(w http.ResponseWriter, r *http.Request, url string, body []byte) {
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

// copyFlushing copies until EOF and flushes after each read.
func copyFlushing(w http.ResponseWriter, r io.Reader) error {
	buffer := make([]byte, relayBufferBytes)
	flusher := http.NewResponseController(w)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return errors.Wrap(writeErr, "write the response to the caller")
			}
			if flushErr := flusher.Flush(); flushErr != nil {
				return errors.Wrap(flushErr, "flush the response to the caller")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the response of the endpoint")
		}
	}
}

// CallerURLs returns the URL of the proxy.
func (b *baselineProxy) CallerURLs() []string { return []string{b.url} }

// Drain excludes an endpoint from balancing, or includes it again.
func (b *baselineProxy) Drain(_ context.Context, endpoint string, undo bool) error {
	for _, balancer := range b.balancers {
		for _, queue := range balancer.queues {
			if queue.standin.Name == endpoint {
				queue.setDrained(!undo)
				return nil
			}
		}
	}
	return &EndpointError{Name: endpoint}
}

// FailDomain does nothing: the proxy belongs to no failure domain.
func (b *baselineProxy) FailDomain(context.Context, string) error { return nil }

// StopControlHosts does nothing: the proxy has no control hosts.
func (b *baselineProxy) StopControlHosts(context.Context) error { return nil }

// Submit does nothing: the proxy has no configuration.
func (b *baselineProxy) Submit(context.Context, *ticket.Ticket) error { return nil }

// Revisions returns nil: the proxy has no configuration.
func (b *baselineProxy) Revisions(context.Context) (map[string]uint64, error) { return nil, nil }

// Close stops the proxy and closes its connections.
func (b *baselineProxy) Close(context.Context) error { return b.server.Close() }
