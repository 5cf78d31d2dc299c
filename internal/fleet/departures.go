package fleet

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Timing and limits of the exchange of departures.
const (
	// departureTimeout is how long an endpoint waits for the acknowledgement that it leaves. It
	// is shorter than the second after which endpoints ask another control host.
	departureTimeout = 800 * time.Millisecond
	// passTimeout limits one call that passes departures on. Several fit into departureTimeout,
	// because a call on a connection that has gone silent fails only by its timeout.
	passTimeout       = 250 * time.Millisecond
	passRetryInterval = 50 * time.Millisecond
	maxPassedPerCall  = 512 // departures

	// departureFetchInterval is the time between two fetches of a host's departures from one of
	// its peers, by turns. A peer that it has not reached is asked again after
	// minDepartureFetchRetry to maxDepartureFetchRetry.
	departureFetchInterval = time.Second
	departureFetchTimeout  = 400 * time.Millisecond
	minDepartureFetchRetry = 200 * time.Millisecond
	maxDepartureFetchRetry = time.Second
	// maxDepartureFetchWait is how long after its start a host confirms no configuration to entries before it has
	// fetched from voters that have kept all that they held. Then any majority of the voters suffices.
	maxDepartureFetchWait = time.Second
)

// DepartureNotHeldError reports that too few control hosts hold the departure of an endpoint for
// it to outlive the loss of one.
type DepartureNotHeldError struct {
	Endpoint          string
	Holders, Required int // voting control hosts; Required is 0 if the voters are not known
}

func (e *DepartureNotHeldError) Error() string {
	if e.Required == 0 {
		return "departure of " + e.Endpoint + " not held: the control hosts are not known"
	}
	return fmt.Sprintf("departure of %s not held: %d of the %d control hosts needed hold it", e.Endpoint, e.Holders, e.Required)
}

// DeparturesNotReadError reports that a host has not read back the departures that it held before its start.
type DeparturesNotReadError struct{}

func (e *DeparturesNotReadError) Error() string {
	return "the departures from before the start are not read back yet"
}

// departureKeeper passes departures on to the other control hosts. The Server's lock guards it.
type departureKeeper struct {
	peers map[string]*departurePeer // by URL
	held  map[string]heldDeparture  // by ID of the endpoint
	wake  chan struct{}             // a departure is to be passed on
	store *departureStore
	// settled is closed once this host has fetched every departure that was acknowledged before
	// its start.
	settled   chan struct{}
	isSettled bool
}

// heldDeparture is a departure that a majority holds, or that this host has stored.
type heldDeparture struct {
	startedUnixMS int64
	state         directory.State
}

func heldAs(e directory.Endpoint) heldDeparture {
	return heldDeparture{startedUnixMS: e.StartedUnixMS, state: e.State}
}

// covers reports whether a departure is the one that is held. A deregistration without a start time may be about a later
// incarnation than the one before.
func (h heldDeparture) covers(e directory.Endpoint) bool {
	return (e.StartedUnixMS != 0 || e.State != directory.Gone) && h.startedUnixMS == e.StartedUnixMS && h.state >= e.State
}

// departurePeer is another control host.
type departurePeer struct {
	url     string
	client  trefoilkeelv1connect.FleetServiceClient
	pending []*departureRound // to be passed on
	passing bool              // a goroutine passes pending on

	fetched    bool // the last fetch from it succeeded
	kept       bool // it had lost none of the departures that it held
	fetching   bool
	retryAt    time.Time // of the next fetch, unless fetched and kept
	retryDelay time.Duration
}

// departureRound counts the voters that hold one departure.
type departureRound struct {
	endpoint  directory.Endpoint
	expiresAt time.Time
	awaited   map[string]bool // URLs of the voters that have not answered, "" of this host
	voters    int             // that know the call, as far as known
	holders   int             // voters that hold the departure
	done      chan struct{}   // closed once decided
	decided   bool
}

// passResult is the answer of a peer to one departure.
type passResult int

const (
	passHeld passResult = iota
	passRefused
	// passUnsupported is the answer of an older build. Its host is not counted among the voters,
	// so that departures can be acknowledged while builds are mixed.
	passUnsupported
)

// newDepartureKeeper returns a keeper that stores departures in a folder, or holds them in memory only if that is "".
func newDepartureKeeper(folder string) *departureKeeper {
	return &departureKeeper{peers: map[string]*departurePeer{}, held: map[string]heldDeparture{}, wake: make(chan struct{}, 1), store: newDepartureStore(folder), settled: make(chan struct{})}
}

