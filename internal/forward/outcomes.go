package forward

import (
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
	"github.com/trefoilkeel/trefoilkeel/internal/quarantine"
)

const (
	// servedStreamTime is how long after its first event a stream shows that its endpoint
	// can serve the prompt.
	servedStreamTime  = time.Second
	maxBrokenAttempts = 256
	maxServedKeys     = 2048
	// maxUnconfirmed limits the responses of one endpoint that wait for unconfirmedTTL at most.
	maxUnconfirmed = 64
	unconfirmedTTL = 10 * time.Second
	// maxResponding limits the endpoints whose responses are reported.
	maxResponding = 1024
)

// AttemptOutcomes are the outcomes of attempts. The last part of a prompt is left out: it belongs to
// one request or session.
type AttemptOutcomes struct {
	Broken         []quarantine.BrokenAttempt
	Served         map[uint64]time.Time // by key of a prompt part or request: when the newest served attempt was sent
	ServedAttempts map[string]int       // by service
	Responses      map[uint64]time.Time // by an endpoint's incarnation: when the newest attempt was sent to which it responded
}

// TakeOutcomes returns and clears the outcomes since the last call.
func (rt *Router) TakeOutcomes() AttemptOutcomes {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	taken := rt.outcomes
	rt.outcomes = AttemptOutcomes{}
	return taken
}

// HasBrokenAttempts reports whether outcomes to be taken contain broken attempts.
func (rt *Router) HasBrokenAttempts() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return len(rt.outcomes.Broken) > 0
}

// SetQuarantinedParts replaces the keys of the prompt parts and requests that are kept from endpoints.
func (rt *Router) SetQuarantinedParts(keys map[uint64]bool) { rt.quarantined.Store(&keys) }

// QuarantinedError reports that a request, or a part of its prompt, is kept from endpoints.
type QuarantinedError struct {
	Key uint64 // of the part or request
}

func (e *QuarantinedError) Error() string {
	kind := "prompt part "
	if quarantine.IsRequest(e.Key) {
		kind = "request "
	}
	return kind + formatKey(e.Key) + " is quarantined: endpoints crashed over it"
}

// quarantineRetryAfter is the Retry-After of a request with a quarantined part. Quarantines
// last longer; retries are cheap and cause no attempt.
const quarantineRetryAfter = time.Minute

// checkQuarantine returns a *QuarantinedError if the request must be kept from endpoints.
func (a *activeRequest) checkQuarantine() error {
	quarantined := a.quarantined.Load()
	if quarantined == nil || len(*quarantined) == 0 || a.options.Balance.Off.Has(mechanism.Quarantine) {
		return nil
	}
	for _, key := range a.quarantineKeys() {
		if (*quarantined)[key] {
			return errors.WithStack(&QuarantinedError{Key: key})
		}
	}
	return nil
}

// sharedParts returns the keys of the prompt parts that other requests may share: all but the
// last one.
func (a *activeRequest) sharedParts() []uint64 {
	var shared []uint64
	for i := range max(len(a.request.PromptParts)-1, 0) {
		shared = append(shared, quarantine.PartKey(a.request.PromptParts[i].ID))
	}
	return shared
}

// quarantineKeys returns the keys of the shared prompt parts and of the request.
func (a *activeRequest) quarantineKeys() []uint64 { return append(a.sharedParts(), a.fingerprint) }

// unconfirmedResponse ended with its connection, and looked complete: its endpoint may have
// crashed then. A later response of the same incarnation shows that it had not.
type unconfirmedResponse struct {
	service string
	keys    []uint64
	sentAt  time.Time
	endedAt time.Time
}

// recordUndelimited records a response that looked complete and ended with its connection.
func (a *activeRequest) recordUndelimited(now time.Time) {
	if a.servedRecorded {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	waiting := a.unconfirmed[a.choice.Incarnation]
	if len(waiting) < maxUnconfirmed {
		a.unconfirmed[a.choice.Incarnation] = append(waiting, unconfirmedResponse{service: a.request.Service, keys: a.quarantineKeys(), sentAt: a.sentAt, endedAt: now})
	}
}

// confirmServed records the responses of the endpoint as served that ended before this attempt was
// sent, now that its response has begun.
func (a *activeRequest) confirmServed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	waiting := a.unconfirmed[a.choice.Incarnation]
	if len(waiting) == 0 {
		return
	}
	var left []unconfirmedResponse
	for _, u := range waiting {
		if a.sentAt.After(u.endedAt) {
			a.addServed(u.service, u.keys, u.sentAt)
		} else {
			left = append(left, u)
		}
	}
	a.setUnconfirmed(a.choice.Incarnation, left)
}

// setUnconfirmed requires the lock.
func (rt *Router) setUnconfirmed(incarnation uint64, waiting []unconfirmedResponse) {
	if len(waiting) == 0 {
		delete(rt.unconfirmed, incarnation)
		return
	}
	rt.unconfirmed[incarnation] = waiting
}

// recordResponding records that the endpoint responds: what it broke off before was no crash.
func (a *activeRequest) recordResponding() {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := &a.outcomes
	if o.Responses == nil {
		o.Responses = map[uint64]time.Time{}
	}
	if newest, known := o.Responses[a.choice.Incarnation]; a.sentAt.After(newest) && (known || len(o.Responses) < maxResponding) {
		o.Responses[a.choice.Incarnation] = a.sentAt
	}
}

// expireUnconfirmed drops responses of endpoints that have not responded since.
func (rt *Router) expireUnconfirmed(now time.Time) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for incarnation, waiting := range rt.unconfirmed {
		rt.setUnconfirmed(incarnation, slices.DeleteFunc(waiting, func(u unconfirmedResponse) bool { return now.Sub(u.endedAt) > unconfirmedTTL }))
	}
}

// recordServed records once for each attempt that its endpoint has served the request.
func (a *activeRequest) recordServed() {
	if a.servedRecorded {
		return
	}
	a.servedRecorded = true
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addServed(a.request.Service, a.quarantineKeys(), a.sentAt)
}

// addServed adds a served attempt that was sent at a time. A request that was not seen before is
// left out: it is under no suspicion, and few requests come again. The caller holds the lock.
func (rt *Router) addServed(service string, keys []uint64, sentAt time.Time) {
	o := &rt.outcomes
	if o.Served == nil {
		o.Served, o.ServedAttempts = map[uint64]time.Time{}, map[string]int{}
	}
	o.ServedAttempts[service]++
	for _, key := range keys {
		if quarantine.IsRequest(key) && !rt.seen.add(key) {
			continue
		}
		if newest, known := o.Served[key]; sentAt.After(newest) && (known || len(o.Served) < maxServedKeys) {
			o.Served[key] = sentAt
		}
	}
}

// recordBroken records an attempt whose endpoint ended the connection early. What has been
// served for long enough, or was spoilt otherwise, is no evidence of a crash.
func (a *activeRequest) recordBroken(now time.Time, err error) {
	if a.servedRecorded || !isConnectionLoss(err) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen.add(a.fingerprint)
	delete(a.unconfirmed, a.choice.Incarnation)
	if len(a.outcomes.Broken) < maxBrokenAttempts {
		a.outcomes.Broken = append(a.outcomes.Broken, quarantine.BrokenAttempt{Endpoint: a.choice.Incarnation,
			SentAt: a.sentAt, BrokenAt: now, HasHead: a.headReceived, Parts: a.sharedParts(), Request: a.fingerprint, Service: a.request.Service})
	}
}

// isConnectionLoss reports whether the peer ended a connection in the middle of a response.
func isConnectionLoss(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
}
