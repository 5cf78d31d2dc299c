package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/steady"
	"github.com/trefoilkeel/trefoilkeel/internal/usage"
)

// collectUsageTimeout limits the calls by which one host collects the usage from the others.
const collectUsageTimeout = 400 * time.Millisecond

// UsageOffError reports that a control host counts no usage.
type UsageOffError struct{}

func (e *UsageOffError) Error() string { return "usage is not counted" }

// usageKeeper holds what entries report of their usage. The Server's lock guards it.
type usageKeeper struct {
	life       uint64 // random per start of the control host, not 0
	clock      *usage.Clock
	table      *usage.Table
	readClocks func() (now time.Duration, wall time.Time)
}

// newUsageKeeper returns nil if usage is not counted.
func newUsageKeeper(window, retention time.Duration) *usageKeeper {
	if window <= 0 {
		return nil
	}
	return &usageKeeper{life: rand.Uint64() | 1, clock: usage.NewClock(window), table: usage.NewTable(usage.RetainedWindows(window, retention)), readClocks: steady.NowWithWall}
}

// expireUsage follows the wall clock and drops old windows. The caller holds the lock.
func (s *Server) expireUsage() {
	if s.usage == nil {
		return
	}
	if step := s.usage.clock.Observe(s.usage.readClocks()); step != 0 {
		s.logger.Warn("clock of usage windows set", "step_ms", step.Milliseconds(), "window", s.usage.clock.Window())
	}
	s.usage.table.Expire(s.usage.clock.Window())
}

// recordUsage merges the usage that an entry reports. The caller holds the lock.
func (s *Server) recordUsage(m *pb.ShareRequest, response *pb.ShareResponse) {
	if s.usage == nil || m.Usage == nil || m.Entry == "" {
		return
	}
	s.expireUsage()
	response.UsageLife = s.usage.life
	for _, r := range usageFromProto(m.Usage) {
		r.Entry = m.Entry
		if err := s.usage.table.Record(s.usage.clock.Window(), r); err != nil {
			s.logger.Warn("usage not recorded", "entry", m.Entry, "window", r.Window, "workspaces", len(r.Counts), "error", err)
		}
	}
}

// reportUsage returns the usage that entries reported to this host. The caller holds the lock.
func (s *Server) reportUsage(query *pb.UsageQuery, response *pb.ShareResponse) {
	if s.usage != nil {
		response.UsageLife, response.Usage = s.usage.life, usageToProto(s.usage.table.Reports(query.Window))
	}
}

// CollectUsage returns the usage of a window that entries have reported to this host and the other
// ones. complete is false if a host did not answer in time or an entry is awaited, see
// usage.Totals. An error is a *UsageOffError or that of ctx.
func (s *Server) CollectUsage(ctx context.Context, window int64) (totals usage.Totals, complete bool, err error) {
	if s.usage == nil {
		return usage.Totals{}, false, errors.WithStack(&UsageOffError{})
	}
	s.mu.Lock()
	reports := s.usage.table.Reports(window)
	s.mu.Unlock()
	peerReports, missing := s.queryUsage(ctx, window)
	if err := ctx.Err(); err != nil {
		return usage.Totals{}, false, errors.Wrap(err, "collect usage")
	}
	collected := usage.NewTable(0)
	for _, r := range slices.Concat(reports, peerReports) {
		if err := collected.Record(window, r); err != nil {
			s.logger.Warn("usage not included", "entry", r.Entry, "window", r.Window, "workspaces", len(r.Counts), "error", err)
		}
	}
	totals = collected.Totals(window)
	totals.MissingHosts = missing
	return totals, len(totals.MissingHosts) == 0 && len(totals.Awaited) == 0, nil
}

// queryUsage asks all other control hosts for the usage of a window. It returns the URLs of those
// that did not answer.
func (s *Server) queryUsage(ctx context.Context, window int64) (reports []usage.Report, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, collectUsageTimeout)
	defer cancel()
	type answer struct {
		url     string
		reports []usage.Report
		err     error
	}
	urls := s.peerURLs()
	answers := make(chan answer, len(urls))
	for _, url := range urls {
		go func() {
			reports, err := s.queryPeerUsage(ctx, url, window)
			answers <- answer{url: url, reports: reports, err: err}
		}()
	}
	for range urls {
		a := <-answers
		if a.err != nil {
			s.logger.Info("usage of another control host's entries not received", "url", a.url, "window", window, "error", a.err)
			missing = append(missing, a.url)
		}
		reports = append(reports, a.reports...)
	}
	slices.Sort(missing)
	return reports, missing
}

// queryPeerUsage returns what entries reported to another control host. An error is that of the call
// or a *UsageOffError.
func (s *Server) queryPeerUsage(ctx context.Context, url string, window int64) ([]usage.Report, error) {
	response, err := s.newPeerClient(url).Share(ctx, connect.NewRequest(&pb.ShareRequest{UsageQuery: &pb.UsageQuery{Window: window}}))
	if err != nil {
		return nil, err
	}
	if response.Msg.UsageLife == 0 {
		return nil, errors.WithStack(&UsageOffError{})
	}
	return usageFromProto(response.Msg.Usage), nil
}

// usageToProto returns nil if there are no reports.
func usageToProto(reports []usage.Report) *pb.Usage {
	if len(reports) == 0 {
		return nil
	}
	out, indexes := &pb.Usage{}, map[string]uint32{}
	for _, r := range reports {
		w := &pb.WindowUsage{Entry: r.Entry, Life: r.Life, Window: r.Window, Final: r.Final, Last: r.Last}
		for _, count := range r.Counts {
			index, known := indexes[count.Workspace]
			if !known {
				index = uint32(len(out.Workspaces))
				indexes[count.Workspace] = index
				out.Workspaces = append(out.Workspaces, count.Workspace)
			}
			w.Workspaces, w.Requests = append(w.Workspaces, index), append(w.Requests, count.Requests)
		}
		out.Windows = append(out.Windows, w)
	}
	return out
}

// usageFromProto ignores counts without a workspace.
func usageFromProto(p *pb.Usage) []usage.Report {
	var reports []usage.Report
	for _, w := range p.GetWindows() {
		r := usage.Report{Source: usage.Source{Entry: w.Entry, Life: w.Life}, Window: w.Window, Final: w.Final, Last: w.Last}
		for i, index := range w.Workspaces {
			if i < len(w.Requests) && int(index) < len(p.Workspaces) {
				r.Counts = append(r.Counts, usage.Count{Workspace: p.Workspaces[index], Requests: w.Requests[i]})
			}
		}
		reports = append(reports, r)
	}
	return reports
}
