package duty

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// Bounds of the orders of a record.
const (
	MaxOrders       = 1024 // subjects with an order
	MaxSubjectBytes = 255  // length of the name of a service or a failure domain
)

// Subject is a service in a failure domain.
type Subject struct {
	Service       string
	FailureDomain string
}

func (s Subject) compare(other Subject) int {
	return cmp.Or(cmp.Compare(s.Service, other.Service), cmp.Compare(s.FailureDomain, other.FailureDomain))
}

func (s Subject) valid() bool {
	return s.Service != "" && len(s.Service) <= MaxSubjectBytes && len(s.FailureDomain) <= MaxSubjectBytes
}

// Order is the last agreed order of endpoints for a subject. Open orders are to be sent.
type Order struct {
	Subject
	Desired uint64 // number of endpoints
	Number  uint64 // Holding.Sequence after its agreement: rises with each order
	Outcome Outcome
}

// WantedOrder is a number of endpoints that a host would order.
type WantedOrder struct {
	Subject
	Desired uint64
}

// EncodeAgreeOrder encodes the command that stores an order before it is sent.
func EncodeAgreeOrder(h Holdership, order WantedOrder) []byte {
	b := appendSubject(appendHead(agreeOrder, h), order.Subject)
	return binary.AppendUvarint(b, order.Desired)
}

// EncodeSettleOrder encodes the command that ends the order with a number.
func EncodeSettleOrder(h Holdership, number uint64, outcome Outcome) []byte {
	return append(binary.BigEndian.AppendUint64(appendHead(settleOrder, h), number), byte(outcome))
}

func appendSubject(b []byte, s Subject) []byte {
	b = append(binary.AppendUvarint(b, uint64(len(s.Service))), s.Service...)
	return append(binary.AppendUvarint(b, uint64(len(s.FailureDomain))), s.FailureDomain...)
}

func (c *cutter) subject() Subject {
	service := string(c.bytes(MaxSubjectBytes))
	return Subject{Service: service, FailureDomain: string(c.bytes(MaxSubjectBytes))}
}

// Order returns the last order for a subject, if there is one.
func (r *Record) Order(s Subject) (Order, bool) {
	i, found := r.searchOrder(s)
	if !found {
		return Order{}, false
	}
	return r.Orders[i], true
}

func (r *Record) searchOrder(s Subject) (int, bool) {
	return slices.BinarySearchFunc(r.Orders, s, func(o Order, s Subject) int { return o.compare(s) })
}

// agreeOrder stores an order in place of the last one for its subject. A command that comes
// after a later one of its process is refused, so that it doesn't undo that one's order.
func (r *Record) agreeOrder(c command) bool {
	if c.stamp <= r.Holding.Stamp {
		return false
	}
	i, found := r.searchOrder(c.order.Subject)
	if found && !r.Orders[i].differs(c.order.Desired) || !found && !r.makeRoomForOrder() {
		return false
	}
	order := Order{Subject: c.order.Subject, Desired: c.order.Desired, Number: r.Holding.Sequence + 1}
	if found {
		r.Orders[i] = order
		return true
	}
	i, _ = r.searchOrder(order.Subject)
	r.Orders = slices.Insert(r.Orders, i, order)
	return true
}

// differs reports whether an order of a number would not repeat this one.
func (o Order) differs(desired uint64) bool { return o.Desired != desired || o.Outcome == Abandoned }