// expire forgets that a departure is held once the directory has removed the endpoint.
func (k *departureKeeper) expire(d *directory.Directory) {
	for _, held := range []map[string]heldDeparture{k.held, k.store.stored} {
		for id := range held {
			if _, known := d.Get(id); !known {
				delete(held, id)
			}
		}
	}
}

// isHeld reports whether a majority is known to hold a departure.
func (k *departureKeeper) isHeld(e directory.Endpoint) bool {
	h, ok := k.held[e.ID]
	return ok && h.covers(e)
}

// hasKept reports whether this host has lost none of the departures that it held, or has fetched them.
func (k *departureKeeper) hasKept() bool { return k.isSettled || k.store.wasComplete }

// required returns how many voters must hold the departure.
func (r *departureRound) required() int {
	if r.voters == 0 {
		return 0
	}
	return r.voters/2 + 1
}

// record counts the answer of a peer.
func (r *departureRound) record(url string, result passResult) {
	if !r.awaited[url] {
		return
	}
	delete(r.awaited, url)
	switch result {
	case passHeld:
		r.holders++
	case passUnsupported:
		r.voters--
	}
	r.decide()
}

// decide closes done once the departure is held, or no answer is left that could change that.
func (r *departureRound) decide() {
	if !r.decided && (r.isHeld() || len(r.awaited) == 0) {
		r.decided = true
		close(r.done)
	}
}

func (r *departureRound) isHeld() bool { return r.holders >= r.required() }

