package replica

import (
	"net"
	"sync"
	"time"
)

// linkReadBytes is the most that a connection of a link delivers at once.
const linkReadBytes = 16 << 10

// link is what a host receives over: slow, or with connections that go silent without being closed.
type link struct {
	bytesPerSecond int // 0 for no limit
	// silentAfter is after how many bytes on one connection all open ones go silent; 0 for never.
	silentAfter int64
	repeats     bool // the new connections go silent too; otherwise it happens once

	mu       sync.Mutex
	freeAt   time.Time // when the bytes before have been delivered
	open     map[*linkConn]bool
	silences int
}

// linkListener accepts connections over a link.
type linkListener struct {
	net.Listener
	link *link
}

func (l *linkListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: accepted, link: l.link}
	l.link.mu.Lock()
	defer l.link.mu.Unlock()
	if l.link.open == nil {
		l.link.open = map[*linkConn]bool{}
	}
	l.link.open[c] = true
	return c, nil
}

// linkConn is a connection over a link. The mutex of the link guards its fields.
type linkConn struct {
	net.Conn
	link     *link
	silent   bool
	received int64
}

// Read drops what arrives on a silent connection: the sender's kernel sees it acknowledged.
func (c *linkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p[:min(len(p), linkReadBytes)])
		if err != nil || !c.link.deliver(c, n) {
			return n, err
		}
	}
}

// deliver waits until the link has delivered n bytes, and reports whether the connection is silent.
func (l *link) deliver(c *linkConn, n int) (silent bool) {
	l.mu.Lock()
	c.received += int64(n)
	if l.silentAfter > 0 && c.received >= l.silentAfter && !c.silent && (l.repeats || l.silences == 0) {
		l.silences++
		for open := range l.open {
			open.silent = true
		}
		clear(l.open)
	}
	var delay time.Duration
	if l.bytesPerSecond > 0 {
		now := time.Now()
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
		delay = l.freeAt.Sub(now)
	}
	silent = c.silent
	l.mu.Unlock()
	time.Sleep(delay)
	return silent
}

func (c *linkConn) Write(p []byte) (int, error) {
	c.link.mu.Lock()
	silent := c.silent
	c.link.mu.Unlock()
	if silent {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
