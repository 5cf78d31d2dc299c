package duty

import "encoding/binary"

// ordersFollow is added to the number of windows in a snapshot of a record with orders. Without
// orders a snapshot has the form that it had before there were any.
const ordersFollow = 1 << 32

// AppendSnapshot appends the encoded record.
func (r *Record) AppendSnapshot(b []byte) []byte {
	h := r.Holding
	b = appendHolder(b, Holder{Host: h.Host, HostName: h.HostName})
	for _, n := range []uint64{h.Life, h.Token, h.Sequence, h.Stamp, r.Floor, uint64(len(r.Earlier))} {
		b = binary.AppendUvarint(b, n)
	}
	for _, e := range r.Earlier {
		b = appendHolder(b, e)
	}
	windows := uint64(len(r.Windows))
	if len(r.Orders) > 0 {
		windows += ordersFollow
	}
	b = binary.AppendUvarint(b, windows)
	for _, w := range r.Windows {
		b = append(binary.AppendUvarint(b, w.Number), byte(w.Outcome))
		b = append(binary.AppendUvarint(b, uint64(len(w.Counts))), w.Counts...)
	}
	if len(r.Orders) > 0 {
		b = appendOrders(b, r.Orders)
	}
	return b
}

func appendOrders(b []byte, orders []Order) []byte {
	b = binary.AppendUvarint(b, uint64(len(orders)))
	for _, o := range orders {
		b = binary.AppendUvarint(appendSubject(b, o.Subject), o.Desired)
		b = append(binary.AppendUvarint(b, o.Number), byte(o.Outcome))
	}
	return b
}

func appendHolder(b []byte, h Holder) []byte {
	b = binary.AppendUvarint(b, h.Host)
	return append(binary.AppendUvarint(b, uint64(len(h.HostName))), h.HostName...)
}

// CutSnapshot decodes a record of AppendSnapshot and returns the bytes after it; ok is false if
// they don't begin with one.
func CutSnapshot(b []byte) (r Record, rest []byte, ok bool) {
	c := cutter{rest: b, ok: true}
	holder := c.holder()
	r.Holding = Holding{
		Host: holder.Host, HostName: holder.HostName,
		Life: c.number(), Token: c.number(), Sequence: c.number(), Stamp: c.number(),
	}
	r.Floor = c.number()
	for range c.count(MaxEarlierHolders) {
		r.Earlier = append(r.Earlier, c.holder())
	}
	windows := c.count(ordersFollow + MaxWindows)
	hasOrders := windows >= ordersFollow
	if hasOrders {
		windows -= ordersFollow
	}
	c.ok = c.ok && windows <= MaxWindows
	for i := uint64(0); c.ok && i < windows; i++ {
		w := Window{Number: c.number(), Outcome: Outcome(c.byte())}
		if counts := c.bytes(MaxCountsBytes); w.Outcome == Open {
			w.Counts = counts
		}
		r.Windows = append(r.Windows, w)
	}
	if hasOrders {
		r.Orders = c.orders()
	}
	return r, c.rest, c.ok
}

func (c *cutter) orders() []Order {
	var orders []Order
	for range c.count(MaxOrders) {
		o := Order{Subject: c.subject(), Desired: c.number(), Number: c.number(), Outcome: Outcome(c.byte())}
		orders = append(orders, o)
	}
	return orders
}

// cutter cuts values from the head of encoded bytes. Once one is missing, ok is false and all
// further values are zero.
type cutter struct {
	rest []byte
	ok   bool
}

func (c *cutter) number() uint64 {
	n, rest, ok := cutUvarint(c.rest)
	if !ok || !c.ok {
		c.ok = false
		return 0
	}
	c.rest = rest
	return n
}

// count is a number of elements up to a limit.
func (c *cutter) count(limit uint64) uint64 {
	n := c.number()
	if n > limit {
		c.ok = false
		return 0
	}
	return n
}

func (c *cutter) byte() byte {
	if !c.ok || len(c.rest) == 0 {
		c.ok = false
		return 0
	}
	value := c.rest[0]
	c.rest = c.rest[1:]
	return value
}

// bytes is a copy of a number of bytes up to a limit, preceded by the number.
func (c *cutter) bytes(limit uint64) []byte {
	n := c.count(limit)
	if !c.ok || n > uint64(len(c.rest)) {
		c.ok = false
		return nil
	}
	value := append([]byte{}, c.rest[:n]...)
	c.rest = c.rest[n:]
	return value
}

func (c *cutter) holder() Holder {
	host := c.number()
	return Holder{Host: host, HostName: string(c.bytes(MaxHostNameBytes))}
}
