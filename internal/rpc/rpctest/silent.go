// Package rpctest has servers whose connections go silent, for the tests of all clients that keep connections.
package rpctest

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
)

// SilentServer is a server whose open connections can go silent: they stay open and deliver nothing more.
type SilentServer struct {
	*httptest.Server
	listener *silentListener
}

// StartSilent starts a server that speaks HTTP/1.1 and unencrypted HTTP/2.
func StartSilent(t *testing.T, h http.Handler) *SilentServer {
	t.Helper()
	s := &SilentServer{Server: httptest.NewUnstartedServer(h)}
	s.listener = &silentListener{Listener: s.Server.Listener}
	s.Server.Listener = s.listener
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetHTTP1(true)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

// Silence makes the open connections go silent, and returns how many there are.
func (s *SilentServer) Silence() int {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	silenced := 0
	for _, c := range s.listener.open {
		if !c.closed && !c.silent {
			c.silent = true
			silenced++
		}
	}
	return silenced
}

// SilentUses returns on how many silent connections something was sent.
func (s *SilentServer) SilentUses() (uses int) {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for _, c := range s.listener.open {
		if c.usedSilent {
			uses++
		}
	}
	return uses
}

type silentListener struct {
	net.Listener
	mu   sync.Mutex
	open []*silentConn
}

func (l *silentListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: accepted, mu: &l.mu}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, c)
	return c, nil
}

// silentConn is a connection of a SilentServer. The mutex of the listener guards its flags.
type silentConn struct {
	net.Conn
	mu                         *sync.Mutex
	silent, usedSilent, closed bool
}

func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		silent := c.silent
		c.usedSilent = c.usedSilent || silent && n > 0
		c.mu.Unlock()
		if err != nil || !silent {
			return n, err
		}
	}
}

func (c *silentConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}
