package balance

// Admission: prompts of the least urgent rank are declined while every endpoint
// would begin them late. Work that ends past its time delays what could have been
// in time; who is declined at once can come back when there is room.
const (
	// lastAdmit is the part of its target that a request of the least urgent rank
	// may wait for its prompt to be begun; each rank above it may wait
	// rankAdmit times as long.
	lastAdmit = 0.6
	rankAdmit = 5.0
)

// noteRank keeps the least urgent rank of a service.
func (t *Table) noteRank(r *Request) {
	if r.Prompt > 0 && r.Rank > t.lastRanks[r.Service] {
		t.lastRanks[r.Service] = r.Rank
	}
}

// tooLate reports whether a request would wait too long before its own prompt
// is read, so that long prompts aren't declined for their length.
func (t *Table) tooLate(r *Request, c Choice) bool {
	last := t.lastRanks[r.Service]
	if r.Prompt == 0 || r.Target <= 0 || last == 0 || r.Rank == 0 {
		return false
	}
	part := lastAdmit
	for rank := r.Rank; rank < last; rank++ {
		part *= rankAdmit
	}
	wait := c.First - readTime(c.Unread)
	return float64(wait) > part*float64(r.Target)
}

// cacheShare is the part of an engine's memory that the prompts in flight may
// fill: beyond it the cached parts yield, every prompt is read whole again, and
// the engines are busy with what they had read before.
const cacheShare = 0.8

// crowdsOut reports whether a prompt would take the room of the cached parts.
// Urgent streams are small and always let in.
func (t *Table) crowdsOut(e *endpoint, r *Request) bool {
	held := t.caches[r.Service]
	inFlight := e.tokens + e.others.Tokens
	return held > 0 && r.Prompt > 0 && r.urgent() == 0 && inFlight > 0 && float64(inFlight+r.Prompt) > cacheShare*float64(held)
}
