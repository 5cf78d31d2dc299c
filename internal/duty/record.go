// Package duty decides which control host holds the duties that one host performs at a time,
// what that host reports of the usage of each window and orders of endpoints, and when it may
// call the outside.
//
// Record is the replicated state, Keeper the decision of one control host. The package reads no
// clock, starts no goroutine and does no I/O.
package duty

import (
	"bytes"
	"slices"
)

// Bounds of a record.
const (
	MaxWindows        = 64      // windows stored; of an older one nothing is agreed any more
	MaxEarlierHolders = 16      // hosts that held the duties before, the latest ones
	MaxHostNameBytes  = 255     // length of a host's name
	MaxCountsBytes    = 1 << 20 // encoded counts of one window
)

// Holding is the state of the one holding for all duties. A Life of 0 means that it was released
// or never taken.
type Holding struct {
	Host     uint64 // the host's ID in the replicated log
	HostName string
	Life     uint64 // random number of the holder's process, not 0
	Token    uint64 // fencing token: rises by 1 with each holder and never falls
	Sequence uint64 // rises by 1 with each accepted command and never falls
	Stamp    uint64 // the holder's number of its latest accepted command
}

// Held reports whether the duties have a holder.
func (h Holding) Held() bool { return h.Life != 0 }

// Holder is a host that held the duties before.
type Holder struct {
	Host     uint64
	HostName string
}

// Outcome is what became of an agreed report.
type Outcome uint8

// Outcomes of a report. Open reports are to be sent.
const (
	Open Outcome = iota
	Delivered
	Abandoned
)

// Window is a window whose report was agreed.
type Window struct {
	Number  uint64
	Counts  []byte // of EncodeCounts; nil once it isn't open any more; never modified
	Outcome Outcome
}

// Record is the replicated state of the duties. It is not safe for concurrent use. The zero
// value is the state before the first command.
type Record struct {
	Holding Holding
	Earlier []Holder // distinct hosts, the latest last
	Windows []Window // in order of their numbers
	Floor   uint64   // of windows below, nothing is agreed any more
	Orders  []Order  // the last one of each subject, in order of their subjects
}

// IsZero reports whether no command was ever accepted.
func (r *Record) IsZero() bool { return r.Holding.Sequence == 0 }

// Clone returns a copy that later commands don't change. The encoded counts are shared, as they
// are never modified.
func (r *Record) Clone() Record {
	c := *r
	c.Earlier, c.Windows, c.Orders = slices.Clone(r.Earlier), slices.Clone(r.Windows), slices.Clone(r.Orders)
	return c
}

// Window returns the agreed report of a window, if there is one.
func (r *Record) Window(number uint64) (Window, bool) {
	i, found := r.search(number)
	if !found {
		return Window{}, false
	}
	return r.Windows[i], true
}

func (r *Record) search(number uint64) (int, bool) {
	return slices.BinarySearchFunc(r.Windows, number, func(w Window, n uint64) int {
		switch {
		case w.Number < n:
			return -1
		case w.Number > n:
			return 1
		}
		return 0
	})
}

// Apply applies an encoded command. It reports whether the record changed; a command that is
// malformed, or of a host that isn't the holder, changes nothing.
func (r *Record) Apply(command []byte) (changed bool) {
	c, ok := decodeCommand(command)
	if !ok {
		return false
	}
	if c.kind == acquire {
		changed = r.acquire(c)
	} else if r.Holding.Held() && c.token == r.Holding.Token && c.life == r.Holding.Life {
		changed = r.applyHolder(c)
	}
	if changed {
		r.Holding.Sequence++
		r.Holding.Stamp = c.stamp
	}
	return changed
}

// acquire gives the duties to another process, if no command was accepted since the state that
// the process saw.
func (r *Record) acquire(c command) bool {
	if c.token != r.Holding.Token || c.sequence != r.Holding.Sequence {
		return false
	}
	if r.Holding.Token > 0 {
		r.addEarlier(Holder{Host: r.Holding.Host, HostName: r.Holding.HostName})
	}
	r.Holding = Holding{
		Host: c.host, HostName: c.hostName, Life: c.life,
		Token: r.Holding.Token + 1, Sequence: r.Holding.Sequence,
	}
	return true
}

func (r *Record) addEarlier(h Holder) {
	earlier := slices.DeleteFunc(slices.Clone(r.Earlier), func(e Holder) bool { return e == h })
	earlier = append(earlier, h)
	r.Earlier = earlier[max(0, len(earlier)-MaxEarlierHolders):]
}

// applyHolder applies a command of the holder.
func (r *Record) applyHolder(c command) bool {
	switch c.kind {
	case renew:
		return true
	case release:
		r.Holding.Life = 0
		return true
	case agreeUsage:
		return r.agree(c.window, c.counts)
	case settleUsage:
		return r.settle(c.window, c.outcome)
	case agreeOrder:
		return r.agreeOrder(c)
	case settleOrder:
		return r.settleOrder(c.number, c.outcome)
	}
	return false
}

// agree stores what is reported of a window. What was stored first stays.
func (r *Record) agree(number uint64, counts []byte) bool {
	i, found := r.search(number)
	if found || number < r.Floor {
		return false
	}
	r.Windows = slices.Insert(r.Windows, i, Window{Number: number, Counts: bytes.Clone(counts)})
	if extra := len(r.Windows) - MaxWindows; extra > 0 {
		r.Floor = r.Windows[extra-1].Number + 1
		r.Windows = slices.Clone(r.Windows[extra:])
	}
	return true
}

// settle ends the report of a window and drops its counts.
func (r *Record) settle(number uint64, outcome Outcome) bool {
	i, found := r.search(number)
	if !found || r.Windows[i].Outcome != Open {
		return false
	}
	r.Windows[i] = Window{Number: number, Outcome: outcome}
	return true
}
