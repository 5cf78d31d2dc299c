package ledger

// queueLinks are the neighbours of an entry in the queue.
type queueLinks struct {
	previous, next *entry
}

// queue is a doubly linked list of entries, ordered by their last change.
type queue struct {
	head, tail *entry // the oldest and the newest change
}

// front returns the entry with the oldest change, or nil.
func (q *queue) front() *entry { return q.head }

// moveToBack moves e to the tail, and adds it if it is not queued.
func (q *queue) moveToBack(e *entry) {
	if e.links != nil {
		q.remove(e)
	}
	e.links = &queueLinks{previous: q.tail}
	if q.tail == nil {
		q.head = e
	} else {
		q.tail.links.next = e
	}
	q.tail = e
}

// remove unlinks e, which must be queued.
func (q *queue) remove(e *entry) {
	links := e.links
	e.links = nil
	if links.previous == nil {
		q.head = links.next
	} else {
		links.previous.links.next = links.next
	}
	if links.next == nil {
		q.tail = links.previous
	} else {
		links.next.links.previous = links.previous
	}
}
