package ticket

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// bookImage is a Book as a snapshot holds it.
type bookImage struct {
	State     *State     `json:"state"`
	Decisions []decision `json:"decisions"`
	Floor     uint64     `json:"floor"`
	Refusals  []refusal  `json:"refusals"`
	History   []Record   `json:"history"`
	Log       []Entry    `json:"log"`
}

// Snapshot encodes the whole book: configuration, verdicts, history and log.
func (b *Book) Snapshot() ([]byte, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	image, err := json.Marshal(bookImage{
		State:     b.state,
		Decisions: b.verdicts.decisions,
		Floor:     b.verdicts.floor,
		Refusals:  b.verdicts.refusals,
		History:   b.history,
		Log:       b.log,
	})
	return image, errors.WithStack(err)
}

// RestoreBook reads what Snapshot wrote; an error is a *DecodeError.
func RestoreBook(snapshot []byte) (*Book, error) {
	image := bookImage{State: NewState()}
	if err := decodeStrict(snapshot, &image); err != nil {
		return nil, err
	}
	if image.State == nil {
		return nil, errors.WithStack(&DecodeError{Problems: []string{"the snapshot has no configuration"}})
	}
	b := &Book{state: image.State, history: image.History, log: image.Log}
	b.verdicts = verdictTable{decisions: image.Decisions, floor: image.Floor, refusals: image.Refusals}
	for _, r := range image.Refusals {
		b.verdicts.faultCount += len(r.Faults)
	}
	for _, e := range image.Log {
		b.logBytes += len(e.Ticket)
	}
	return b, nil
}
