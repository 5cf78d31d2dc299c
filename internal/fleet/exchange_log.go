package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
)

// ExchangeCursor is a position in an exchangeLog of one incarnation of a control host.
type ExchangeCursor struct {
	Incarnation uint64 // random per start of the control host, 0 before the first response
	Position    uint64
}

// exchangeLog records what entries report, in order of arrival, whether to this control host
// or to another one. A reader that sends a cursor gets the records after it.
type exchangeLog[T any] struct {
	incarnation   uint64
	firstPosition uint64 // of records[0]
	records       []exchangeRecord[T]
	maxRecords    int
	maxReturned   int // records in one response; only the newest are sent
}

// placementLog is passed on to entries and control hosts.
type placementLog = exchangeLog[balance.PartPlacement]

// exchangeRecordTTL is how long a record is passed on. Engines evict prompt parts that
// are not used, and a part that is used again is reported again.
const exchangeRecordTTL = 10 * time.Second

// maxPlacementsPerResponse takes about 1.8 KB, which an entry must decode while it serves
// requests. Parts in use are reported again.
const maxPlacementsPerResponse = 128

// exchangeRecord is a record with the name of the entry that reported it, or "" if
// it came from another control host.
type exchangeRecord[T any] struct {
	value      T
	entry      string
	receivedAt time.Time
}

func newExchangeLog[T any](maxRecords, maxReturned int) exchangeLog[T] {
	return exchangeLog[T]{incarnation: rand.Uint64() | 1, maxRecords: maxRecords, maxReturned: maxReturned}
}

// add appends records, and drops those that are too old or too many. entry is ""
// for another control host.
func (l *exchangeLog[T]) add(now time.Time, entry string, reported []T) {
	for _, value := range reported {
		l.records = append(l.records, exchangeRecord[T]{value: value, entry: entry, receivedAt: now})
	}
	dropped := max(len(l.records)-l.maxRecords, 0)
	for dropped < len(l.records) && now.Sub(l.records[dropped].receivedAt) > exchangeRecordTTL {
		dropped++
	}
	if dropped > 0 {
		l.records = append([]exchangeRecord[T](nil), l.records[dropped:]...)
		l.firstPosition += uint64(dropped)
	}
}

// since returns the newest records after a cursor that did not come from the given
// entry, and the cursor to send next. With the entry "", which stands for another
// control host, it returns those that came from entries. A cursor of another
// incarnation counts as none.
func (l *exchangeLog[T]) since(cursor ExchangeCursor, entry string) ([]T, ExchangeCursor) {
	end := l.firstPosition + uint64(len(l.records))
	start := l.firstPosition
	if cursor.Incarnation == l.incarnation {
		start = min(max(cursor.Position, l.firstPosition), end)
	}
	var out []T
	for _, record := range l.records[start-l.firstPosition:] {
		if record.entry != entry {
			out = append(out, record.value)
		}
	}
	return out[max(len(out)-l.maxReturned, 0):], ExchangeCursor{Incarnation: l.incarnation, Position: end}
}
