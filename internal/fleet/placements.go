package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
)

// PlacementCursor is a position in the placement log of one incarnation of a control host.
type PlacementCursor struct {
	Incarnation uint64 // random per start of the control host, 0 before the first response
	Position    uint64
}

// placementLog records placements in order of arrival, whether entries reported them to
// this control host or to another one. An entry that sends a cursor gets those after it.
type placementLog struct {
	incarnation   uint64
	firstPosition uint64 // of records[0]
	records       []placementRecord
	maxRecords    int
}

// placementTTL is how long a placement is passed on. Engines evict prompt parts that
// are not used, and a part that is used again is reported again.
const placementTTL = 10 * time.Second

// maxPlacementsPerResponse limits the placements in one response to about 1.8 KB, which
// an entry must decode while it serves requests. Only the newest are sent; parts in use
// are reported again.
const maxPlacementsPerResponse = 128

// placementRecord is a placement with the name of the entry that reported it, or "" if
// it came from another control host.
type placementRecord struct {
	balance.PartPlacement
	entry      string
	receivedAt time.Time
}

func newPlacementLog(maxRecords int) placementLog {
	return placementLog{incarnation: rand.Uint64() | 1, maxRecords: maxRecords}
}

// add appends placements, and drops records that are too old or too many. entry is ""
// for another control host.
func (p *placementLog) add(now time.Time, entry string, reported []balance.PartPlacement) {
	for _, placement := range reported {
		p.records = append(p.records, placementRecord{PartPlacement: placement, entry: entry, receivedAt: now})
	}
	dropped := max(len(p.records)-p.maxRecords, 0)
	for dropped < len(p.records) && now.Sub(p.records[dropped].receivedAt) > placementTTL {
		dropped++
	}
	if dropped > 0 {
		p.records = append([]placementRecord(nil), p.records[dropped:]...)
		p.firstPosition += uint64(dropped)
	}
}

// since returns the newest placements after a cursor that did not come from the given
// entry, and the cursor to send next. With the entry "", which stands for another
// control host, it returns those that came from entries. A cursor of another
// incarnation counts as none.
func (p *placementLog) since(cursor PlacementCursor, entry string) ([]balance.PartPlacement, PlacementCursor) {
	end := p.firstPosition + uint64(len(p.records))
	start := p.firstPosition
	if cursor.Incarnation == p.incarnation {
		start = min(max(cursor.Position, p.firstPosition), end)
	}
	var out []balance.PartPlacement
	for _, record := range p.records[start-p.firstPosition:] {
		if record.entry != entry {
			out = append(out, record.PartPlacement)
		}
	}
	return out[max(len(out)-maxPlacementsPerResponse, 0):], PlacementCursor{Incarnation: p.incarnation, Position: end}
}
