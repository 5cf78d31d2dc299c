package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// counts is how many requests ended, and how many were lost, by loss.
type counts struct {
	ended  int
	losses map[loss]int
}

func (c *counts) add(l loss) {
	if c.losses == nil {
		c.losses = map[loss]int{}
	}
	c.ended++
	c.losses[l]++
}

// tally counts under names.
type tally map[string]*counts

func (t tally) add(name string, l loss) {
	if t[name] == nil {
		t[name] = &counts{}
	}
	t[name].add(l)
}

// write writes a table with the names in order.
func (t tally) write(b *strings.Builder, title string) {
	fmt.Fprintf(b, "%-40s %7s %7s %7s %7s\n", title, "ended", late, refused, failed)
	for _, name := range slices.Sorted(maps.Keys(t)) {
		c := t[name]
		fmt.Fprintf(b, "%-40s %7d %7d %7d %7d\n", name, c.ended, c.losses[late], c.losses[refused], c.losses[failed])
	}
	b.WriteString("\n")
}

// summarize returns tables by route, reason, window of time and endpoint.
func summarize(requests []request, window time.Duration) string {
	byRoute, byWindow, byEndpoint, reasons := tally{}, tally{}, tally{}, map[string]int{}
	for _, r := range requests {
		l, reason := r.classify()
		byRoute.add(r.Route, l)
		byWindow.add(r.At.Truncate(window).Format("15:04:05"), l)
		byEndpoint.add(cmp.Or(r.Endpoint, "none"), l)
		if l != none {
			reasons[fmt.Sprintf("%-10s %-8s %s", r.Route, l, reason)]++
		}
	}
	var b strings.Builder
	byRoute.write(&b, "route")
	byWindow.write(&b, "window from")
	byEndpoint.write(&b, "endpoint")
	for _, reason := range slices.SortedFunc(maps.Keys(reasons), func(x, y string) int {
		return cmp.Or(cmp.Compare(reasons[y], reasons[x]), strings.Compare(x, y))
	}) {
		fmt.Fprintf(&b, "%5d %s\n", reasons[reason], reason)
	}
	return b.String()
}

// listLosses names each request that was not served in time.
func listLosses(requests []request) string {
	var b strings.Builder
	for _, r := range requests {
		if l, reason := r.classify(); l != none {
			fmt.Fprintf(&b, "%s %s %s %s %s %s %s: %s\n", r.At.Format("15:04:05.000"), r.ID, r.Fingerprint, r.Route, r.Entry, cmp.Or(r.Endpoint, "-"), l, reason)
		}
	}
	return b.String()
}
