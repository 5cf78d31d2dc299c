package origin

// Vote tells how a control host counts towards a majority.
type Vote struct {
	Replica uint64   // ID of the host's replica
	Voters  []uint64 // IDs of the replicas that vote, as the host has applied
	Applied uint64   // index of the last entry of the log that the host has applied
}

// IsMajority reports whether the agreeing replicas are more than half of the voters. The newest
// membership among the votes counts.
func IsMajority(votes []Vote, agreeing map[uint64]bool) bool {
	var newest Vote
	for _, v := range votes {
		if len(newest.Voters) == 0 || v.Applied > newest.Applied {
			newest = v
		}
	}
	count := 0
	for _, replica := range newest.Voters {
		if agreeing[replica] {
			count++
		}
	}
	return 2*count > len(newest.Voters)
}

// Answer is what a control host knows of a stream and of the versions of a service.
type Answer struct {
	Origin   Origin // of the stream
	Known    bool
	Versions []string // that the host has recorded, or that report to it
	Complete bool     // the host votes, and has applied what was acknowledged before its start
	Vote     Vote
}

// Finding is what the answers of control hosts say together. The zero value is that of no answer.
type Finding struct {
	Origin   Origin // of the stream
	Known    bool
	Answered bool // by any host
	Versions map[string]bool
	// Complete tells that a majority has answered. Then Versions has all versions that had begun a
	// stream before the question was asked.
	Complete bool

	votes  []Vote
	voters map[uint64]bool // that gave a complete answer
}

// Add adds an answer.
func (f *Finding) Add(a Answer) {
	if f.Versions == nil {
		f.Versions, f.voters = map[string]bool{}, map[uint64]bool{}
	}
	f.Answered = true
	if a.Known {
		f.Origin, f.Known = a.Origin, true
	}
	for _, version := range a.Versions {
		f.Versions[version] = true
	}
	f.votes = append(f.votes, a.Vote)
	if a.Complete {
		f.voters[a.Vote.Replica] = true
	}
	f.Complete = IsMajority(f.votes, f.voters)
}
