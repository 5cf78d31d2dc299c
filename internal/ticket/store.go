package ticket

import (
	"strconv"
	"sync"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// Bounds of the recorded data and of queries.
const (
	maxRecordedVerdicts   = 32_768
	maxHistoryRecords     = 4_096   // accepted tickets, without their content
	maxLogEntries         = 512     // accepted tickets, with their content
	maxLogBytes           = 4 << 20 // total size of the tickets in the log
	maxStoredFaults       = 8_192   // total over all refused tickets
	maxNumberGap          = 10_000  // from the last accepted ticket to a new one
	maxHistoryPageRecords = 1_000   // per call of History
)

// Verdict is the result of submitting or checking a ticket. It is part of
// replicated results as JSON, so its field names are part of the wire format.
type Verdict struct {
	Kind pb.Verdict
	// Revision is the first revision that contains an accepted ticket.
	Revision uint64
	Faults   []Fault
	// Repeated is true if the ticket was decided before and this is its
	// recorded verdict.
	Repeated bool
	// LastNumber is the number of the last accepted ticket.
	LastNumber uint64
	// NextNumber is the lowest number that a new ticket can use.
	NextNumber uint64
}

// CheckResult is the verdict that a ticket would get if it were submitted now,
// and the changes that it would make if accepted.
type CheckResult struct {
	Verdict Verdict
	Changes []Change
}

// HistoryRecord describes an accepted ticket in the history.
type HistoryRecord struct {
	Revision       uint64 `json:"revision"`
	Number         uint64 `json:"number"`
	Author         string `json:"author"`
	Summary        string `json:"summary"`
	AcceptedUnixMs int64  `json:"accepted_unix_ms"`
}

// LogEntry is an accepted ticket in its canonical form.
type LogEntry struct {
	Revision      uint64 `json:"revision"`
	EncodedTicket []byte `json:"ticket"`
}

// Store decides tickets one at a time and keeps the configuration, the verdicts,
// the history and the log of accepted tickets. Its results depend only on the
// tickets and times passed in, so that replicas agree. It is safe for concurrent
// use.
type Store struct {
	mu            sync.RWMutex
	configuration *Configuration
	verdicts      verdictTable
	history       []HistoryRecord
	log           []LogEntry
	logBytes      int
}

// NewStore returns a store with the empty configuration and no verdicts.
func NewStore() *Store { return &Store{configuration: NewConfiguration()} }

// Submit decides an encoded ticket and records the verdict. Each number is
// decided once: the same ticket gets its recorded verdict again, a different
// ticket with the same number is a conflict, and an unrecorded number that is not
// above the last accepted one is stale. A ticket that cannot be decoded or has no
// valid number is refused, and nothing is recorded.
func (s *Store) Submit(encoded []byte, nowUnixMs int64) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.evaluate(encoded)
	if !e.mustRecord {
		return s.withNumbers(e.verdict)
	}
	s.verdicts.add(recordedVerdict{
		Number:   e.ticket.Number,
		Digest:   e.digest,
		Kind:     e.verdict.Kind,
		Revision: e.verdict.Revision,
	}, e.verdict.Faults)
	if e.configuration != nil {
		s.commit(e, nowUnixMs)
	}
	return s.withNumbers(e.verdict)
}

// Check returns the verdict that Submit would return now, and the changes that
// the ticket would make if accepted. It records nothing.
func (s *Store) Check(encoded []byte) CheckResult {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.evaluate(encoded)
	result := CheckResult{Verdict: s.withNumbers(e.verdict)}
	if e.configuration != nil {
		result.Changes = Diff(s.configuration, e.configuration)
	}
	return result
}

// Configuration returns the current configuration. The caller must not modify it.
func (s *Store) Configuration() *Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configuration
}

// NextNumber returns the lowest number that a new ticket can use.
func (s *Store) NextNumber() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.nextNumber()
}

// EntriesAfter returns the tickets accepted after a revision, oldest first. ok is false
// if the log no longer has all of them, or if the revision is not reached yet.
func (s *Store) EntriesAfter(revision uint64) (entries []LogEntry, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if revision > s.configuration.Revision {
		return nil, false
	}
	missing := s.configuration.Revision - revision
	if missing > uint64(len(s.log)) {
		return nil, false
	}
	return append(entries, s.log[uint64(len(s.log))-missing:]...), true
}

// History returns up to limit tickets accepted after a revision, oldest first. A
// limit that is not positive, or is above maxHistoryPageRecords, means
// maxHistoryPageRecords.
func (s *Store) History(after uint64, limit int) []HistoryRecord {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if limit <= 0 || limit > maxHistoryPageRecords {
		limit = maxHistoryPageRecords
	}
	for i, r := range s.history {
		if r.Revision > after {
			end := min(len(s.history), i+limit)
			return append([]HistoryRecord(nil), s.history[i:end]...)
		}
	}
	return nil
}

// evaluation is the result of evaluating a ticket, before anything is recorded.
type evaluation struct {
	verdict       Verdict
	ticket        *Ticket
	digest        digest
	encoded       []byte         // canonical form
	configuration *Configuration // after the ticket; nil unless accepted
	mustRecord    bool           // this is the first verdict for the number
}

