// Package dispatch defines the HTTP protocol between routers and agents. A router
// sends a plain HTTP/1.1 request through net/http: the caller's method, headers and
// body, and its own metadata as additional headers. The agent responds with the endpoint's status, headers and body, its own
// headers, and the outcome of the response as a trailer.
package dispatch

import (
	"net/http"
	"strconv"
	"time"
)

// PathPrefix is the path at which an agent receives requests. The endpoint's path is
// appended to it.
const PathPrefix = "/dispatch"

// Headers between routers and agents.
const (
	HeaderRequestID   = "Tk-Request-Id"
	HeaderAttempt     = "Tk-Attempt"
	HeaderIncarnation = "Tk-Incarnation"
	HeaderWorkspace   = "Tk-Workspace"
	HeaderClass       = "Tk-Class"
	HeaderModel       = "Tk-Model"
	HeaderProtected   = "Tk-Protected"
	HeaderBudget      = "Tk-Budget-Ms"   // time until the deadline, when sent
	HeaderPatience    = "Tk-Patience-Ms" // time within which the request must start, when sent
	HeaderRevision    = "Tk-Revision"    // configuration revision of the router
	HeaderRefused     = "Tk-Refused"     // attempt that the agent's own response is to, as AttemptID returns it
	HeaderLoad        = "Tk-Load"        // Load message of the agent, protobuf in base64
	HeaderOutcome     = "Tk-Outcome"     // trailer: how the response ended
	HeaderHops        = "Tk-Hops"        // candidates tried before this one
	HeaderMayMove     = "Tk-May-Move"    // true if the router has candidates left to try
	HeaderResumable   = "Tk-Resumable"   // true if the router can resume the stream at another endpoint
	HeaderNotAfter    = "Tk-Not-After"   // Unix ms after which a protected attempt must not start, 0 for none
)

// HeaderExecution tells routers and callers whether the request ran.
const HeaderExecution = "Trefoilkeel-Execution"

// Values of HeaderExecution.
const (
	ExecutionNotRun  = "not-run"
	ExecutionRan     = "ran"
	ExecutionUnknown = "unknown"
)

// Values of the HeaderOutcome trailer.
const (
	ResponseComplete  = "whole"
	ResponseTruncated = "broken"
	ResponsePreempted = "given-back" // to be resumed at another endpoint
)

// Metadata describes an attempt to the agent that receives it.
type Metadata struct {
	RequestID       string
	AttemptNumber   uint32
	Incarnation     uint64 // of the endpoint
	Workspace       string
	Class           string
	Model           string        // model or service name
	Protected       bool          // must run at most once
	TimeToDeadline  time.Duration // when sent
	StartTimeout    time.Duration // time within which the request must start, when sent
	ConfigRevision  uint64        // of the router's configuration
	CandidatesTried int           // candidates tried before this one
	// MayRefuseAsBusy allows the agent to refuse the request as busy if it would start
	// late there. It is set on a first attempt with other candidates; see flow.Request.
	MayRefuseAsBusy bool
	// Resumable is set if the router can resume the stream at another endpoint, so that
	// the agent may preempt it after its first token.
	Resumable bool
	// LatestStartUnixMS is the wall-clock time after which a protected attempt must not
	// start, 0 for none. It guards against a router that is paused between claim and
	// dispatch for longer than the ledger keeps the claim.
	LatestStartUnixMS int64
}

// AttemptID returns the identity of the attempt that the headers of a request, or of an endpoint's
// response, name.
func AttemptID(h http.Header) string {
	return h.Get(HeaderRequestID) + "/" + h.Get(HeaderAttempt) + "/" + h.Get(HeaderIncarnation)
}

// HeaderError names a header that is missing or malformed.
type HeaderError struct {
	Header string
	Value  string
}

func (e *HeaderError) Error() string {
	return "header " + e.Header + " is malformed: " + strconv.Quote(e.Value)
}

// SetHeaders sets the headers of m in h.
func (m *Metadata) SetHeaders(h http.Header) {
	h.Set(HeaderRequestID, m.RequestID)
	h.Set(HeaderAttempt, strconv.FormatUint(uint64(m.AttemptNumber), 10))
	h.Set(HeaderIncarnation, strconv.FormatUint(m.Incarnation, 10))
	h.Set(HeaderWorkspace, m.Workspace)
	h.Set(HeaderClass, m.Class)
	h.Set(HeaderModel, m.Model)
	h.Set(HeaderProtected, strconv.FormatBool(m.Protected))
	h.Set(HeaderBudget, strconv.FormatInt(m.TimeToDeadline.Milliseconds(), 10))
	h.Set(HeaderPatience, strconv.FormatInt(m.StartTimeout.Milliseconds(), 10))
	h.Set(HeaderRevision, strconv.FormatUint(m.ConfigRevision, 10))
	h.Set(HeaderHops, strconv.Itoa(m.CandidatesTried))
	h.Set(HeaderMayMove, strconv.FormatBool(m.MayRefuseAsBusy))
	h.Set(HeaderResumable, strconv.FormatBool(m.Resumable))
	h.Set(HeaderNotAfter, strconv.FormatInt(m.LatestStartUnixMS, 10))
}

// ParseMetadata parses the headers that SetHeaders sets. An error is a *HeaderError.
func ParseMetadata(h http.Header) (*Metadata, error) {
	r := headerReader{header: h}
	m := &Metadata{
		RequestID:         r.text(HeaderRequestID),
		AttemptNumber:     uint32(r.unsigned(HeaderAttempt, 32)),
		Incarnation:       r.unsigned(HeaderIncarnation, 64),
		Workspace:         r.text(HeaderWorkspace),
		Class:             r.text(HeaderClass),
		Model:             r.text(HeaderModel),
		Protected:         r.boolean(HeaderProtected),
		TimeToDeadline:    time.Duration(r.unsigned(HeaderBudget, 40)) * time.Millisecond,
		StartTimeout:      time.Duration(r.unsigned(HeaderPatience, 40)) * time.Millisecond,
		ConfigRevision:    r.unsigned(HeaderRevision, 64),
		CandidatesTried:   int(r.unsigned(HeaderHops, 31)),
		MayRefuseAsBusy:   r.boolean(HeaderMayMove),
		Resumable:         r.boolean(HeaderResumable),
		LatestStartUnixMS: int64(r.unsigned(HeaderNotAfter, 62)),
	}
	if r.err != nil {
		return nil, r.err
	}
	return m, nil
}

// headerReader parses headers and keeps the error of the first malformed one.
type headerReader struct {
	header http.Header
	err    error
}

func (r *headerReader) text(name string) string {
	v := r.header.Get(name)
	if v == "" && r.err == nil {
		r.err = &HeaderError{Header: name}
	}
	return v
}

// boolean accepts only "true" and "false": a malformed value must not make a protected
// request look unprotected.
func (r *headerReader) boolean(name string) bool {
	v := r.header.Get(name)
	if v != "true" && v != "false" && r.err == nil {
		r.err = &HeaderError{Header: name, Value: v}
	}
	return v == "true"
}

func (r *headerReader) unsigned(name string, bits int) uint64 {
	v, err := strconv.ParseUint(r.header.Get(name), 10, bits)
	if err != nil && r.err == nil {
		r.err = &HeaderError{Header: name, Value: r.header.Get(name)}
	}
	return v
}
