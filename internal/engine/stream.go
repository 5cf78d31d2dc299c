package engine

import "bytes"

// Framing of a server-sent event stream.
var (
	eventEnd = []byte("\n\n")
	doneMark = []byte("data: [DONE]\n\n")
)

// Tracker follows the bytes of an event stream. It reports how many events
// went by, whether the end mark came, and where the stream must be cut.
type Tracker struct {
	events  int
	partial int  // bytes since the last whole event
	newline bool // the last byte was a newline that may start an event's end
	tail    []byte
	done    bool
}

// Feed takes the next bytes and returns how many of them belong to the
// answer: bytes after the end mark don't.
func (t *Tracker) Feed(chunk []byte) int {
	if t.done {
		return 0
	}
	if cut, found := t.findDone(chunk); found {
		t.done = true
		t.count(chunk[:cut])
		return cut
	}
	t.count(chunk)
	return len(chunk)
}

// findDone looks for the end mark across the border of two chunks.
func (t *Tracker) findDone(chunk []byte) (int, bool) {
	kept := len(t.tail)
	joined := append(t.tail, chunk[:min(len(chunk), len(doneMark)-1)]...)
	if at := bytes.Index(joined, doneMark); at >= 0 {
		return at + len(doneMark) - kept, true
	}
	if at := bytes.Index(chunk, doneMark); at >= 0 {
		return at + len(doneMark), true
	}
	t.keepTail(chunk)
	return 0, false
}

// keepTail keeps the last bytes, one fewer than the end mark has.
func (t *Tracker) keepTail(chunk []byte) {
	limit := len(doneMark) - 1
	if len(chunk) >= limit {
		t.tail = append(t.tail[:0], chunk[len(chunk)-limit:]...)
		return
	}
	t.tail = append(t.tail, chunk...)
	if extra := len(t.tail) - limit; extra > 0 {
		t.tail = append(t.tail[:0], t.tail[extra:]...)
	}
}

// count counts the events that end inside the bytes.
func (t *Tracker) count(chunk []byte) {
	if t.newline && len(chunk) > 0 && chunk[0] == '\n' {
		t.events++
		t.partial = 0
	}
	t.events += bytes.Count(chunk, eventEnd)
	if at := bytes.LastIndex(chunk, eventEnd); at >= 0 {
		t.partial = len(chunk) - at - len(eventEnd)
	} else {
		t.partial += len(chunk)
	}
	if len(chunk) > 0 {
		t.newline = chunk[len(chunk)-1] == '\n' && t.partial > 0
	}
}

// Events is the number of whole events so far.
func (t *Tracker) Events() int { return t.events }

// Done reports whether the end mark went by.
func (t *Tracker) Done() bool { return t.done }
