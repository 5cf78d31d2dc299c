package ticket

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// snapshotData is the JSON form of a snapshot.
type snapshotData struct {
	Configuration  *State     `json:"state"`
	Decisions      []decision `json:"decisions"`
	HighestEvicted uint64     `json:"floor"`
	Refusals       []refusal  `json:"refusals"`
	History        []Record   `json:"history"`
	Log            []LogEntry `json:"log"`
}

// Snapshot encodes the configuration, verdicts, history and log.
func (s *Book) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	encoded, err := json.Marshal(snapshotData{
		Configuration:  s.configuration,
		Decisions:      s.verdicts.decisions,
		HighestEvicted: s.verdicts.highestEvicted,
		Refusals:       s.verdicts.refusals,
		History:        s.history,
		Log:            s.log,
	})
	return encoded, errors.WithStack(err)
}

// RestoreBook decodes the output of Snapshot. Its error is a *DecodeError.
func RestoreBook(snapshot []byte) (*Book, error) {
	data := snapshotData{Configuration: NewState()}
	if err := decodeStrict(snapshot, &data); err != nil {
		return nil, err
	}
	if data.Configuration == nil {
		return nil, errors.WithStack(&DecodeError{Problems: []string{"the snapshot has no configuration"}})
	}
	s := &Book{configuration: data.Configuration, history: data.History, log: data.Log}
	s.verdicts = verdictTable{decisions: data.Decisions, highestEvicted: data.HighestEvicted, refusals: data.Refusals}
	for _, r := range data.Refusals {
		s.verdicts.faultCount += len(r.Faults)
	}
	for _, e := range data.Log {
		s.logBytes += len(e.Ticket)
	}
	return s, nil
}
