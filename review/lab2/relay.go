package lab2

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// crossZoneDelay is the delay one way between zones.
const crossZoneDelay = 5400 * time.Microsecond

// How often the processes at the other ends of channels are looked up: all the while, and before channels go silent.
const (
	originTries    = 20
	originInterval = 500 * time.Millisecond
)

// relay passes on the channels to control hosts, so that the open ones can go silent.
type relay struct {
	lab       *Lab
	listeners []net.Listener

	mu       sync.Mutex
	channels map[*channel]bool
}

// channel is an open channel to a control host.
type channel struct {
	caller, called net.Conn
	from, to       *Machine // from is nil while the process at the other end is not known; guarded by relay.mu
	silent         bool
}

func newRelay(l *Lab) (*relay, error) {
	r := &relay{lab: l, channels: map[*channel]bool{}}
	for _, m := range l.Controls() {
		listener, err := net.Listen("tcp", m.Address(internalPort))
		if err != nil {
			return nil, err
		}
		r.listeners = append(r.listeners, listener)
		go r.accept(m, listener)
	}
	go func() {
		for {
			r.findOrigins()
			time.Sleep(originInterval)
		}
	}()
	return r, nil
}

func (r *relay) accept(to *Machine, listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return // closed
		}
		go r.open(caller, to)
	}
}

func (r *relay) open(caller net.Conn, to *Machine) {
	called, err := net.DialTimeout("tcp", to.Address(hostsPort), time.Second)
	if err != nil {
		_ = caller.(*net.TCPConn).SetLinger(0) // like a port without a listener
		_ = caller.Close()
		return
	}
	c := &channel{caller: caller, called: called, to: to}
	r.mu.Lock()
	r.channels[c] = true
	r.mu.Unlock()
	go r.forward(c, caller, called)
	r.forward(c, called, caller)
}

// findOrigins finds the machines at the other ends of all open channels. It returns for how many it has not.
func (r *relay) findOrigins() (unknown int) {
	owners := r.lab.socketOwners()
	inodes := socketInodes()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.channels {
		if c.from == nil {
			c.from = owners[inodes[[2]string{c.caller.RemoteAddr().String(), c.caller.LocalAddr().String()}]]
		}
		if c.from == nil {
			unknown++
		}
	}
	return unknown
}

// delay returns the delay of a link. The caller holds the lock.
func (c *channel) delay() time.Duration {
	if c.from != nil && c.from.Zone == c.to.Zone {
		return 0
	}
	return crossZoneDelay
}

// forward passes on what is sent on a channel until it ends. What is sent on a silent one vanishes, and so
// does its end.
func (r *relay) forward(c *channel, source, target net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		r.mu.Lock()
		silent, delay := c.silent, c.delay()
		r.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !silent {
			if _, writeErr := target.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		_ = source.Close()
		if !silent {
			_ = target.Close()
		}
		r.mu.Lock()
		delete(r.channels, c)
		r.mu.Unlock()
		return
	}
}

func (r *relay) close() {
	for _, l := range r.listeners {
		_ = l.Close()
	}
}

// Silence makes the open channels between machines go silent for good; new ones work. It returns how many
// there were from each machine to each other one.
func (l *Lab) Silence() map[string]int {
	unknown := l.relay.findOrigins()
	for try := 0; unknown > 0 && try < originTries; try++ { // the kernel's list is not read at one moment
		unknown = l.relay.findOrigins()
	}
	l.relay.mu.Lock()
	defer l.relay.mu.Unlock()
	counts := map[string]int{}
	for c := range l.relay.channels {
		if c.from != nil && c.from != c.to {
			c.silent = true
			counts[c.from.Name+" to "+c.to.Name]++
		}
	}
	l.Record("network: the open channels between machines go silent: %v; %d of unknown origin go on", counts, unknown)
	return counts
}

// socketOwners returns the machines whose processes have sockets, by inode.
func (l *Lab) socketOwners() map[string]*Machine {
	owners := map[string]*Machine{}
	for _, m := range l.Machines {
		m.mu.Lock()
		for _, command := range m.processes {
			folder := fmt.Sprintf("/proc/%d/fd/", command.Process.Pid)
			entries, _ := os.ReadDir(folder) // a process that has ended has none
			for _, e := range entries {
				target, _ := os.Readlink(folder + e.Name()) // it may be closed meanwhile
				if inode, found := strings.CutPrefix(target, "socket:["); found {
					owners[strings.TrimSuffix(inode, "]")] = m
				}
			}
		}
		m.mu.Unlock()
	}
	return owners
}

// socketInodes returns the inodes of all TCP sockets by local and remote address.
func socketInodes() map[[2]string]string {
	inodes := map[[2]string]string{}
	content, _ := os.ReadFile("/proc/net/tcp") // without it all channels are unknown
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 9 {
			inodes[[2]string{parseAddress(fields[1]), parseAddress(fields[2])}] = fields[9]
		}
	}
	return inodes
}

// parseAddress returns an address of the kernel's list as IP:PORT, "" if it is none.
func parseAddress(text string) string {
	var a, b, c, d byte
	var port int
	if _, err := fmt.Sscanf(text, "%02X%02X%02X%02X:%04X", &d, &c, &b, &a, &port); err != nil {
		return ""
	}
	return fmt.Sprintf("%d.%d.%d.%d:%d", a, b, c, d, port)
}
