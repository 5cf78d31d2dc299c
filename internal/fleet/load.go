package fleet

import (
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
)

// Timing and limits of the exchange of load.
const (
	// minExchangeInterval is the least time between two exchanges of an entry. If it
	// knows more than rateExemptEndpoints endpoints, the load of the further ones, each
	// of endpointLoadBytes, takes at most exchangeBytesPerSecond, which is four fifths of
	// the control traffic that a node may cause. For the exempt ones, fresh load is worth
	// its bytes (docs/decisions/066).
	minExchangeInterval    = 100 * time.Millisecond
	rateExemptEndpoints    = 64
	exchangeBytesPerSecond = 4000
	endpointLoadBytes      = 16
	// minEntryLoadTTL is the least time for which the load of an entry counts.
	minEntryLoadTTL = time.Second
	// peerLoadTTL is how long the load from another control host counts. One or two
	// lost responses must not change which endpoints prompts are routed to.
	peerLoadTTL = 1200 * time.Millisecond
	// maxStoredPlacements limits the stored placements; the oldest are dropped first.
	maxStoredPlacements = 8192
)

// EndpointLoads is the load that entries have in flight, by endpoint.
type EndpointLoads = map[balance.EndpointKey]balance.InFlightLoad

// LoadExchangeInterval returns the time between two exchanges of load of an entry that
// knows this many endpoints.
func LoadExchangeInterval(endpoints int) time.Duration {
	return max(minExchangeInterval, time.Duration(endpoints-rateExemptEndpoints)*time.Second*endpointLoadBytes/exchangeBytesPerSecond)
}

// maxLostReports is how many reports of an entry in a row may be lost before its load
// no longer counts.
const maxLostReports = 3

// entryLoadTTL returns how long the load that an entry reported counts.
func entryLoadTTL(endpoints int) time.Duration {
	return max(minEntryLoadTTL, maxLostReports*LoadExchangeInterval(endpoints))
}

// loadTable holds the load of entries on a control host: what entries reported to it,
// and what they reported to the other control hosts. Its methods take the time as an
// argument.
type loadTable struct {
	entries    map[string]entryLoad // by name of the entry
	peers      map[string]peerLoad  // by URL of the control host
	placements placementLog
	entryTTL   time.Duration // how long the load of an entry counts
}

// entryLoad is the last report of an entry.
type entryLoad struct {
	failureDomain string
	receivedAt    time.Time
	loads         EndpointLoads
}

// peerLoad is the last response of another control host: the load summed over the
// entries that report to it.
type peerLoad struct {
	receivedAt time.Time
	cursor     ExchangeCursor
	loadSum
}

// loadSum is the load that several entries have in flight, and their failure domains.
type loadSum struct {
	loads          EndpointLoads
	failureDomains map[string]bool
}

func newLoadTable() *loadTable {
	return &loadTable{entries: map[string]entryLoad{}, peers: map[string]peerLoad{}, placements: newExchangeLog[balance.PartPlacement](maxStoredPlacements, maxPlacementsPerResponse), entryTTL: minEntryLoadTTL}
}

// recordEntry stores the report of an entry: its load in flight and new placements.
func (l *loadTable) recordEntry(now time.Time, entry, failureDomain string, loads EndpointLoads, placements []balance.PartPlacement) {
	l.entries[entry] = entryLoad{failureDomain: failureDomain, receivedAt: now, loads: loads}
	l.placements.add(now, entry, placements)
}

// recordPeer stores the response of another control host: the sum over its entries, the
// placements since the last response, and the cursor for the next request.
func (l *loadTable) recordPeer(now time.Time, url string, cursor ExchangeCursor, s loadSum, placements []balance.PartPlacement) {
	l.peers[url] = peerLoad{receivedAt: now, cursor: cursor, loadSum: s}
	l.placements.add(now, "", placements)
}

// expireEntries removes the entries that have stopped reporting to this host. It
// returns whether any are left.
func (l *loadTable) expireEntries(now time.Time) bool {
	for name, e := range l.entries {
		if now.Sub(e.receivedAt) > l.entryTTL {
			delete(l.entries, name)
		}
	}
	return len(l.entries) > 0
}

// sumEntries sums the load of the entries that report to this host, except one. The
// failure domain of that one is included.
func (l *loadTable) sumEntries(now time.Time, except string) loadSum {
	s := loadSum{loads: EndpointLoads{}, failureDomains: map[string]bool{}}
	if !l.expireEntries(now) {
		return s
	}
	for name, e := range l.entries {
		s.failureDomains[e.failureDomain] = true
		if name != except {
			s.add(e.loads)
		}
	}
	return s
}

// sumEntriesAndPeers sums the load of all entries except one.
func (l *loadTable) sumEntriesAndPeers(now time.Time, except string) loadSum {
	s := l.sumEntries(now, except)
	for url, peer := range l.peers {
		if now.Sub(peer.receivedAt) > peerLoadTTL {
			delete(l.peers, url)
			continue
		}
		s.add(peer.loads)
		for domain := range peer.failureDomains {
			s.failureDomains[domain] = true
		}
	}
	return s
}

func (s *loadSum) add(loads EndpointLoads) {
	for key, load := range loads {
		s.loads[key] = s.loads[key].Add(load)
	}
}
