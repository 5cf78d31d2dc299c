package ticket

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// snapshotData is the JSON form of a snapshot.
type snapshotData struct {
	Configuration  *Configuration    `json:"state"`
	Verdicts       []recordedVerdict `json:"decisions"`
	HighestEvicted uint64            `json:"floor"`
	Refusals       []refusal         `json:"refusals"`
	History        []HistoryRecord   `json:"history"`
	Log            []LogEntry        `json:"log"`
}

// Snapshot encodes the configuration, verdicts, history and log.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	encoded, err := json.Marshal(snapshotData{
		Configuration:  s.configuration,
		Verdicts:       s.verdicts.recorded,
		HighestEvicted: s.verdicts.highestEvicted,
		Refusals:       s.verdicts.refusals,
		History:        s.history,
		Log:            s.log,
	})
	return encoded, errors.WithStack(err)
}

// RestoreStore decodes the output of Snapshot. Its error is a *DecodeError.
func RestoreStore(snapshot []byte) (*Store, error) {
	data := snapshotData{Configuration: NewConfiguration()}
	if err := decodeStrict(snapshot, &data); err != nil {
		return nil, err
	}
	if data.Configuration == nil {
		return nil, errors.WithStack(&DecodeError{Problems: []string{"the snapshot has no configuration"}})
	}
	s := &Store{configuration: data.Configuration, history: data.History, log: data.Log}
	s.verdicts = verdictTable{recorded: data.Verdicts, highestEvicted: data.HighestEvicted, refusals: data.Refusals}
	for _, r := range data.Refusals {
		s.verdicts.faultCount += len(r.Faults)
	}
	for _, e := range data.Log {
		s.logBytes += len(e.EncodedTicket)
	}
	return s, nil
}
