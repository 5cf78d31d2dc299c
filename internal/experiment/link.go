package experiment

import (
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// link is a TCP path to one address that can be cut for good.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	lost  bool
}

// newLink starts a link on loopback.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a link")
	}
	l := &link{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(conn)
	}
}

// join copies both ways until one side ends.
func (l *link) join(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	if !l.keep(near, far) {
		return
	}
	defer l.forget(near, far)
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// keep notes the connections; it closes them if the link is lost.
func (l *link) keep(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
	if l.lost {
		l.closeAll()
	}
	return !l.lost
}

func (l *link) forget(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(l.conns, c)
	}
}

func (l *link) closeAll() {
	for c := range l.conns {
		_ = c.Close()
		delete(l.conns, c)
	}
}

// cut closes every connection and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
	_ = l.listener.Close()
	l.closeAll()
}
