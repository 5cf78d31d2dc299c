package limits

import "time"

// reportFresh is how long a router's report counts.
const reportFresh = 5 * time.Second

// Sum adds up the reports of all routers. It has no clock, goroutine or I/O
// and is not safe for concurrent use.
type Sum struct {
	reports map[string]routerReport
}

// routerReport is the newest report of one router.
type routerReport struct {
	at    time.Time
	usage map[string]Usage
}

// NewSum returns a sum without reports.
func NewSum() *Sum { return &Sum{reports: map[string]routerReport{}} }

// Put replaces the report of one router.
func (s *Sum) Put(now time.Time, router string, usage map[string]Usage) {
	s.reports[router] = routerReport{at: now, usage: usage}
}

// Totals returns the sums for the workspaces named, and how many routers
// reported lately. Old reports are dropped.
func (s *Sum) Totals(now time.Time, workspaces map[string]Usage) (totals map[string]Usage, routers int) {
	totals = make(map[string]Usage, len(workspaces))
	for router, report := range s.reports {
		if now.Sub(report.at) >= reportFresh {
			delete(s.reports, router)
			continue
		}
		for workspace := range workspaces {
			if usage, found := report.usage[workspace]; found {
				totals[workspace] = totals[workspace].Add(usage)
			}
		}
	}
	return totals, len(s.reports)
}