// makeRoomForOrder drops the oldest settled order if there are MaxOrders. It reports whether there
// is room.
func (r *Record) makeRoomForOrder() bool {
	if len(r.Orders) < MaxOrders {
		return true
	}
	oldest := -1
	for i, o := range r.Orders {
		if o.Outcome != Open && (oldest < 0 || o.Number < r.Orders[oldest].Number) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	r.Orders = slices.Delete(r.Orders, oldest, oldest+1)
	return true
}

// settleOrder ends an order unless a newer one has replaced it.
func (r *Record) settleOrder(number uint64, outcome Outcome) bool {
	for i := range r.Orders {
		if r.Orders[i].Number == number && r.Orders[i].Outcome == Open {
			r.Orders[i].Outcome = outcome
			return true
		}
	}
	return false
}

// orders is what one host knows of the orders. All times are of the boot clock.
type orders struct {
	observed    map[Subject]observedOrder
	results     map[uint64]Outcome // final results of calls by number
	undone      bool               // an order is to be agreed or sent
	undoneSince time.Duration
}

// observedOrder is when this host first saw the state of an order.
type observedOrder struct {
	order Order
	at    time.Duration
}

// observe takes over the orders of the applied record.
func (s *orders) observe(boot time.Duration, record *Record) {
	last, results := s.observed, s.results
	s.observed, s.results = make(map[Subject]observedOrder, len(record.Orders)), map[uint64]Outcome{}
	for _, o := range record.Orders {
		seen, found := last[o.Subject]
		if !found || seen.order != o {
			seen = observedOrder{order: o, at: boot}
		}
		s.observed[o.Subject] = seen
		if outcome, known := results[o.Number]; known && o.Outcome == Open {
			s.results[o.Number] = outcome
		}
	}
}

// orderWanted reports whether an order is to be agreed. One that was abandoned is repeated after
// the time in which it would have been.
func (k *Keeper) orderWanted(boot time.Duration, w WantedOrder) bool {
	last, found := k.orders.observed[w.Subject]
	switch {
	case !w.valid():
		return false
	case !found || last.order.Desired != w.Desired:
		return true
	}
	return last.order.Outcome == Abandoned && boot-last.at > k.config.Due
}

// noteUndoneOrders notes since when an order is to be agreed or sent.
func (k *Keeper) noteUndoneOrders(boot time.Duration, wanted []WantedOrder) {
	undone := slices.ContainsFunc(wanted, func(w WantedOrder) bool { return k.orderWanted(boot, w) }) ||
		slices.ContainsFunc(k.record.Orders, func(o Order) bool { return o.Outcome == Open })
	if undone && !k.orders.undone {
		k.orders.undoneSince = boot
	}
	k.orders.undone = undone
}

// nextOrder agrees a wanted order, settles one, or calls out for the oldest open one.
func (k *Keeper) nextOrder(now Clocks, wanted []WantedOrder) Action {
	for _, w := range wanted {
		if k.orderWanted(now.Boot, w) {
			return k.propose(now, "a number of endpoints is to be ordered", func(h Holdership) []byte {
				return EncodeAgreeOrder(h, w)
			})
		}
	}
	var oldest *Order
	for _, o := range k.record.Orders {
		if o.Outcome != Open {
			continue
		}
		if outcome, known := k.orderResult(now.Boot, o); known {
			return k.propose(now, "an order of endpoints ended", func(h Holdership) []byte {
				return EncodeSettleOrder(h, o.Number, outcome)
			})
		}
		if oldest == nil || o.Number < oldest.Number {
			oldest = &o
		}
	}
	if oldest == nil {
		return Action{Kind: Wait, Until: k.nextWindowAt(now)}
	}
	action := k.nextCall(now)
	if action.Kind == Call {
		action.Order = oldest
	}
	return action
}

// orderResult returns the outcome of an open order, if it is known. One that is open for as long as
// a report is due is abandoned.
func (k *Keeper) orderResult(boot time.Duration, o Order) (outcome Outcome, known bool) {
	if outcome, known = k.orders.results[o.Number]; known {
		return outcome, true
	}
	return Abandoned, boot-k.orders.observed[o.Subject].at > k.config.Due
}

// CalledForOrder ends a call for the order with a number, as Called does for a report.
func (k *Keeper) CalledForOrder(boot time.Duration, number uint64, result CallResult, retryAfter time.Duration, jitter float64) {
	if outcome, final := k.calls.ended(boot, k.config.CallInterval, result, retryAfter, jitter); final {
		k.orders.results[number] = outcome
	}
}
