package ticket

import (
	"strconv"
	"sync"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// Bounds of what a Book remembers.
const (
	maxVerdicts     = 32_768  // decided numbers
	maxHistory      = 4_096   // accepted tickets, without their content
	maxLogEntries   = 512     // accepted tickets, whole
	maxLogBytes     = 4 << 20 // of whole tickets
	maxKeptFaults   = 8_192   // faults of refused tickets
	maxNumberGap    = 10_000  // between a ticket and the last accepted
	maxHistoryLimit = 1_000   // records in one answer of History
)

// Verdict is the answer to one ticket.
type Verdict struct {
	Kind pb.Verdict
	// Revision is the first revision with the ticket in force, if accepted.
	Revision uint64
	Faults   []Fault
	// Repeated says that this is the first verdict, given again.
	Repeated bool
	// LastNumber is the number of the last accepted ticket.
	LastNumber uint64
	// NextNumber is the lowest number that is still free.
	NextNumber uint64
}

// CheckResult is what a ticket would bring if it were submitted now.
type CheckResult struct {
	Verdict Verdict
	Changes []Change
}

// Record is one accepted ticket in the history.
type Record struct {
	Revision       uint64 `json:"revision"`
	Number         uint64 `json:"number"`
	Author         string `json:"author"`
	Summary        string `json:"summary"`
	AcceptedUnixMs int64  `json:"accepted_unix_ms"`
}

// Entry is one accepted ticket in the form that Encode writes.
type Entry struct {
	Revision uint64 `json:"revision"`
	Ticket   []byte `json:"ticket"`
}

// Book decides tickets one after the other and remembers the verdicts, the
// configuration and the history. Its answers depend on the tickets and the
// times passed in alone, so that replicas agree. It is safe for concurrent use.
type Book struct {
	mu       sync.RWMutex
	state    *State
	verdicts verdictTable
	history  []Record
	log      []Entry
	logBytes int
}

// NewBook returns a book with the empty configuration.
func NewBook() *Book { return &Book{state: NewState()} }

// Submit decides an encoded ticket. A number is decided once: the same number
// and content get the first verdict again, other content is a conflict, and a
// number that is not known and not above the last accepted is stale. A ticket
// without a usable number is refused and leaves no trace.
func (b *Book) Submit(encoded []byte, nowUnixMs int64) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.decide(encoded)
	if !d.recorded {
		return b.answer(d.verdict)
	}
	b.verdicts.add(decision{
		Number:   d.ticket.Number,
		Digest:   d.digest,
		Kind:     d.verdict.Kind,
		Revision: d.verdict.Revision,
	}, d.verdict.Faults)
	if d.next != nil {
		b.accept(d, nowUnixMs)
	}
	return b.answer(d.verdict)
}

// Check returns what Submit would answer now, and the differences an accepted
// ticket would make. It changes nothing.
func (b *Book) Check(encoded []byte) CheckResult {
	b.mu.RLock()
	defer b.mu.RUnlock()
	d := b.decide(encoded)
	result := CheckResult{Verdict: b.answer(d.verdict)}
	if d.next != nil {
		result.Changes = Diff(b.state, d.next)
	}
	return result
}

// State returns the configuration in force. It must not be changed.
func (b *Book) State() *State {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.state
}

// NextNumber returns the lowest ticket number that is free.
func (b *Book) NextNumber() uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.nextNumber()
}

// Since returns the accepted tickets after a revision, oldest first; ok is
// false if they are no longer kept, or if the revision is newer than the book.
func (b *Book) Since(revision uint64) (entries []Entry, ok bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if revision > b.state.Revision {
		return nil, false
	}
	missing := b.state.Revision - revision
	if missing > uint64(len(b.log)) {
		return nil, false
	}
	return append(entries, b.log[uint64(len(b.log))-missing:]...), true
}

// History returns up to limit accepted tickets after a revision, oldest
// first; 0 or a limit over the bound asks for as many as the bound allows.
func (b *Book) History(after uint64, limit int) []Record {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if limit <= 0 || limit > maxHistoryLimit {
		limit = maxHistoryLimit
	}
	for i, r := range b.history {
		if r.Revision > after {
			end := min(len(b.history), i+limit)
			return append([]Record(nil), b.history[i:end]...)
		}
	}
	return nil
}

// draft is a decision on one ticket that is not written down yet.
type draft struct {
	verdict  Verdict
	ticket   *Ticket
	digest   digest
	encoded  []byte // canonical
	next     *State // the configuration, if accepted
	recorded bool   // the verdict is new and belongs to its number
}

