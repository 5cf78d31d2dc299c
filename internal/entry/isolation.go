package entry

import (
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/fleet"
	"github.com/trefoilkeel/trefoilkeel/internal/quarantine"
)

const (
	// isolationTimeout is the time without a response of a control host after which an entry
	// judges prompt parts by its own attempts.
	isolationTimeout = 3 * time.Second
	// isolationGrace is how long such verdicts outlast the isolation. By then the control hosts
	// have judged the reported attempts.
	isolationGrace = 3 * time.Second
)

// isolatedJudge decides which prompt parts an entry without control hosts keeps from endpoints.
// It is not safe for concurrent use.
type isolatedJudge struct {
	table        *quarantine.Table
	expiredAt    time.Time
	quarantined  map[uint64]bool
	lastExchange time.Time // with a control host; the start of the entry before the first
	releaseAt    time.Time
}

func newIsolatedJudge(now time.Time) *isolatedJudge {
	return &isolatedJudge{table: quarantine.New(), expiredAt: now, lastExchange: now}
}

// add adds outcomes of the entry's attempts.
func (j *isolatedJudge) add(now time.Time, o fleet.AttemptOutcomes) {
	for _, b := range o.Broken {
		j.table.AddBroken(b, true)
	}
	for _, r := range o.Responses {
		j.table.AddResponse(r.Endpoint, r.SentAt)
	}
	for _, s := range o.Served {
		j.table.AddServed(s.Key, s.SentAt)
	}
	for service, attempts := range o.ServedAttempts {
		j.table.CountServed(now, service, attempts)
	}
}

// decide returns the parts to keep from endpoints. exchanged tells whether a control host has just
// responded.
func (j *isolatedJudge) decide(now time.Time, exchanged bool) map[uint64]bool {
	if now.Sub(j.expiredAt) > time.Second {
		j.table.Expire(now)
		j.expiredAt = now
	}
	isolatedFor := now.Sub(j.lastExchange)
	if exchanged {
		j.lastExchange = now
	}
	switch {
	case !exchanged && isolatedFor > isolationTimeout:
		isQuarantined := func(part uint64) bool { return j.quarantined[part] }
		never := func(uint64) bool { return false }
		for _, part := range j.table.Decide(now, isQuarantined, never) {
			if j.quarantined == nil {
				j.quarantined = map[uint64]bool{}
			}
			j.quarantined[part] = true
		}
		for _, key := range j.table.Unfounded(isQuarantined) {
			delete(j.quarantined, key)
		}
		j.releaseAt = now.Add(isolationGrace)
	case now.After(j.releaseAt):
		j.quarantined = nil
	}
	return j.quarantined
}
