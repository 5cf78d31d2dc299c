// Package mechanism names the mechanisms by which an entry chooses, admits and repeats requests,
// so that each can be switched off to measure what it is worth.
package mechanism

import (
	"fmt"
	"strings"
)

// Set is a set of mechanisms.
type Set uint32

// The mechanisms of an entry.
const (
	Reservation     Set = 1 << iota // endpoints reserved for urgent streams
	Interference                    // costs of prompts and streams for each other on the same engine
	AdmissionByEnd                  // refusal of what can't end in time, and of the least urgent for others
	AdmissionByWait                 // refusal of what would wait too long for its first event
	Shares                          // of workspaces
	Copies                          // of cached prompt parts between engines
	Affinity                        // preferred endpoint of a prompt
	CacheAwareness                  // known placements of prompt parts
	Spread                          // cost that differs between requests
	Ejection                        // of failing endpoints
	ErrorRate                       // cost of endpoints with errors
	Slowdown                        // learned slowdown of endpoints
	HostFactor                      // slowdown that endpoints report
	WaitFactor                      // learned ratio of waits to their estimates
	Holding                         // wait for an endpoint before a refusal
	LearnedSpeed                    // of engines
	ReturnsFirst                    // refused callers that return go before others
	Patience                        // second attempt while the first one is silent
	CacheLimit                      // bound of the prompt tokens in flight at an engine
	Quarantine                      // of prompt parts and requests that crash endpoints
	PauseRate                       // cost of endpoints and paths on which urgent streams pause too long
)

var names = map[string]Set{
	"reservation": Reservation, "interference": Interference, "admission-by-end": AdmissionByEnd, "admission-by-wait": AdmissionByWait,
	"shares": Shares, "copies": Copies, "affinity": Affinity, "cache-awareness": CacheAwareness, "spread": Spread, "ejection": Ejection,
	"error-rate": ErrorRate, "slowdown": Slowdown, "host-factor": HostFactor, "wait-factor": WaitFactor, "holding": Holding,
	"learned-speed": LearnedSpeed, "returns-first": ReturnsFirst, "patience": Patience, "cache-limit": CacheLimit, "quarantine": Quarantine, "pause-rate": PauseRate,
}

// UnknownError reports a name that is none of a mechanism.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string { return fmt.Sprintf("unknown mechanism %q", e.Name) }

// Parse returns the mechanisms of a list of names with commas between them. An error is an
// *UnknownError.
func Parse(list string) (Set, error) {
	var s Set
	for name := range strings.SplitSeq(list, ",") {
		if name == "" {
			continue
		}
		m, known := names[name]
		if !known {
			return 0, &UnknownError{Name: name}
		}
		s |= m
	}
	return s, nil
}

// Has reports whether any of the mechanisms is in the set.
func (s Set) Has(m Set) bool { return s&m != 0 }
