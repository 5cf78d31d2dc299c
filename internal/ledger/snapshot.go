package ledger

import (
	"fmt"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// SnapshotError reports a malformed entry of a snapshot.
type SnapshotError struct {
	EntryIndex int
}

// Error includes the index of the entry.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("ledger snapshot: entry %d is malformed", e.EntryIndex)
}

// Snapshot returns all entries, with the oldest change first, and the log time.
func (l *Ledger) Snapshot() *pb.LedgerSnapshot {
	s := &pb.LedgerSnapshot{NowUnixMs: l.logTimeMs, Entries: make([]*pb.LedgerEntry, 0, len(l.entries))}
	for e := l.queue.front(); e != nil; e = e.links.next {
		s.Entries = append(s.Entries, &pb.LedgerEntry{
			Workspace:     e.key.Workspace,
			Key:           e.key.IdempotencyKey,
			BodyDigest:    e.bodyDigest[:],
			State:         e.state,
			Attempt:       e.attempt,
			AfterAttempt:  e.afterAttempt,
			RequestId:     e.requestID,
			Endpoint:      e.endpoint,
			Incarnation:   e.incarnation,
			Answer:        e.answer,
			ExpiresUnixMs: e.expiresUnixMs,
		})
	}
	return s
}

// Restore builds a ledger from a snapshot. An error is a *SnapshotError.
func Restore(s *pb.LedgerSnapshot) (*Ledger, error) {
	l := New()
	l.logTimeMs = s.GetNowUnixMs()
	for i, stored := range s.GetEntries() {
		digest, ok := parseDigest(stored.GetBodyDigest())
		if !ok {
			return nil, &SnapshotError{EntryIndex: i}
		}
		e := &entry{
			key:           RequestKey{stored.GetWorkspace(), stored.GetKey()},
			bodyDigest:    digest,
			state:         stored.GetState(),
			attempt:       stored.GetAttempt(),
			afterAttempt:  stored.GetAfterAttempt(),
			requestID:     stored.GetRequestId(),
			endpoint:      stored.GetEndpoint(),
			incarnation:   stored.GetIncarnation(),
			answer:        stored.GetAnswer(),
			expiresUnixMs: stored.GetExpiresUnixMs(),
		}
		l.entries[e.key] = e
		l.entryBytes += e.memoryBytes()
		l.queue.moveToBack(e)
	}
	return l, nil
}
