package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

const (
	// peerPollInterval is the time between two polls of a peer for the load of its
	// entries. One poll serves all entries of the polling host's failure domain.
	peerPollInterval = 200 * time.Millisecond
	peerPollTimeout  = 300 * time.Millisecond
)

// Share stores the load, the placements and the outcomes of attempts that an entry reports, and
// returns the load and placements of the other entries. Another control host calls it without an
// entry name, and gets what the entries reported to this host itself, the outcomes and limits
// included.
func (s *Server) Share(_ context.Context, req *connect.Request[pb.ShareRequest]) (*connect.Response[pb.ShareResponse], error) {
	m, now := req.Msg, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.entryTTL = entryLoadTTL(s.directory.Len())
	response := &pb.ShareResponse{FailureDomain: s.failureDomain}
	var others loadSum
	s.recordUsage(m, response)
	switch {
	case m.UsageQuery != nil:
		s.reportUsage(m.UsageQuery, response)
		return connect.NewResponse(response), nil
	case m.Urgent:
		s.streams.add(now, m.Entry, streamStartsFromProto(m.StreamStarts))
		s.quarantine.add(now, m.Entry, outcomesFromProto(now, m.Outcomes))
		response.Limits = s.grantPermits(now, m.Limits, false)
		return connect.NewResponse(response), nil
	case m.Entry == "":
		others = s.loads.sumEntries(now, "")
		records, cursor := s.quarantine.outcomes.since(cursorFromProto(m.OutcomeMark), "")
		response.Limits = demandsToProto(now, s.throttle.Demands(now))
		response.Outcomes, response.OutcomeMark = outcomesToProto(now, outcomesOf(records)), cursorToProto(cursor)
		starts, cursor := s.streams.log.since(cursorFromProto(m.StreamMark), "")
		response.StreamStarts, response.StreamMark = streamStartsToProto(starts), cursorToProto(cursor)
		response.ClassUses = s.shares.usesForPeer(now, req.Peer().Addr)
	default:
		s.streams.add(now, m.Entry, streamStartsFromProto(m.StreamStarts))
		s.quarantine.add(now, m.Entry, outcomesFromProto(now, m.Outcomes))
		response.Limits = s.grantPermits(now, m.Limits, true)
		s.loads.recordEntry(now, m.Entry, m.FailureDomain, endpointLoadsFromProto(m.Loads), placementsFromProto(m.Placed))
		response.ClassShares = s.shares.exchange(now, m.Entry, m.ClassUses)
		others = s.loads.sumEntriesAndPeers(now, m.Entry)
	}
	placements, cursor := s.loads.placements.since(cursorFromProto(m.Mark), m.Entry)
	response.FailureDomains, response.Loads = slices.Sorted(maps.Keys(others.failureDomains)), endpointLoadsToProto(others.loads)
	response.Placed, response.Mark = placementsToProto(placements), cursorToProto(cursor)
	return connect.NewResponse(response), nil
}

// pollPeers asks the control hosts of the other failure domains for the load of their
// entries, while entries report to this host, until ctx ends.
func (s *Server) pollPeers(ctx context.Context) {
	peers := map[string]*peer{}
	var calls sync.WaitGroup
	defer calls.Wait()
	wait.Every(ctx, peerPollInterval, func() {
		if !s.hasReportingEntries(time.Now()) {
			return
		}
		for _, url := range s.peerURLs() {
			p := peers[url]
			if p == nil {
				p = &peer{url: url, client: s.newPeerClient(url)}
				peers[url] = p
			}
			if p.tryBeginPoll() {
				calls.Go(func() { defer p.endPoll(); s.pollPeer(ctx, p) })
			}
		}
	})
}

// peerURLs returns the URLs of the other control hosts.
func (s *Server) peerURLs() []string {
	var urls []string
	for _, m := range s.log.Status().Members {
		if m.URL != s.selfURL && m.URL != "" {
			urls = append(urls, m.URL)
		}
	}
	return urls
}

func (s *Server) newPeerClient(url string) trefoilkeelv1connect.FleetServiceClient {
	return trefoilkeelv1connect.NewFleetServiceClient(s.httpClient, url, connect.WithReadMaxBytes(rpc.MaxMessageBytes), connect.WithAcceptCompression("gzip", nil, nil))
}

// hasReportingEntries reports whether entries report their load to this host.
func (s *Server) hasReportingEntries(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads.expireEntries(now)
}

// peer is another control host. It gets one call at a time.
type peer struct {
	url    string
	client trefoilkeelv1connect.FleetServiceClient

	outcomeCursor ExchangeCursor // used by one poll at a time, as streamCursor
	streamCursor  ExchangeCursor

	mu                sync.Mutex
	polling           bool
	sameFailureDomain bool // not polled: all entries of a failure domain report to the same host
}

// tryBeginPoll reports whether a poll may run now, and records that it does.
func (p *peer) tryBeginPoll() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.polling || p.sameFailureDomain {
		return false
	}
	p.polling = true
	return true
}

func (p *peer) endPoll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.polling = false
}

// pollPeer fetches the load that entries reported to a peer.
func (s *Server) pollPeer(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	s.mu.Lock()
	cursor := s.loads.peers[p.url].cursor
	s.mu.Unlock()
	response, err := p.client.Share(ctx, connect.NewRequest(&pb.ShareRequest{Mark: cursorToProto(cursor), OutcomeMark: cursorToProto(p.outcomeCursor), StreamMark: cursorToProto(p.streamCursor)}))
	if err != nil {
		s.logger.Debug("could not fetch the load of another control host's entries", "url", p.url, "error", err)
		return
	}
	m := response.Msg
	p.mu.Lock()
	p.sameFailureDomain = m.FailureDomain == s.failureDomain
	p.mu.Unlock()
	sum := loadSum{loads: endpointLoadsFromProto(m.Loads), failureDomains: map[string]bool{}}
	for _, domain := range m.FailureDomains {
		sum.failureDomains[domain] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(m.ClassUses) > 0 {
		s.shares.table.SetPeer(now, p.url, classUsesFromProto(m.ClassUses))
	}
	p.outcomeCursor = cursorFromProto(m.OutcomeMark)
	s.quarantine.add(now, "", outcomesFromProto(now, m.Outcomes))
	p.streamCursor = cursorFromProto(m.StreamMark)
	s.streams.add(now, "", streamStartsFromProto(m.StreamStarts))
	s.throttle.ObservePeer(now, p.url, demandsFromProto(now, m.Limits))
	s.loads.recordPeer(now, p.url, cursorFromProto(m.Mark), sum, placementsFromProto(m.Placed))
}
