package consensus

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// EncodeEntry returns the wire and file form of an entry.
func EncodeEntry(e Entry) ([]byte, error) { return proto.Marshal(entryToProto(e)) }

// DecodeEntry reverses EncodeEntry.
func DecodeEntry(b []byte) (Entry, error) {
	var p pb.LogEntry
	if err := proto.Unmarshal(b, &p); err != nil {
		return Entry{}, errors.Wrap(err, "decode entry")
	}
	return entryFromProto(&p), nil
}

// EncodeMembership returns the data of an entry of kind EntryMembership.
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

// EncodeSnapshot returns the wire and file form of a snapshot.
func EncodeSnapshot(s Snapshot) ([]byte, error) { return proto.Marshal(snapshotToProto(&s)) }

// DecodeSnapshot reverses EncodeSnapshot.
func DecodeSnapshot(b []byte) (Snapshot, error) {
	var p pb.LogSnapshot
	if err := proto.Unmarshal(b, &p); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	return *snapshotFromProto(&p), nil
}

// EncodeMessage returns the wire form of a message.
func EncodeMessage(m Message) ([]byte, error) {
	p := &pb.ConsensusMessage{
		Type: uint32(m.Type), From: m.From, To: m.To, Disk: m.Disk, ToDisk: m.ToDisk,
		Formation: m.Formation, Term: m.Term, Index: m.Index, LogTerm: m.LogTerm,
		Commit: m.Commit, Reject: m.Reject, Transfer: m.Transfer, SentNs: int64(m.Sent),
		Run: m.Run, Sequence: m.Sequence, Echo: m.Echo, Url: m.URL,
		Rejected: m.Rejected, Last: m.Last, Ephemeral: m.Ephemeral,
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
		Type: MessageType(p.Type), From: p.From, To: p.To, Disk: p.Disk, ToDisk: p.ToDisk,
		Formation: p.Formation, Term: p.Term, Index: p.Index, LogTerm: p.LogTerm,
		Commit: p.Commit, Reject: p.Reject, Transfer: p.Transfer, Sent: time.Duration(p.SentNs),
		Run: p.Run, Sequence: p.Sequence, Echo: p.Echo, URL: p.Url,
		Rejected: p.Rejected, Last: p.Last, Ephemeral: p.Ephemeral,
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
	p := &pb.LogMembership{Retired: m.Retired}
	for _, member := range m.Members {
		p.Members = append(p.Members, &pb.LogMember{
			Id: member.ID, Disk: member.Disk, Url: member.URL, Voter: member.Voter,
			Ephemeral: member.Ephemeral,
		})
	}
	return p
}

func membershipFromProto(p *pb.LogMembership) Membership {
	m := Membership{Retired: p.GetRetired()}
	for _, member := range p.GetMembers() {
		m.Members = append(m.Members, Member{
			ID: member.Id, Disk: member.Disk, URL: member.Url, Voter: member.Voter,
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
