package usage

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxWorkspaces limits the workspaces of a window.
	MaxWorkspaces = 4096
	// MaxRowsPerBatch limits the counts of a batch of several windows. A batch of one window has at
	// most MaxWorkspaces.
	MaxRowsPerBatch = 4096
)

// RetainedWindows returns how many windows before the current one must be kept, so that each is kept
// for the retention, above 0, after its end.
func RetainedWindows(length, retention time.Duration) int64 {
	return int64((retention+length-1)/length) + 1
}

// Source is one life of the process of an entry.
type Source struct {
	Entry string
	Life  uint64 // start of the process in Unix nanoseconds; a larger one is newer
}

// Count is how many requests of a workspace began to run.
type Count struct {
	Workspace string
	Requests  uint32
}

// Report is what a source has counted in a window since the window began. Unless it is final, it may
// leave out workspaces whose counts were acknowledged.
type Report struct {
	Source
	Window int64
	Final  bool // the window has ended at the source
	Last   bool // the source counts in no later window
	Counts []Count
}

// Batch is what is still to be reported to a control host.
type Batch struct {
	Reports  []Report
	sequence uint64 // of the newest count that it may contain
}

// Counter counts the requests of one source. Windows are kept until they are too old to be reported.
// It is not safe for concurrent use.
type Counter struct {
	source   Source
	retained int64 // windows before the current one
	started  bool
	current  int64
	closed   bool
	sequence uint64 // number of counted requests
	windows  map[int64]*countedWindow
}

// countedWindow has the sequence numbers of the newest request that it counts and of the newest one
// that may have been acknowledged.
type countedWindow struct {
	counts            map[string]*workspaceCount
	counted           uint64
	acknowledged      uint64
	finalAcknowledged bool
}

// workspaceCount has the sequence number of the newest request of a workspace.
type workspaceCount struct {
	requests uint32
	counted  uint64
}

// NewCounter returns a counter that keeps a number of windows before the current one.
func NewCounter(source Source, retained int64) *Counter {
	return &Counter{source: source, retained: retained, windows: map[int64]*countedWindow{}}
}

// Advance makes a window the current one. It returns the number of windows that have become too old
// although their counts weren't acknowledged as final.
func (c *Counter) Advance(window int64) (lost int) {
	if c.started && window == c.current {
		return 0
	}
	first := window
	if c.started && c.current < window {
		first = max(c.current+1, window-c.retained)
	}
	c.started, c.current = true, window
	for w := first; w <= window; w++ {
		if c.windows[w] == nil {
			c.windows[w] = &countedWindow{counts: map[string]*workspaceCount{}}
		}
	}
	for w, counted := range c.windows {
		if w < window-c.retained || w > window+c.retained {
			if !counted.finalAcknowledged && len(counted.counts) > 0 {
				lost++
			}
			delete(c.windows, w)
		}
	}
	return lost
}

// Add counts a request in the current window. It returns false if the window has too many
// workspaces, or none is current.
func (c *Counter) Add(workspace string) bool {
	window := c.windows[c.current]
	if window == nil {
		return false
	}
	count := window.counts[workspace]
	if count == nil {
		if len(window.counts) >= MaxWorkspaces {
			return false
		}
		count = &workspaceCount{}
		window.counts[workspace] = count
	}
	c.sequence++
	count.requests++
	count.counted, window.counted = c.sequence, c.sequence
	return true
}

// Close ends all windows: the process counts no further request.
func (c *Counter) Close() { c.closed = true }

// isFinal reports whether a window has ended.
func (c *Counter) isFinal(window int64) bool { return c.closed || window < c.current }

// isUnreported reports whether there is something to tell of a window.
func (c *Counter) isUnreported(window int64) bool {
	counted := c.windows[window]
	return counted.counted > counted.acknowledged || c.isFinal(window) && !counted.finalAcknowledged
}

// HasFinal reports whether there is something to tell of a window that has ended.
func (c *Counter) HasFinal() bool {
	for window := range c.windows {
		if c.isFinal(window) && c.isUnreported(window) {
			return true
		}
	}
	return false
}

// Reports returns what is still to be reported, oldest windows first. A batch that exceeds
// MaxRowsPerBatch leaves out later windows.
func (c *Counter) Reports() Batch {
	batch := Batch{sequence: c.sequence}
	rows := 0
	for _, window := range slices.Sorted(maps.Keys(c.windows)) {
		if !c.isUnreported(window) {
			continue
		}
		r := c.report(window)
		if rows += len(r.Counts); rows > MaxRowsPerBatch && len(batch.Reports) > 0 {
			break
		}
		batch.Reports = append(batch.Reports, r)
	}
	return batch
}

func (c *Counter) report(window int64) Report {
	final := c.isFinal(window)
	r := Report{Source: c.source, Window: window, Final: final, Last: c.closed && window == c.current}
	counted := c.windows[window]
	for _, workspace := range slices.Sorted(maps.Keys(counted.counts)) {
		if count := counted.counts[workspace]; final || count.counted > counted.acknowledged {
			r.Counts = append(r.Counts, Count{Workspace: workspace, Requests: count.requests})
		}
	}
	return r
}

// Acknowledge records that a control host has received a batch.
func (c *Counter) Acknowledge(b Batch) {
	for _, r := range b.Reports {
		if window := c.windows[r.Window]; window != nil {
			window.acknowledged = max(window.acknowledged, b.sequence)
			window.finalAcknowledged = window.finalAcknowledged || r.Final
		}
	}
}

// ForgetAcknowledgements makes all windows be reported again, to a control host that knows none of them.
func (c *Counter) ForgetAcknowledgements() {
	for _, window := range c.windows {
		window.acknowledged, window.finalAcknowledged = 0, false
	}
}
