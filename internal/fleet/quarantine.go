package fleet

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/quarantine"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

const (
	quarantineDecideInterval = 100 * time.Millisecond
	quarantineExpireInterval = 2 * time.Second
	quarantineStoreTimeout   = time.Second
	// firstQuarantine is how long a part is kept from endpoints the first time. Each further
	// time takes twice as long as the one before, at most maxQuarantine.
	firstQuarantine = 15 * time.Minute
	maxQuarantine   = 24 * time.Hour
)

// quarantineKeeper decides on a control host which prompt parts and requests are kept from endpoints. All
// control hosts get the outcomes of all entries' attempts. A verdict holds at once for the
// entries that watch this host; the log stores it for the other hosts and for restarts.
// The Server's lock guards it.
type quarantineKeeper struct {
	table    *quarantine.Table
	outcomes exchangeLog[outcomeRecord]
	unstored map[uint64]document.QuarantineChange // decided here, not yet applied by the log
	stored   []document.QuarantinedPart           // what the log has stored, as last known
	known    bool                                 // stored is of a state that was up to date
	since    map[uint64]time.Time                 // when this host learned that a part is quarantined
}

func newQuarantineKeeper() *quarantineKeeper {
	return &quarantineKeeper{table: quarantine.New(), outcomes: newExchangeLog[outcomeRecord](maxStoredOutcomes, maxOutcomesPerResponse),
		unstored: map[uint64]document.QuarantineChange{}, since: map[uint64]time.Time{}}
}

// add adds the outcomes of an entry, or with the name "" those that another control host
// passed on. It keeps what other control hosts need for their own verdict.
func (k *quarantineKeeper) add(now time.Time, entry string, o AttemptOutcomes) {
	own := entry != ""
	var records []outcomeRecord
	for _, b := range o.Broken {
		records = append(records, outcomeRecord{broken: &b})
		for _, key := range k.table.AddBroken(b, own) {
			records = append(records, outcomeRecord{served: &ServedKey{Key: key, SentAt: k.table.LastServed(key)}})
		}
	}
	for _, r := range o.Responses {
		if k.table.AddResponse(r.Endpoint, r.SentAt) {
			records = append(records, outcomeRecord{response: &r})
		}
	}
	for _, s := range o.Served {
		if !k.table.AddServed(s.Key, s.SentAt) {
			continue
		}
		records = append(records, outcomeRecord{served: &s})
		if _, quarantined := k.since[s.Key]; quarantined {
			k.unstored[s.Key] = document.Exonerate
		}
	}
	for service, attempts := range o.ServedAttempts {
		k.table.CountServed(now, service, attempts)
	}
	k.outcomes.add(now, entry, records)
}