// decide finds the verdict without changing the book.
func (b *Book) decide(encoded []byte) draft {
	t, faults := read(encoded)
	if len(faults) > 0 {
		return draft{verdict: Verdict{Kind: pb.Verdict_VERDICT_REFUSED, Faults: faults}}
	}
	canonical, sum, err := canonicalForm(t)
	if err != nil {
		return draft{verdict: Verdict{Kind: pb.Verdict_VERDICT_REFUSED, Faults: []Fault{unreadable(err.Error())}}}
	}
	if known, found := b.verdicts.find(t.Number); found {
		return draft{verdict: b.known(known, sum)}
	}
	if t.Number <= max(b.state.LastNumber, b.verdicts.floor) {
		return draft{verdict: Verdict{Kind: pb.Verdict_VERDICT_STALE}}
	}
	d := draft{ticket: t, digest: sum, encoded: canonical, recorded: true}
	d.next, faults = Apply(b.state, t)
	if fault, wrong := b.gapFault(t.Number); wrong {
		faults = append([]Fault{fault}, faults...)
	}
	if len(faults) > 0 {
		d.next = nil
		d.verdict = Verdict{Kind: pb.Verdict_VERDICT_REFUSED, Faults: faults}
		return d
	}
	d.verdict = Verdict{Kind: pb.Verdict_VERDICT_ACCEPTED, Revision: d.next.Revision}
	return d
}

// known answers a number that was decided before.
func (b *Book) known(first decision, sum digest) Verdict {
	if first.Digest != sum {
		return Verdict{Kind: pb.Verdict_VERDICT_CONFLICT}
	}
	v := Verdict{Kind: first.Kind, Revision: first.Revision, Repeated: true}
	if first.Kind == pb.Verdict_VERDICT_REFUSED {
		v.Faults = b.verdicts.faultsOf(first.Number)
	}
	return v
}

// gapFault refuses a number that was mistyped far ahead: every number below
// an accepted one is stale.
func (b *Book) gapFault(number uint64) (Fault, bool) {
	last := b.state.LastNumber
	if last == 0 || number-last <= maxNumberGap {
		return Fault{}, false
	}
	return Fault{
		Object:  objectTicket,
		Field:   "number",
		Problem: "number " + strconv.FormatUint(number, 10) + " is far ahead of the last accepted, " + strconv.FormatUint(last, 10),
		Remedy:  "use " + strconv.FormatUint(b.nextNumber(), 10),
	}, true
}

func (b *Book) accept(d draft, nowUnixMs int64) {
	b.state = d.next
	b.history = keepLast(append(b.history, Record{
		Revision:       d.next.Revision,
		Number:         d.ticket.Number,
		Author:         d.ticket.Author,
		Summary:        d.ticket.Summary,
		AcceptedUnixMs: nowUnixMs,
	}), maxHistory)
	b.log = append(b.log, Entry{Revision: d.next.Revision, Ticket: d.encoded})
	b.logBytes += len(d.encoded)
	for len(b.log) > maxLogEntries || b.logBytes > maxLogBytes {
		b.logBytes -= len(b.log[0].Ticket)
		b.log = b.log[1:]
	}
}

func (b *Book) answer(v Verdict) Verdict {
	v.LastNumber = b.state.LastNumber
	v.NextNumber = b.nextNumber()
	return v
}

func (b *Book) nextNumber() uint64 {
	next := max(b.state.LastNumber, b.verdicts.floor) + 1
	for b.verdicts.has(next) {
		next++
	}
	return next
}

// read decodes a ticket and its number.
func read(encoded []byte) (*Ticket, []Fault) {
	if len(encoded) > MaxEncodedBytes {
		return nil, []Fault{{Object: objectTicket, Problem: "larger than " + strconv.Itoa(MaxEncodedBytes) + " bytes",
			Remedy: "split it into several tickets"}}
	}
	t, err := Decode(encoded)
	if err != nil {
		return nil, []Fault{unreadable(err.Error())}
	}
	if t.Number == 0 || t.Number > maxNumber {
		return nil, []Fault{{Object: objectTicket, Field: "number",
			Problem: "missing or out of bounds", Remedy: "use 1 to " + strconv.Itoa(maxNumber)}}
	}
	return t, nil
}

func unreadable(problem string) Fault {
	return Fault{Object: objectTicket, Problem: problem, Remedy: "write it with `trefoilkeel ticket submit`"}
}

// keepLast returns the last n items.
func keepLast[V any](items []V, n int) []V { return items[max(0, len(items)-n):] }
