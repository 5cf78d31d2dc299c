// Package quarantine finds the parts of prompts, and the requests, that crash endpoints. It
// collects the attempts that endpoints broke off and what endpoints have served, from all
// entries, and decides what must be kept from endpoints.
//
// An endpoint that crashes breaks off all its attempts, so a broken attempt alone proves
// nothing. A part is quarantined if attempts with it broke at several endpoints one after
// another, none that was sent since was served, and attempts without it are mostly served. A
// request is quarantined if it was at several endpoints when they crashed, was never served,
// and other requests of its service mostly are. A verdict ends once too few of the endpoints that it rests
// on have crashed: responses of the others may arrive after it.
//
// A Table has no clock, goroutine or I/O. It is not safe for concurrent use.
package quarantine

import "time"

// BrokenAttempt is an attempt whose endpoint ended the connection before the response was
// complete.
type BrokenAttempt struct {
	Endpoint uint64 // key of the endpoint's incarnation
	SentAt   time.Time
	BrokenAt time.Time
	HasHead  bool     // the endpoint had begun its response
	Parts    []uint64 // keys of the prompt's parts, without the last one, which is the request's own
	Request  uint64   // key of the request, 0 if not known
	Service  string
}

// requestBit is set in the keys of requests and not in those of prompt parts: callers choose the
// IDs of parts, and must not be able to name a request of others.
const requestBit = 1 << 63

// PartKey returns the key of a prompt part.
func PartKey(id uint64) uint64 { return id &^ requestBit }

// RequestKey returns the key of a request with the given hash.
func RequestKey(hash uint64) uint64 { return hash | requestBit }

// IsRequest reports whether a key is that of a request.
func IsRequest(key uint64) bool { return key&requestBit != 0 }

const (
	// minSequentialBreaks is how many broken attempts, each sent after the one before had
	// broken, a part needs. Attempts that overlap may have a common cause and count once.
	minSequentialBreaks = 3
	// maxChanceProbability is the probability that a quarantined part was hit only by crashes of
	// another cause. It is small because many parts are judged.
	maxChanceProbability = 1e-5
	// priorOffenceBreaks is what an earlier quarantine counts for.
	priorOffenceBreaks = 2
	// settleDelay is how long a break waits until it counts. By then the reports of the other entries
	// about the same time have arrived, and an endpoint that did not crash has responded to one of
	// them.
	settleDelay = 800 * time.Millisecond
	// minRequestCrashes is how many endpoints must have crashed under a request.
	minRequestCrashes = 3
	// maxRequestChance is the probability that a quarantined request was hit only by crashes of
	// another cause. Few requests are judged: it takes as many crashed endpoints as
	// minRequestCrashes.
	maxRequestChance = 1e-3
	// requestBaseline is how long before the first break of a request the outcomes of others
	// count: if all endpoints of a small service crash, nothing is served between the crashes.
	requestBaseline = 30 * time.Second
	// recentlyServed is how long before its first break a request must not have been served. A
	// request that was has breaks that overlap counted once, as those of a part. A break of either
	// that was counts only once an attempt sent after it could have been served.
	recentlyServed = 10 * time.Second
	// eventGap separates crashes that are not at the same moment. A crash of many endpoints by one
	// cause is seen by different hosts within less.
	eventGap = 50 * time.Millisecond
	// respondedMargin is how much later than a break an attempt must have been sent whose response
	// shows that the break was no crash. Times of different hosts differ by less.
	respondedMargin = 100 * time.Millisecond
	// respondedSpan is how much later at most. It is shorter than a restart, after which another
	// incarnation may respond under the same ID.
	respondedSpan = 2 * time.Second
	// maxServedDelay bounds the further wait for a part or request that was served shortly before. One that
	// begins to crash endpoints does so all the while.
	maxServedDelay = 2 * time.Second
	// servedDelayDecay is the divisor of the share that the maximum of delays loses with each served attempt.
	servedDelayDecay = 8
	// evidenceTTL is how long breaks and served parts are kept.
	evidenceTTL = 5 * time.Minute
	// outcomeBucket is the resolution at which the outcomes of attempts are counted.
	outcomeBucket = 500 * time.Millisecond
	// crashSpan is how long after a crash its breaks are seen. An incarnation that breaks
	// attempts off again later had not crashed.
	crashSpan  = time.Second
	maxCrashes = 1024
	maxBreaks  = 128 // of one crash
	maxParts   = 16  // of one attempt
	maxServed  = 32768
)

// crash is what broke at one incarnation of an endpoint.
type crash struct {
	service      string
	brokenAt     time.Time // newest break
	respondedAt  time.Time // when the newest attempt was sent to which the incarnation is known to have responded
	breaks       []BrokenAttempt
	ownCount     int // breaks that own entries reported
	earlierCount int // such breaks more than crashSpan before, at the same incarnation
}

// hasResponded reports whether the endpoint did not crash: it responded after its last break.
func (c *crash) hasResponded() bool { return c.respondedSince(c.brokenAt) }

// respondedSince reports whether the endpoint responded to an attempt sent later than a break.
func (c *crash) respondedSince(brokenAt time.Time) bool {
	return c.respondedAt.Sub(brokenAt) > respondedMargin
}

// servedCount counts served attempts of the own entries in a bucket of time.
type servedCount struct {
	beganAt  time.Time
	attempts int
}

// Table holds the evidence of one host. Its keys are those of prompt parts and requests.
type Table struct {
	crashes      map[uint64]*crash        // by key of the endpoint's incarnation
	served       map[uint64]time.Time     // by key: when the newest served attempt was sent
	servedDelays map[uint64]time.Duration // by key: a decaying maximum of the time from sending an attempt to the report that it was served
	broken       map[uint64]time.Time     // by key: when the newest broken attempt was sent, unless one sent later was served
	servedCounts map[string][]servedCount // by service, oldest first
	verdicts     map[uint64]*verdict      // by key: the decisions of this host
	responses    map[uint64]time.Time     // by key of the endpoint's incarnation: when the newest attempt was sent to which it responded
	now          time.Time                // the newest time passed to a method
}

// New returns an empty table.
func New() *Table {
	return &Table{crashes: map[uint64]*crash{}, served: map[uint64]time.Time{}, servedDelays: map[uint64]time.Duration{}, broken: map[uint64]time.Time{}, servedCounts: map[string][]servedCount{}, verdicts: map[uint64]*verdict{}, responses: map[uint64]time.Time{}}
}