// holdDeparture passes a departure that this host has merged on to the other control hosts, and
// returns once a majority of the voters holds it.
func (s *Server) holdDeparture(ctx context.Context, e directory.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	s.mu.Lock()
	isHeld, hasRoom := s.departures.isHeld(e), s.directory.Holds(e)
	s.mu.Unlock()
	switch {
	case isHeld:
		return nil
	case !hasRoom:
		return &DepartureNotHeldError{Endpoint: e.ID, Required: 1}
	}
	round := s.beginRound(e)
	if round == nil {
		return &DepartureNotHeldError{Endpoint: e.ID}
	}
	select {
	case <-round.done:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !round.isHeld() {
		return &DepartureNotHeldError{Endpoint: e.ID, Holders: round.holders, Required: round.required()}
	}
	s.departures.held[e.ID] = heldAs(e)
	return nil
}

// beginRound queues a departure for all peers. It returns nil if the voters are not known.
func (s *Server) beginRound(e directory.Endpoint) *departureRound {
	members := s.log.Status().Members
	round := &departureRound{endpoint: e, expiresAt: time.Now().Add(departureTimeout), awaited: map[string]bool{}, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range members {
		isSelf := m.URL == "" || m.URL == s.selfURL
		if m.IsVoter {
			round.voters++
		}
		switch {
		case isSelf && m.IsVoter:
			s.storeForRound(round)
		case !isSelf:
			if m.IsVoter {
				round.awaited[m.URL] = true
			}
			p := s.departurePeer(m.URL)
			p.pending = append(p.pending, round)
		}
	}
	if round.voters == 0 {
		return nil
	}
	round.decide()
	select {
	case s.departures.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
	return round
}

// storeForRound counts this host as a holder once it has stored the departure. The caller holds the lock.
func (s *Server) storeForRound(r *departureRound) {
	batch := s.departures.store.add(r.endpoint)
	if batch == nil {
		r.holders++
		return
	}
	r.awaited[""] = true
	go func() {
		<-batch.done
		result := passHeld
		if batch.err != nil {
			result = passRefused
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		r.record("", result)
	}()
}

// departurePeer returns the peer with a URL. The caller holds the lock.
func (s *Server) departurePeer(url string) *departurePeer {
	p := s.departures.peers[url]
	if p == nil {
		p = &departurePeer{url: url, client: s.newPeerClient(url)}
		s.departures.peers[url] = p
	}
	return p
}

// passDepartures passes departures on to the peers, with one call at a time to each, until ctx
// ends.
func (s *Server) passDepartures(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.departures.wake:
		}
		s.mu.Lock()
		for _, p := range s.departures.peers {
			if len(p.pending) > 0 && !p.passing {
				p.passing = true
				calls.Go(func() { s.passToPeer(ctx, p) })
			}
		}
		s.mu.Unlock()
	}
}

// passToPeer passes the pending departures on to a peer until none is left.
func (s *Server) passToPeer(ctx context.Context, p *departurePeer) {
	for {
		batch := s.takePending(p)
		if len(batch) == 0 {
			return
		}
		if err := s.passBatch(ctx, p, batch); err != nil {
			if ctx.Err() != nil {
				return
			}
			s.logger.Warn("departures not passed on", "url", p.url, "departures", len(batch), "error", err)
			if !wait.For(ctx, passRetryInterval) {
				return
			}
		}
	}
}

// takePending returns the next departures for a peer, which stay pending until passBatch
// succeeds. Departures that their endpoints no longer wait for are dropped; the peer
// fetches them once it is reachable. Without any left, the peer counts as idle.
func (s *Server) takePending(p *departurePeer) []*departureRound {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p.pending = slices.DeleteFunc(p.pending, func(r *departureRound) bool { return now.After(r.expiresAt) })
	p.passing = len(p.pending) > 0
	return slices.Clone(p.pending[:min(len(p.pending), maxPassedPerCall)])
}

// passBatch passes the first pending departures on to a peer in one call.
func (s *Server) passBatch(ctx context.Context, p *departurePeer, batch []*departureRound) error {
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	now, request := time.Now(), &pb.PassDeparturesRequest{}
	for _, r := range batch {
		request.Departures = append(request.Departures, endpointToProto(r.endpoint, now))
	}
	response, err := p.client.PassDepartures(ctx, connect.NewRequest(request))
	isUnsupported := connect.CodeOf(err) == connect.CodeUnimplemented
	if err != nil && !isUnsupported {
		return err
	}
	if isUnsupported {
		s.logger.Warn("an older build does not take departures", "url", p.url)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, r := range batch {
		result := passHeld
		switch {
		case isUnsupported:
			result = passUnsupported
		case slices.Contains(response.Msg.NotHeld, uint32(i)):
			result = passRefused
		}
		r.record(p.url, result)
	}
	p.pending = slices.DeleteFunc(p.pending, func(r *departureRound) bool { return slices.Contains(batch, r) })
	return nil
}

// PassDepartures merges departures that another control host is about to acknowledge, and stores them.
func (s *Server) PassDepartures(ctx context.Context, req *connect.Request[pb.PassDeparturesRequest]) (*connect.Response[pb.PassDeparturesResponse], error) {
	departures := s.departuresFromProto(req.Msg.Departures, time.Now())
	s.mergeReports(slices.Collect(maps.Values(departures))...)
	response := &pb.PassDeparturesResponse{}
	var held []directory.Endpoint
	var heldIndexes []uint32
	s.mu.Lock()
	for i := range req.Msg.Departures {
		if e, usable := departures[i]; usable && s.directory.Holds(e) {
			held, heldIndexes = append(held, e), append(heldIndexes, uint32(i))
		} else {
			response.NotHeld = append(response.NotHeld, uint32(i))
		}
	}
	batch := s.departures.store.add(held...)
	s.mu.Unlock()
	if err := batch.wait(ctx); err != nil {
		if ctx.Err() != nil {
			return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
		}
		response.NotHeld = append(response.NotHeld, heldIndexes...) // the writer has logged the error
	}
	return connect.NewResponse(response), nil
}

// Departures returns the departures that this host holds, unless the caller holds the same. A host that has not read
// back its own yet answers with an error.
func (s *Server) Departures(_ context.Context, req *connect.Request[pb.DeparturesRequest]) (*connect.Response[pb.DeparturesResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.departures.store.folder != "" && !s.departures.store.isOpen {
		return nil, connect.NewError(connect.CodeUnavailable, &DeparturesNotReadError{})
	}
	now, response := time.Now(), &pb.DeparturesResponse{Kept: s.departures.hasKept()}
	if s.directory.DepartureDigest(now) != req.Msg.Digest {
		for _, e := range s.directory.Departures(now) {
			response.Departures = append(response.Departures, endpointToProto(e, now))
		}
	}
	return connect.NewResponse(response), nil
}

// fetchDepartures fetches the departures that the peers hold, until ctx ends: from all of them
// after the start of this host, and later from one at a time, for those that were
// acknowledged while this host was cut off.
func (s *Server) fetchDepartures(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	var turnAt time.Time
	for turn := 0; ; {
		urls, now := s.peerURLs(), time.Now()
		turnURL := ""
		if len(urls) > 0 && now.Sub(turnAt) >= departureFetchInterval {
			turnURL, turnAt = urls[turn%len(urls)], now
			turn++
		}
		pause := departureFetchInterval
		s.mu.Lock()
		if len(urls) == 0 || !s.departures.isSettled {
			pause = minDepartureFetchRetry
		}
		s.departures.forgetPeers(urls)
		for _, url := range urls {
			p := s.departurePeer(url)
			if !p.fetched {
				pause = minDepartureFetchRetry
			}
			isDue := url == turnURL || (!p.fetched || !p.kept && !s.departures.isSettled) && !now.Before(p.retryAt)
			if isDue && !p.fetching {
				p.fetching = true
				calls.Go(func() { s.fetchFromPeer(ctx, p) })
			}
		}
		s.departures.settle(s.log.Status().Members, s.selfURL, now.Sub(s.startedAt))
		s.mu.Unlock()
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// settle closes settled once this host has fetched every departure that was acknowledged before its start, or nothing more
// can be learned of them. A majority of the voters held each. So one of the holders is among those that this host knows
// of if fewer than a majority are left. A voter that has lost what it held counts among these, this host too; it counts among
// the others once all voters have answered, or after maxDepartureFetchWait.
func (k *departureKeeper) settle(members []replica.Member, selfURL string, sinceStart time.Duration) {
	if k.isSettled || k.store.folder != "" && !k.store.isOpen {
		return
	}
	voters, unknown, unanswered := 0, 0, 0
	for _, m := range members {
		if !m.IsVoter {
			continue
		}
		voters++
		isSelf := m.URL == "" || m.URL == selfURL
		p := k.peers[m.URL]
		switch {
		case isSelf && !k.store.wasComplete:
			unknown++
		case !isSelf && (p == nil || !p.fetched):
			unknown, unanswered = unknown+1, unanswered+1
		case !isSelf && !p.kept:
			unknown++
		}
	}
	majority := voters/2 + 1
	isKnown := unknown < majority
	isAnswered := unanswered == 0 || sinceStart >= maxDepartureFetchWait && voters-unanswered >= majority
	if voters > 0 && (isKnown || isAnswered) {
		k.isSettled = true
		close(k.settled)
		k.store.wakeWriter()
	}
}

// awaitDepartures waits until the departures are settled.
func (s *Server) awaitDepartures(ctx context.Context) {
	select {
	case <-s.departures.settled:
	case <-ctx.Done():
	}
}

// forgetPeers removes the peers that are no longer members.
func (k *departureKeeper) forgetPeers(urls []string) {
	for url, p := range k.peers {
		if !slices.Contains(urls, url) && !p.passing && len(p.pending) == 0 {
			delete(k.peers, url)
		}
	}
}

// fetchFromPeer merges the departures that a peer holds.
func (s *Server) fetchFromPeer(ctx context.Context, p *departurePeer) {
	ctx, cancel := context.WithTimeout(ctx, departureFetchTimeout)
	defer cancel()
	s.mu.Lock()
	digest := s.directory.DepartureDigest(time.Now())
	s.mu.Unlock()
	response, err := p.client.Departures(ctx, connect.NewRequest(&pb.DeparturesRequest{Digest: digest}))
	isUnsupported := connect.CodeOf(err) == connect.CodeUnimplemented
	var fetched []directory.Endpoint
	if err == nil {
		fetched = slices.Collect(maps.Values(s.departuresFromProto(response.Msg.Departures, time.Now())))
		s.mergeReports(fetched...)
	} else if !isUnsupported {
		s.logger.Debug("departures not fetched", "url", p.url, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departures.store.add(slices.DeleteFunc(fetched, func(e directory.Endpoint) bool { return !s.directory.Holds(e) })...)
	p.fetching, p.fetched, p.kept = false, err == nil || isUnsupported, err == nil && response.Msg.Kept
	if p.fetched {
		p.retryDelay, p.retryAt = 0, time.Now().Add(minDepartureFetchRetry)
		s.departures.settle(s.log.Status().Members, s.selfURL, time.Since(s.startedAt))
		return
	}
	p.retryDelay = min(max(2*p.retryDelay, minDepartureFetchRetry), maxDepartureFetchRetry)
	p.retryAt = time.Now().Add(p.retryDelay)
}

// departuresFromProto returns the departures that can be used, by their index.
func (s *Server) departuresFromProto(departures []*pb.FleetEndpoint, now time.Time) map[int]directory.Endpoint {
	usable := map[int]directory.Endpoint{}
	for i, d := range departures {
		e, err := endpointFromProto(d, now)
		if err == nil && e.State < directory.Draining {
			err = &directory.InvalidError{Field: "state"}
		}
		if err != nil {
			s.logger.Warn("departure of another control host left out", "endpoint", d.Id[:min(len(d.Id), directory.MaxNameBytes)], "error", err)
			continue
		}
		usable[i] = e
	}
	return usable
}
