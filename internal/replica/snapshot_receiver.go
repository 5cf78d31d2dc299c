package replica

import (
	"fmt"
	"hash/crc32"
	"sync"
	"time"
)

// partialSnapshotTimeout is how long the parts of a snapshot are kept after the last one arrived.
const partialSnapshotTimeout = 10 * time.Second

// snapshotTransfer identifies the transfer of one snapshot by one leader.
type snapshotTransfer struct {
	from, term     uint64 // of the leader
	index, logTerm uint64 // of the last entry that the snapshot covers
	size           uint64 // bytes of the snapshot's data
	checksum       uint32 // CRC-32C of the snapshot's data
}

// PartError reports a part of a snapshot that can't be used.
type PartError struct {
	From   uint64 // host ID
	Reason string
}

func (e *PartError) Error() string {
	return fmt.Sprintf("part of a snapshot from host %d: %s", e.From, e.Reason)
}

// snapshotReceiver puts the parts of a snapshot together. It holds at most one snapshot: the newest transfer of
// the newest term replaces any other one.
type snapshotReceiver struct {
	mu         sync.Mutex
	transfer   snapshotTransfer
	data       []byte // from the beginning of the snapshot; nil for none
	receivedAt time.Duration
	// delivered is the last transfer that was delivered, by the message that was sent at deliveredSentAt.
	delivered       snapshotTransfer
	deliveredSentAt time.Duration
}

// add adds a part and returns how many bytes from the beginning have been received. A part that does not follow
// on these is left out.
func (s *snapshotReceiver) add(transfer snapshotTransfer, offset uint64, part []byte, now time.Duration) (received uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case transfer.size > maxPeerMessageBytes:
		return 0, &PartError{From: transfer.from, Reason: fmt.Sprintf("a snapshot of %d bytes is over the limit of %d", transfer.size, maxPeerMessageBytes)}
	case s.data != nil && transfer.term < s.transfer.term:
		return 0, &PartError{From: transfer.from, Reason: fmt.Sprintf("its term %d is over, a leader of term %d sends a snapshot", transfer.term, s.transfer.term)}
	case s.data == nil || transfer != s.transfer:
		s.transfer, s.data = transfer, make([]byte, 0, transfer.size)
	}
	s.receivedAt = now
	if received = uint64(len(s.data)); offset != received {
		return received, nil
	}
	if uint64(len(part)) > transfer.size-received {
		return 0, &PartError{From: transfer.from, Reason: fmt.Sprintf("it ends after the %d bytes of the snapshot", transfer.size)}
	}
	s.data = append(s.data, part...)
	received = uint64(len(s.data))
	if received == transfer.size && crc32.Checksum(s.data, castagnoli) != transfer.checksum {
		s.data = nil
		return 0, &PartError{From: transfer.from, Reason: "the snapshot's checksum does not match"}
	}
	return received, nil
}

// complete returns the data of a transfer that has been received whole, nil otherwise.
func (s *snapshotReceiver) complete(transfer snapshotTransfer) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.data == nil || transfer != s.transfer || uint64(len(s.data)) < transfer.size {
		return nil
	}
	return s.data
}

// markDelivered records that the node has got a snapshot by the message that was sent at sentAt.
func (s *snapshotReceiver) markDelivered(transfer snapshotTransfer, sentAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data, s.delivered, s.deliveredSentAt = nil, transfer, sentAt
}

// isDelivered reports whether the node has got a snapshot by the message that was sent at sentAt. The answer to its last
// part was lost if the sender repeats that.
func (s *snapshotReceiver) isDelivered(transfer snapshotTransfer, sentAt time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delivered == transfer && s.deliveredSentAt == sentAt
}

// dropStale drops the parts of a snapshot that is not sent any more, or by a leader of an earlier term.
func (s *snapshotReceiver) dropStale(now time.Duration, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.data != nil && (s.transfer.term < term || now-s.receivedAt > partialSnapshotTimeout) {
		s.data = nil
	}
}
