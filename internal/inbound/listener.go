// Package inbound limits what the clients of an HTTP/1.1 server can hold: connections, and the memory of request
// heads. A head reaches the parser of net/http, where it takes many times its length, only once it is whole,
// within the limits and accounted for. While connections are scarce, those whose clients are silent are closed.
package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Options configures a Listener.
type Options struct {
	// MaxConnections is the number of open connections at most. Those beyond it wait in the kernel's accept queue.
	MaxConnections int
	// MaxHeadBytes returns the longest head of a request, with its request line, that is served. It is nil where heads
	// can't be read here, such as under TLS.
	MaxHeadBytes func() int
	// Memory limits the memory of heads. It is not nil if MaxHeadBytes isn't.
	Memory *HeadBudget
	// BodyMemory limits the memory of the bodies that handlers have read of open requests, in bytes; nil for no limit.
	BodyMemory *semaphore.Weighted
	// HeadTimeout is how long a head may take from its first byte, 0 if the connections have a timeout of their own.
	HeadTimeout time.Duration
	// OnRefused is called with a refusal of a head or connection; nil for none.
	OnRefused func(client net.Addr, reason error)
}

// Listener is a listener for an http.Server, which must use ConnState, ConnContext and Handler of the listener.
type Listener struct {
	net.Listener
	options   Options
	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once

	mu       sync.Mutex
	conns    map[*Conn]bool
	evicting int
}

// NewListener returns a listener that limits the connections of another one.
func NewListener(l net.Listener, o Options) *Listener {
	if o.OnRefused == nil {
		o.OnRefused = func(net.Addr, error) {}
	}
	return &Listener{Listener: l, options: o, slots: make(chan struct{}, o.MaxConnections), closed: make(chan struct{}), conns: map[*Conn]bool{}}
}

// Accept waits for room and then for a connection. If there is little room, it closes connections of silent clients.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.awaitSlot(); err != nil {
		return nil, err
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	c := &Conn{Conn: accepted, listener: l, since: time.Now()}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	l.makeRoom()
	return c, nil
}

// awaitSlot waits for room for a connection. The error is net.ErrClosed.
func (l *Listener) awaitSlot() error {
	select {
	case l.slots <- struct{}{}:
		return nil
	default:
	}
	ticker := time.NewTicker(evictionInterval)
	defer ticker.Stop()
	for {
		select {
		case l.slots <- struct{}{}:
			return nil
		case <-l.closed:
			return net.ErrClosed
		case <-ticker.C:
			l.makeRoom()
		}
	}
}

// remove forgets a closed connection.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	if c.isEvicted() {
		l.evicting--
	}
	l.mu.Unlock()
	<-l.slots
}

// Close closes the listener, but not its connections.
func (l *Listener) Close() (err error) {
	l.closeOnce.Do(func() {
		close(l.closed)
		err = l.Listener.Close()
	})
	return err
}

// ConnState tracks what clients do. It is the ConnState of the http.Server.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	c := unwrap(conn)
	switch {
	case c == nil:
	case state == http.StateActive:
		c.beginServing()
	case state == http.StateIdle:
		c.endServing()
	}
}

// ConnContext gives Handler access to the connection. It is the ConnContext of the http.Server.
func (l *Listener) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(conn))
}

type connKey struct{}

// unwrap returns the connection of a Listener, which may be under a TLS connection, nil if there is none.
func unwrap(conn net.Conn) *Conn {
	if c, ok := conn.(*Conn); ok {
		return c
	}
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		c, _ := secured.NetConn().(*Conn)
		return c
	}
	return nil
}