// evaluate finds the verdict on a ticket without recording it.
func (s *Store) evaluate(encoded []byte) evaluation {
	t, faults := decodeTicket(encoded)
	if len(faults) > 0 {
		return evaluation{verdict: Verdict{Kind: pb.Verdict_VERDICT_REFUSED, Faults: faults}}
	}
	canonical, contentDigest, err := canonicalForm(t)
	if err != nil {
		return evaluation{verdict: Verdict{Kind: pb.Verdict_VERDICT_REFUSED, Faults: []Fault{malformedTicketFault(err.Error())}}}
	}
	if earlier, found := s.verdicts.find(t.Number); found {
		return evaluation{verdict: s.repeatVerdict(earlier, contentDigest)}
	}
	if t.Number <= max(s.configuration.LastNumber, s.verdicts.highestEvicted) {
		return evaluation{verdict: Verdict{Kind: pb.Verdict_VERDICT_STALE}}
	}
	e := evaluation{ticket: t, digest: contentDigest, encoded: canonical, mustRecord: true}
	e.configuration, faults = Apply(s.configuration, t)
	if fault, tooFarAhead := s.numberGapFault(t.Number); tooFarAhead {
		faults = append([]Fault{fault}, faults...)
	}
	if len(faults) > 0 {
		e.configuration = nil
		e.verdict = Verdict{Kind: pb.Verdict_VERDICT_REFUSED, Faults: faults}
		return e
	}
	e.verdict = Verdict{Kind: pb.Verdict_VERDICT_ACCEPTED, Revision: e.configuration.Revision}
	return e
}

// repeatVerdict returns the earlier verdict on a number, or a conflict if the ticket
// that it was given to had different content.
func (s *Store) repeatVerdict(earlier recordedVerdict, contentDigest digest) Verdict {
	if earlier.Digest != contentDigest {
		return Verdict{Kind: pb.Verdict_VERDICT_CONFLICT}
	}
	v := Verdict{Kind: earlier.Kind, Revision: earlier.Revision, Repeated: true}
	if earlier.Kind == pb.Verdict_VERDICT_REFUSED {
		v.Faults = s.verdicts.faultsOf(earlier.Number)
	}
	return v
}

// numberGapFault refuses a number that is far above the last accepted one and so
// probably mistyped: accepting it would make all numbers below it stale.
func (s *Store) numberGapFault(number uint64) (Fault, bool) {
	lastAccepted := s.configuration.LastNumber
	if lastAccepted == 0 || number-lastAccepted <= maxNumberGap {
		return Fault{}, false
	}
	return Fault{
		Object:  wholeTicket,
		Field:   "number",
		Problem: "number " + strconv.FormatUint(number, 10) + " is far ahead of the last accepted, " + strconv.FormatUint(lastAccepted, 10),
		Remedy:  "use " + strconv.FormatUint(s.nextNumber(), 10),
	}, true
}

func (s *Store) commit(e evaluation, nowUnixMs int64) {
	s.configuration = e.configuration
	s.history = keepLast(append(s.history, HistoryRecord{
		Revision:       e.configuration.Revision,
		Number:         e.ticket.Number,
		Author:         e.ticket.Author,
		Summary:        e.ticket.Summary,
		AcceptedUnixMs: nowUnixMs,
	}), maxHistoryRecords)
	s.log = append(s.log, LogEntry{Revision: e.configuration.Revision, EncodedTicket: e.encoded})
	s.logBytes += len(e.encoded)
	for len(s.log) > maxLogEntries || s.logBytes > maxLogBytes {
		s.logBytes -= len(s.log[0].EncodedTicket)
		s.log = s.log[1:]
	}
}

func (s *Store) withNumbers(v Verdict) Verdict {
	v.LastNumber = s.configuration.LastNumber
	v.NextNumber = s.nextNumber()
	return v
}

func (s *Store) nextNumber() uint64 {
	next := max(s.configuration.LastNumber, s.verdicts.highestEvicted) + 1
	for s.verdicts.contains(next) {
		next++
	}
	return next
}

// decodeTicket decodes a ticket and checks its size and number.
func decodeTicket(encoded []byte) (*Ticket, []Fault) {
	if len(encoded) > MaxEncodedBytes {
		return nil, []Fault{{Object: wholeTicket, Problem: "larger than " + strconv.Itoa(MaxEncodedBytes) + " bytes",
			Remedy: "split it into several tickets"}}
	}
	t, err := Decode(encoded)
	if err != nil {
		return nil, []Fault{malformedTicketFault(err.Error())}
	}
	if t.Number == 0 || t.Number > maxTicketNumber {
		return nil, []Fault{{Object: wholeTicket, Field: "number",
			Problem: "missing or out of bounds", Remedy: "use 1 to " + strconv.Itoa(maxTicketNumber)}}
	}
	return t, nil
}

func malformedTicketFault(problem string) Fault {
	return Fault{Object: wholeTicket, Problem: problem, Remedy: "write it with `trefoilkeel ticket submit`"}
}

// keepLast returns the last n items.
func keepLast[V any](items []V, n int) []V { return items[max(0, len(items)-n):] }
