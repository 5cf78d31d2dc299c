package ledger

import (
	"fmt"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// SnapshotError names an entry of a snapshot that can't be read.
type SnapshotError struct {
	Entry int
}

// Error names the entry.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("ledger snapshot: entry %d is malformed", e.Entry)
}

// Snapshot returns the whole ledger, the oldest change first.
func (l *Ledger) Snapshot() *pb.LedgerSnapshot {
	s := &pb.LedgerSnapshot{NowUnixMs: l.nowMs, Entries: make([]*pb.LedgerEntry, 0, len(l.entries))}
	for e := l.queue.first(); e != nil; e = e.place.next {
		s.Entries = append(s.Entries, &pb.LedgerEntry{
			Workspace:     e.key.Workspace,
			Key:           e.key.Key,
			BodyDigest:    e.digest[:],
			State:         e.state,
			Attempt:       e.attempt,
			AfterAttempt:  e.after,
			RequestId:     e.requestID,
			Endpoint:      e.endpoint,
			Incarnation:   e.incarnation,
			Answer:        e.answer,
			ExpiresUnixMs: e.expiresMs,
		})
	}
	return s
}

// Restore builds a ledger from a snapshot; an error is a *SnapshotError.
func Restore(s *pb.LedgerSnapshot) (*Ledger, error) {
	l := New()
	l.nowMs = s.GetNowUnixMs()
	for i, p := range s.GetEntries() {
		digest, ok := digestOf(p.GetBodyDigest())
		if !ok {
			return nil, &SnapshotError{Entry: i}
		}
		e := &entry{
			key:         Key{p.GetWorkspace(), p.GetKey()},
			digest:      digest,
			state:       p.GetState(),
			attempt:     p.GetAttempt(),
			after:       p.GetAfterAttempt(),
			requestID:   p.GetRequestId(),
			endpoint:    p.GetEndpoint(),
			incarnation: p.GetIncarnation(),
			answer:      p.GetAnswer(),
			expiresMs:   p.GetExpiresUnixMs(),
		}
		l.entries[e.key] = e
		l.bytes += e.size()
		l.queue.moveToBack(e)
	}
	return l, nil
}
