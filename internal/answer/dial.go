package answer

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// DialFunc opens connections, as DialContext of an http.Transport does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ScanHeads returns a function that opens connections on which the bytes of heads are checked. It is for an
// http.Transport under a Transport, which tells where an answer is to begin. Under TLS nothing is checked.
func ScanHeads(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &scannedConn{Conn: dialed, scanner: HeadScanner{state: scanEnd}}, nil
	}
}

// scannedConn is a connection whose answers begin with a head. It is read from a goroutine of its own.
type scannedConn struct {
	net.Conn

	mu      sync.Mutex
	scanner HeadScanner
}

// expectHead begins the check of a head: a request is about to be sent.
func (c *scannedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner = HeadScanner{}
}

// Read fails with a *HeadError if a head is malformed.
func (c *scannedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if malformed := c.scanner.Scan(p[:n]); malformed != nil {
		return 0, errors.WithStack(malformed)
	}
	return n, err
}
