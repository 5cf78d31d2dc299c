package ledger

// place links an entry into the queue of entries by their last change.
type place struct {
	previous, next *entry
}

// queue is a doubly linked list of entries, the oldest change first.
type queue struct {
	oldest, newest *entry
}

// first returns the entry whose last change is the oldest, or nil.
func (q *queue) first() *entry { return q.oldest }

// moveToBack makes e the newest, adding it if it is not queued.
func (q *queue) moveToBack(e *entry) {
	if e.place != nil {
		q.remove(e)
	}
	e.place = &place{previous: q.newest}
	if q.newest == nil {
		q.oldest = e
	} else {
		q.newest.place.next = e
	}
	q.newest = e
}

// remove takes e out.
func (q *queue) remove(e *entry) {
	p := e.place
	e.place = nil
	if p.previous == nil {
		q.oldest = p.next
	} else {
		p.previous.place.next = p.next
	}
	if p.next == nil {
		q.newest = p.previous
	} else {
		p.next.place.previous = p.previous
	}
}
