package consensus

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// EncodeEntry returns the encoding of an entry for the wire and for the journal.
func EncodeEntry(e Entry) ([]byte, error) { return proto.Marshal(entryToProto(e)) }

// DecodeEntry reverses EncodeEntry.
func DecodeEntry(b []byte) (Entry, error) {
	var p pb.LogEntry
	if err := proto.Unmarshal(b, &p); err != nil {
		return Entry{}, errors.Wrap(err, "decode entry")
	}
	return entryFromProto(&p), nil
}

// EncodeMembership returns the data of an EntryMembership entry.
func EncodeMembership(m Membership) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(membershipToProto(m))
}

// DecodeMembership reverses EncodeMembership.
func DecodeMembership(b []byte) (Membership, error) {
	var p pb.LogMembership
	if err := proto.Unmarshal(b, &p); err != nil {
		return Membership{}, errors.Wrap(err, "decode membership")
	}
	return membershipFromProto(&p), nil
}

// EncodeSnapshot returns the encoding of a snapshot for the wire and for the
// journal.
func EncodeSnapshot(s Snapshot) ([]byte, error) { return proto.Marshal(snapshotToProto(&s)) }

// DecodeSnapshot reverses EncodeSnapshot.
func DecodeSnapshot(b []byte) (Snapshot, error) {
	var p pb.LogSnapshot
	if err := proto.Unmarshal(b, &p); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	return *snapshotFromProto(&p), nil
}

// EncodeMessage returns the wire encoding of a message.
func EncodeMessage(m Message) ([]byte, error) {
	p := &pb.ConsensusMessage{
		Type: uint32(m.Type), From: m.From, To: m.To, Disk: m.DiskID, ToDisk: m.ToDiskID,
		Formation: m.ClusterID, Term: m.Term, Index: m.Index, LogTerm: m.LogTerm,
		Commit: m.CommitIndex, Reject: m.Reject, Transfer: m.LeadershipTransfer, SentNs: int64(m.SentAt),
		Run: m.RunNumber, Sequence: m.ReplySequence, Echo: m.RequesterOrForwarderDiskID, Url: m.URL,
		Rejected: m.RejectedIndex, Last: m.LastIndex, Ephemeral: m.Ephemeral,
	}
	for _, e := range m.Entries {
		p.Entries = append(p.Entries, entryToProto(e))
	}
	if m.Snapshot != nil {
		p.Snapshot = snapshotToProto(m.Snapshot)
	}
	return proto.Marshal(p)
}

// DecodeMessage reverses EncodeMessage.
func DecodeMessage(b []byte) (Message, error) {
	var p pb.ConsensusMessage
	if err := proto.Unmarshal(b, &p); err != nil {
		return Message{}, errors.Wrap(err, "decode message")
	}
	m := Message{
		Type: MessageType(p.Type), From: p.From, To: p.To, DiskID: p.Disk, ToDiskID: p.ToDisk,
		ClusterID: p.Formation, Term: p.Term, Index: p.Index, LogTerm: p.LogTerm,
		CommitIndex: p.Commit, Reject: p.Reject, LeadershipTransfer: p.Transfer, SentAt: time.Duration(p.SentNs),
		RunNumber: p.Run, ReplySequence: p.Sequence, RequesterOrForwarderDiskID: p.Echo, URL: p.Url,
		RejectedIndex: p.Rejected, LastIndex: p.Last, Ephemeral: p.Ephemeral,
	}
	for _, e := range p.Entries {
		m.Entries = append(m.Entries, entryFromProto(e))
	}
	if p.Snapshot != nil {
		m.Snapshot = snapshotFromProto(p.Snapshot)
	}
	return m, nil
}

func entryToProto(e Entry) *pb.LogEntry {
	return &pb.LogEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
}

func entryFromProto(p *pb.LogEntry) Entry {
	return Entry{Index: p.Index, Term: p.Term, Kind: EntryKind(p.Kind), Data: p.Data}
}

func membershipToProto(m Membership) *pb.LogMembership {
	p := &pb.LogMembership{Retired: m.RetiredDiskIDs}
	for _, member := range m.Members {
		p.Members = append(p.Members, &pb.LogMember{
			Id: member.ID, Disk: member.DiskID, Url: member.URL, Voter: member.IsVoter,
			Ephemeral: member.Ephemeral,
		})
	}
	return p
}

func membershipFromProto(p *pb.LogMembership) Membership {
	m := Membership{RetiredDiskIDs: p.GetRetired()}
	for _, member := range p.GetMembers() {
		m.Members = append(m.Members, Member{
			ID: member.Id, DiskID: member.Disk, URL: member.Url, IsVoter: member.Voter,
			Ephemeral: member.Ephemeral,
		})
	}
	return m
}

func snapshotToProto(s *Snapshot) *pb.LogSnapshot {
	return &pb.LogSnapshot{Index: s.Index, Term: s.Term, Membership: membershipToProto(s.Membership), Data: s.Data}
}

func snapshotFromProto(p *pb.LogSnapshot) *Snapshot {
	return &Snapshot{Index: p.Index, Term: p.Term, Membership: membershipFromProto(p.Membership), Data: p.Data}
}
