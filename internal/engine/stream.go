package engine

import "bytes"

// Framing of a stream of server-sent events.
var (
	eventTerminator = []byte("\n\n")
	doneEvent       = []byte("data: [DONE]\n\n")
)

// EventTracker scans an event stream that arrives in chunks. It counts the events and
// finds the [DONE] event, after which nothing may be forwarded.
type EventTracker struct {
	events        int
	partialBytes  int    // since the last complete event
	endsInNewline bool   // the last byte may be the first one of an event terminator
	tail          []byte // the last bytes, which may be the start of a [DONE] event
	done          bool
}

// Feed scans the next chunk and returns how many of its bytes belong to the
// response: those after the [DONE] event don't.
func (t *EventTracker) Feed(chunk []byte) int {
	if t.done {
		return 0
	}
	if end, found := t.findDone(chunk); found {
		t.done = true
		t.countEvents(chunk[:end])
		return end
	}
	t.countEvents(chunk)
	return len(chunk)
}

// findDone returns the offset in chunk at which the [DONE] event ends, and whether
// there is one. The event may begin in an earlier chunk.
func (t *EventTracker) findDone(chunk []byte) (int, bool) {
	tailLen := len(t.tail)
	joined := append(t.tail, chunk[:min(len(chunk), len(doneEvent)-1)]...)
	if index := bytes.Index(joined, doneEvent); index >= 0 {
		return index + len(doneEvent) - tailLen, true
	}
	if index := bytes.Index(chunk, doneEvent); index >= 0 {
		return index + len(doneEvent), true
	}
	t.keepTail(chunk)
	return 0, false
}

// keepTail stores the last bytes of the stream, one fewer than a [DONE] event has.
func (t *EventTracker) keepTail(chunk []byte) {
	limit := len(doneEvent) - 1
	if len(chunk) >= limit {
		t.tail = append(t.tail[:0], chunk[len(chunk)-limit:]...)
		return
	}
	t.tail = append(t.tail, chunk...)
	if extra := len(t.tail) - limit; extra > 0 {
		t.tail = append(t.tail[:0], t.tail[extra:]...)
	}
}

// countEvents counts the events that end in chunk.
func (t *EventTracker) countEvents(chunk []byte) {
	if t.endsInNewline && len(chunk) > 0 && chunk[0] == '\n' {
		t.events++
		t.partialBytes = 0
	}
	t.events += bytes.Count(chunk, eventTerminator)
	if index := bytes.LastIndex(chunk, eventTerminator); index >= 0 {
		t.partialBytes = len(chunk) - index - len(eventTerminator)
	} else {
		t.partialBytes += len(chunk)
	}
	if len(chunk) > 0 {
		t.endsInNewline = chunk[len(chunk)-1] == '\n' && t.partialBytes > 0
	}
}

// EventCount returns the number of complete events so far.
func (t *EventTracker) EventCount() int { return t.events }

// Done reports whether the [DONE] event was found.
func (t *EventTracker) Done() bool { return t.done }
