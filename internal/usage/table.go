package usage

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// MaxSources limits the sources of a window.
const MaxSources = 1024

// WindowRangeError reports that a window is too far from the current one.
type WindowRangeError struct {
	Window, Current int64
}

func (e *WindowRangeError) Error() string {
	return fmt.Sprintf("usage of window %d is too far from window %d", e.Window, e.Current)
}

// TableFullError reports that a window has too many sources or workspaces.
type TableFullError struct {
	Window  int64
	Dropped int // workspaces whose counts were dropped; all of the report if it is from a further source
}

func (e *TableFullError) Error() string {
	return fmt.Sprintf("usage of window %d has too many sources or workspaces, %d counts dropped", e.Window, e.Dropped)
}

// Table holds what sources have reported, by window. Reports of one source are merged by the maximum
// of each workspace. It is not safe for concurrent use.
type Table struct {
	retained int64 // windows before and after the current one
	windows  map[int64]*tableWindow
}

// tableWindow numbers the workspaces of a window.
type tableWindow struct {
	workspaces []string
	numbers    map[string]uint16
	sources    map[Source]*sourceCounts
}

// sourceCounts are the counts of a source, as columns sorted by the workspace's number.
type sourceCounts struct {
	final, last bool
	workspaces  []uint16
	requests    []uint32
}

// NewTable returns a table that keeps a number of windows before the current one, and as many after
// it, because the clocks of hosts differ.
func NewTable(retained int64) *Table {
	return &Table{retained: retained, windows: map[int64]*tableWindow{}}
}

// Expire drops the windows that are too far from the current one.
func (t *Table) Expire(current int64) {
	maps.DeleteFunc(t.windows, func(window int64, _ *tableWindow) bool { return !t.isRetained(window, current) })
}

func (t *Table) isRetained(window, current int64) bool {
	return window >= current-t.retained && window <= current+t.retained
}

// Record merges a report. An error is a *WindowRangeError, or a *TableFullError if a part of the
// report was dropped.
func (t *Table) Record(current int64, r Report) error {
	if !t.isRetained(r.Window, current) {
		return errors.WithStack(&WindowRangeError{Window: r.Window, Current: current})
	}
	window := t.windows[r.Window]
	if window == nil {
		window = &tableWindow{numbers: map[string]uint16{}, sources: map[Source]*sourceCounts{}}
		t.windows[r.Window] = window
	}
	source := window.sources[r.Source]
	if source == nil {
		if len(window.sources) >= MaxSources {
			return errors.WithStack(&TableFullError{Window: r.Window, Dropped: len(r.Counts)})
		}
		source = &sourceCounts{workspaces: make([]uint16, 0, len(r.Counts)), requests: make([]uint32, 0, len(r.Counts))}
		window.sources[r.Source] = source
	}
	source.final, source.last = source.final || r.Final, source.last || r.Last
	dropped := 0
	for _, count := range r.Counts {
		number, ok := window.number(count.Workspace)
		if !ok {
			dropped++
			continue
		}
		source.merge(number, count.Requests)
	}
	if dropped > 0 {
		return errors.WithStack(&TableFullError{Window: r.Window, Dropped: dropped})
	}
	return nil
}

// number returns the number of a workspace; ok is false if there are too many.
func (w *tableWindow) number(workspace string) (number uint16, ok bool) {
	number, ok = w.numbers[workspace]
	if ok || len(w.workspaces) >= MaxWorkspaces {
		return number, ok
	}
	number = uint16(len(w.workspaces))
	w.workspaces = append(w.workspaces, workspace)
	w.numbers[workspace] = number
	return number, true
}

func (s *sourceCounts) merge(workspace uint16, requests uint32) {
	i, found := slices.BinarySearch(s.workspaces, workspace)
	if !found {
		s.workspaces, s.requests = slices.Insert(s.workspaces, i, workspace), slices.Insert(s.requests, i, requests)
		return
	}
	s.requests[i] = max(s.requests[i], requests)
}

// Reports returns what each source has reported of a window, sorted by source. Of a source that is
// expected to report the window and has not, it returns a report without counts.
func (t *Table) Reports(window int64) []Report {
	var reports []Report
	if w := t.windows[window]; w != nil {
		for source, counts := range w.sources {
			r := Report{Source: source, Window: window, Final: counts.final, Last: counts.last}
			for i, number := range counts.workspaces {
				r.Counts = append(r.Counts, Count{Workspace: w.workspaces[number], Requests: counts.requests[i]})
			}
			reports = append(reports, r)
		}
	}
	for _, source := range t.expected(window) {
		reports = append(reports, Report{Source: source, Window: window})
	}
	slices.SortFunc(reports, func(a, b Report) int { return compareSources(a.Source, b.Source) })
	return reports
}

// expected returns the newest source of each entry in the window before, unless it stopped then or
// has reported the window.
func (t *Table) expected(window int64) []Source {
	before := t.windows[window-1]
	if before == nil {
		return nil
	}
	var expected []Source
	for source := range before.newestSources() {
		if !before.sources[source].last && (t.windows[window] == nil || t.windows[window].sources[source] == nil) {
			expected = append(expected, source)
		}
	}
	return expected
}

// newestSources returns the newest source of each entry.
func (w *tableWindow) newestSources() map[Source]bool {
	lives := map[string]uint64{}
	for source := range w.sources {
		lives[source.Entry] = max(lives[source.Entry], source.Life)
	}
	newest := map[Source]bool{}
	for entry, life := range lives {
		newest[Source{Entry: entry, Life: life}] = true
	}
	return newest
}

// Totals are the counts of a window summed over all sources.
type Totals struct {
	Window       int64
	Counts       map[string]uint64 // requests, by workspace
	Sources      int
	Awaited      []string // entries that have not reported the window as final
	MissingHosts []string // URLs of control hosts whose reports are not included
}

// Totals sums the reports of a window. Only the newest source of an entry is awaited.
func (t *Table) Totals(window int64) Totals {
	totals := Totals{Window: window, Counts: map[string]uint64{}}
	final := map[string]bool{} // by entry, of its newest source; reports are sorted by life
	for _, r := range t.Reports(window) {
		totals.Sources++
		final[r.Entry] = r.Final
		for _, count := range r.Counts {
			totals.Counts[count.Workspace] += uint64(count.Requests)
		}
	}
	for _, entry := range slices.Sorted(maps.Keys(final)) {
		if !final[entry] {
			totals.Awaited = append(totals.Awaited, entry)
		}
	}
	return totals
}

func compareSources(a, b Source) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Life, b.Life))
}
