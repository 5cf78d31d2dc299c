package experiment

import (
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// tcpRelay forwards TCP connections to one address until it is shut down. It
// simulates the loss of a host, which breaks all its connections at once.
type tcpRelay struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	openConns  map[net.Conn]struct{}
	isShutDown bool
}

// newTCPRelay starts a relay that listens on loopback.
func newTCPRelay(target string) (*tcpRelay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a TCP relay")
	}
	r := &tcpRelay{listener: listener, target: target, openConns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

func (r *tcpRelay) address() string { return r.listener.Addr().String() }

func (r *tcpRelay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(conn)
	}
}

// relay copies in both directions until one side ends, then closes both.
func (r *tcpRelay) relay(client net.Conn) {
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	if !r.track(client, upstream) {
		return
	}
	defer r.closeAndUntrack(client, upstream)
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{client, upstream}, {upstream, client}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// track registers open connections. If the relay is shut down, it closes them
// and returns false.
func (r *tcpRelay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.openConns[c] = struct{}{}
	}
	if r.isShutDown {
		r.closeConnections()
	}
	return !r.isShutDown
}

func (r *tcpRelay) closeAndUntrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(r.openConns, c)
	}
}

func (r *tcpRelay) closeConnections() {
	for c := range r.openConns {
		_ = c.Close()
		delete(r.openConns, c)
	}
}

// shutDown closes the listener and every connection; the relay can't be started
// again.
func (r *tcpRelay) shutDown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isShutDown = true
	_ = r.listener.Close()
	r.closeConnections()
}
