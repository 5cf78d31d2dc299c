package rpc

import (
	"net"
	"sync"
)

// limitedListener accepts at most so many connections at a time; further ones
// wait in the kernel's queue.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// LimitListener bounds the open connections of a listener.
func LimitListener(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits for a free slot, then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, free: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close also ends an Accept that waits for a slot.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn gives its slot back when it is closed.
type limitedConn struct {
	net.Conn
	free func()
}

// Close frees the slot.
func (c *limitedConn) Close() error {
	c.free()
	return c.Conn.Close()
}
