package limits

import "time"

// maxReportAge is the age at which a report no longer counts.
const maxReportAge = 5 * time.Second

// UsageSum adds up the usage reports of all routers. It has no clock, goroutine or I/O
// and is not safe for concurrent use.
type UsageSum struct {
	reports map[string]routerReport
}

// routerReport is the latest report of one router.
type routerReport struct {
	receivedAt time.Time
	usage      map[string]Usage
}

// NewUsageSum returns a sum without reports.
func NewUsageSum() *UsageSum { return &UsageSum{reports: map[string]routerReport{}} }

// SetReport sets the latest report of one router.
func (s *UsageSum) SetReport(now time.Time, router string, usage map[string]Usage) {
	s.reports[router] = routerReport{receivedAt: now, usage: usage}
}

// Totals returns the totals of the workspaces that are keys of the given map, and the
// number of routers with a report younger than maxReportAge. It drops older reports.
func (s *UsageSum) Totals(now time.Time, workspaces map[string]Usage) (totals map[string]Usage, routers int) {
	totals = make(map[string]Usage, len(workspaces))
	for router, report := range s.reports {
		if now.Sub(report.receivedAt) >= maxReportAge {
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
