// Package dispatch defines what a router and an agent say to each other about
// one request. A request travels as plain HTTP/1.1 through net/http: the
// caller's method and body, with the fields below as headers. The agent
// answers with the endpoint's status and body, its own fields as headers, and
// the outcome as a trailer.
package dispatch

import (
	"net/http"
	"strconv"
	"time"
)

// PathPrefix is where an agent takes requests; the endpoint's path follows.
const PathPrefix = "/dispatch"

// Header names between router and agent.
const (
	HeaderRequestID   = "Tk-Request-Id"
	HeaderAttempt     = "Tk-Attempt"
	HeaderIncarnation = "Tk-Incarnation"
	HeaderWorkspace   = "Tk-Workspace"
	HeaderClass       = "Tk-Class"
	HeaderModel       = "Tk-Model"
	HeaderProtected   = "Tk-Protected"
	HeaderBudget      = "Tk-Budget-Ms"   // time left to the deadline at sending
	HeaderPatience    = "Tk-Patience-Ms" // time left to wait for a start at sending
	HeaderRevision    = "Tk-Revision"    // configuration revision of the router
	HeaderLoad        = "Tk-Load"        // agent's Load, base64 protobuf
	HeaderOutcome     = "Tk-Outcome"     // trailer: whole or broken
	HeaderHops        = "Tk-Hops"        // candidates tried before this one
	HeaderMayMove     = "Tk-May-Move"    // true while other candidates are untried
	HeaderResumable   = "Tk-Resumable"   // true if the router can continue a broken stream elsewhere
	HeaderNotAfter    = "Tk-Not-After"   // Unix ms after which a protected attempt must not start, 0 for none
)

// HeaderExecution tells router and caller whether the request ran.
const HeaderExecution = "Trefoilkeel-Execution"

// Values of HeaderExecution.
const (
	NotRun  = "not-run"
	Ran     = "ran"
	Unknown = "unknown"
)

// Values of the HeaderOutcome trailer.
const (
	Whole     = "whole"
	Broken    = "broken"
	GivenBack = "given-back" // preempted: to be continued elsewhere
)

// Meta is what a router says of a request.
type Meta struct {
	RequestID   string
	Attempt     uint32
	Incarnation uint64
	Workspace   string
	Class       string
	Model       string // model or service name
	Protected   bool
	Budget      time.Duration
	Patience    time.Duration
	Revision    uint64
	Hops        int
	// MayMove says that other candidates are untried: the agent refuses at
	// once what it would start too late.
	MayMove bool
	// Resumable says that a stream can go on at another endpoint, so that the
	// agent may preempt it after its first token.
	Resumable bool
	// NotAfter is the wall-clock time in Unix ms after which a protected
	// attempt must not start, 0 for none. It covers a router that was paused
	// between claim and dispatch for longer than the ledger remembers.
	NotAfter int64
}

// HeaderError names a header that is missing or malformed.
type HeaderError struct {
	Header string
	Value  string
}

// Error names the header.
func (e *HeaderError) Error() string {
	return "header " + e.Header + " is malformed: " + strconv.Quote(e.Value)
}

// Write sets the headers of m.
func (m *Meta) Write(h http.Header) {
	h.Set(HeaderRequestID, m.RequestID)
	h.Set(HeaderAttempt, strconv.FormatUint(uint64(m.Attempt), 10))
	h.Set(HeaderIncarnation, strconv.FormatUint(m.Incarnation, 10))
	h.Set(HeaderWorkspace, m.Workspace)
	h.Set(HeaderClass, m.Class)
	h.Set(HeaderModel, m.Model)
	h.Set(HeaderProtected, strconv.FormatBool(m.Protected))
	h.Set(HeaderBudget, strconv.FormatInt(m.Budget.Milliseconds(), 10))
	h.Set(HeaderPatience, strconv.FormatInt(m.Patience.Milliseconds(), 10))
	h.Set(HeaderRevision, strconv.FormatUint(m.Revision, 10))
	h.Set(HeaderHops, strconv.Itoa(m.Hops))
	h.Set(HeaderMayMove, strconv.FormatBool(m.MayMove))
	h.Set(HeaderResumable, strconv.FormatBool(m.Resumable))
	h.Set(HeaderNotAfter, strconv.FormatInt(m.NotAfter, 10))
}

// Read reads the headers that Write set; an error is a *HeaderError.
func Read(h http.Header) (*Meta, error) {
	r := reader{header: h}
	m := &Meta{
		RequestID:   r.text(HeaderRequestID),
		Attempt:     uint32(r.number(HeaderAttempt, 32)),
		Incarnation: r.number(HeaderIncarnation, 64),
		Workspace:   r.text(HeaderWorkspace),
		Class:       r.text(HeaderClass),
		Model:       r.text(HeaderModel),
		Protected:   r.flag(HeaderProtected),
		Budget:      time.Duration(r.number(HeaderBudget, 40)) * time.Millisecond,
		Patience:    time.Duration(r.number(HeaderPatience, 40)) * time.Millisecond,
		Revision:    r.number(HeaderRevision, 64),
		Hops:        int(r.number(HeaderHops, 31)),
		MayMove:     r.flag(HeaderMayMove),
		Resumable:   r.flag(HeaderResumable),
		NotAfter:    int64(r.number(HeaderNotAfter, 62)),
	}
	if r.err != nil {
		return nil, r.err
	}
	return m, nil
}

// reader keeps the first malformed header.
type reader struct {
	header http.Header
	err    error
}

func (r *reader) text(name string) string {
	v := r.header.Get(name)
	if v == "" && r.err == nil {
		r.err = &HeaderError{Header: name}
	}
	return v
}

// flag reads "true" or "false"; anything else is malformed, so that a
// protected request is never taken for another one.
func (r *reader) flag(name string) bool {
	v := r.header.Get(name)
	if v != "true" && v != "false" && r.err == nil {
		r.err = &HeaderError{Header: name, Value: v}
	}
	return v == "true"
}

func (r *reader) number(name string, bits int) uint64 {
	v, err := strconv.ParseUint(r.header.Get(name), 10, bits)
	if err != nil && r.err == nil {
		r.err = &HeaderError{Header: name, Value: r.header.Get(name)}
	}
	return v
}
