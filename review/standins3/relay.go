package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// relay stands before the listener of a control host for the other hosts. It can let all channels that are open go
// silent for good; new ones work.
type relay struct {
	listener net.Listener
	target   string

	// silenceAt is how many bytes a caller sends on one channel until all open ones go silent, 0 for never. It happens once.
	silenceAt atomic.Int64
	onSilence func(channels int)

	mu    sync.Mutex
	pairs map[*relayed]bool
}

// relayed is a channel with its two halves.
type relayed struct {
	caller, host net.Conn
	silent       atomic.Bool
	received     atomic.Int64 // bytes from the caller
}

func newRelay(listen, target string) (*relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, pairs: map[*relayed]bool{}}
	go func() {
		for {
			caller, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(caller)
		}
	}()
	return r, nil
}

func (r *relay) serve(caller net.Conn) {
	host, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = caller.(*net.TCPConn).SetLinger(0)
		_ = caller.Close()
		return
	}
	p := &relayed{caller: caller, host: host}
	r.mu.Lock()
	r.pairs[p] = true
	r.mu.Unlock()
	go func() { p.copyTo(caller, host, nil) }()
	p.copyTo(host, caller, r)
}

// copyTo passes bytes on until the channel ends. A silent one is kept open, and what arrives is dropped.
// counting is the relay for the half that comes from the caller, nil for the other one.
func (p *relayed) copyTo(to, from net.Conn, counting *relay) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			if err != nil {
				return // the other half isn't told
			}
			continue
		}
		if counting != nil && counting.count(p, int64(n)) {
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// count counts what a caller has sent, and reports whether its channel has gone silent over it.
func (r *relay) count(p *relayed, bytes int64) bool {
	at := r.silenceAt.Load()
	if p.received.Add(bytes) < at || at == 0 || !r.silenceAt.CompareAndSwap(at, 0) {
		return false
	}
	r.onSilence(r.silence())
	return true
}

// forget drops all channels from the relay's list: they are of a process that has ended.
func (r *relay) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.pairs)
}

// silence lets all open channels go silent, and returns how many.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent.Store(true)
	}
	return len(r.pairs)
}