// quarantined returns the parts that are kept from endpoints, in order: those that the log has
// stored, with the changes that this host has decided.
func (k *quarantineKeeper) quarantined(stored []document.QuarantinedPart) []uint64 {
	var parts []uint64
	for _, s := range stored {
		if s.Active && k.unstored[s.Part] != document.Exonerate {
			parts = append(parts, s.Part)
		}
	}
	for part, change := range k.unstored {
		if change == document.Quarantine && !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

// decide updates the verdicts and returns the changes that the log has to store, and the
// parts newly quarantined here.
func (k *quarantineKeeper) decide(now time.Time, stored []document.QuarantinedPart) (changes map[uint64]document.QuarantineChange, added []uint64) {
	byPart := map[uint64]document.QuarantinedPart{}
	for _, s := range stored {
		byPart[s.Part] = s
	}
	for part, change := range k.unstored {
		if active := byPart[part].Active; active == (change == document.Quarantine) {
			delete(k.unstored, part) // the log has applied it
		}
	}
	isQuarantined := func(part uint64) bool {
		return byPart[part].Active && k.unstored[part] != document.Exonerate || k.unstored[part] == document.Quarantine
	}
	added = k.table.Decide(now, isQuarantined, func(part uint64) bool { return byPart[part].Offences > 0 })
	for _, part := range added {
		k.unstored[part] = document.Quarantine
	}
	changes = map[uint64]document.QuarantineChange{}
	for _, key := range k.table.Unfounded(isQuarantined) {
		// The command for one that the log has not stored yet may be under way: it stays until that is stored.
		switch state := byPart[key]; {
		case state.Active && state.Offences > 1:
			changes[key] = document.Release // the offences before this one stand
		case state.Active:
			k.unstored[key] = document.Exonerate
		case !hasQuarantineRoom(stored):
			delete(k.unstored, key) // no command is sent
		}
	}
	k.updateSince(now, stored)
	for part, change := range k.unstored {
		if change == document.Exonerate || hasQuarantineRoom(stored) {
			changes[part] = change
		}
	}
	for _, s := range stored {
		if _, pending := k.unstored[s.Part]; s.Active && !pending && now.Sub(k.since[s.Part]) > quarantineTime(s.Offences) {
			changes[s.Part] = document.Release
		}
	}
	return changes, added
}

// hasQuarantineRoom reports whether the log stores another part. If not, a verdict holds at this
// host only.
func hasQuarantineRoom(stored []document.QuarantinedPart) bool {
	return len(stored) < document.MaxQuarantinedParts || slices.ContainsFunc(stored, func(s document.QuarantinedPart) bool { return !s.Active })
}

// updateSince records when parts became quarantined here.
func (k *quarantineKeeper) updateSince(now time.Time, stored []document.QuarantinedPart) {
	parts := k.quarantined(stored)
	for _, part := range parts {
		if _, known := k.since[part]; !known {
			k.since[part] = now
		}
	}
	for part := range k.since {
		if _, found := slices.BinarySearch(parts, part); !found {
			delete(k.since, part)
		}
	}
}

// quarantineTime returns how long a part is quarantined that has offended so often.
func quarantineTime(offences uint32) time.Duration {
	return min(firstQuarantine<<min(max(offences, 1)-1, 10), maxQuarantine)
}

// keepQuarantine decides on quarantines until ctx ends.
func (s *Server) keepQuarantine(ctx context.Context) {
	var expiredAt time.Time
	wait.Every(ctx, quarantineDecideInterval, func() {
		now := time.Now()
		stored := s.storedQuarantine()
		s.mu.Lock()
		if now.Sub(expiredAt) > quarantineExpireInterval {
			s.quarantine.table.Expire(now)
			expiredAt = now
		}
		changes, added := s.quarantine.decide(now, stored)
		if len(added) > 0 {
			s.notifyWatchers()
		}
		s.mu.Unlock()
		for _, part := range added {
			if quarantine.IsRequest(part) {
				s.logger.Warn("request quarantined", "fingerprint", strconv.FormatUint(part, 16))
			} else {
				s.logger.Warn("prompt part quarantined", "part", strconv.FormatUint(part, 16))
			}
		}
		s.storeQuarantine(ctx, changes)
	})
}

// storedQuarantine returns the parts that the log has stored. While the state is built again from the
// log after the data folder was opened again, these are the parts known before: neither a verdict nor
// its time must start again from a state in which it is missing.
func (s *Server) storedQuarantine() []document.QuarantinedPart {
	view := s.state.State()
	var stored []document.QuarantinedPart
	if view.Machine != nil {
		stored, _ = view.Machine.Quarantined()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.quarantine
	isCurrent := s.state.State().Machine == view.Machine
	if view.Machine != nil && isCurrent && (view.UpToDate || !k.known) {
		k.stored, k.known = stored, view.UpToDate
	}
	return k.stored
}

// storeQuarantine appends changes to the log. What fails is decided and stored again later.
func (s *Server) storeQuarantine(ctx context.Context, changes map[uint64]document.QuarantineChange) {
	if len(changes) == 0 || !s.storingQuarantine.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.storingQuarantine.Store(false)
		ctx, cancel := context.WithTimeout(ctx, quarantineStoreTimeout)
		defer cancel()
		for part, change := range changes {
			if _, err := s.log.Propose(ctx, document.EncodeQuarantineCommand(change, part)); err != nil {
				s.logger.Warn("quarantine not stored yet", "part", strconv.FormatUint(part, 16), "change", change, "error", err)
				return
			}
			s.logger.Info("quarantine stored", "part", strconv.FormatUint(part, 16), "change", change)
		}
	}()
}
