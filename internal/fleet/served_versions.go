package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

const (
	servedVersionsInterval = 100 * time.Millisecond
	servedVersionsTimeout  = time.Second
)

// keepServedVersions records in the log which software versions serve, until ctx ends. What fails is
// decided and stored again.
func (s *Server) keepServedVersions(ctx context.Context) {
	keeper := origin.NewKeeper()
	wait.Every(ctx, servedVersionsInterval, func() {
		view := s.state.State()
		if !view.UpToDate {
			return
		}
		record, _ := view.Machine.Served()
		for _, change := range keeper.Decide(time.Now(), s.servingVersions(), &record) {
			if !s.storeServedVersion(ctx, change) {
				return
			}
		}
	})
}

// servingVersions returns the versions of the endpoints that report to this host.
func (s *Server) servingVersions() map[origin.Origin]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoints, _ := s.directory.ChangedSince(0)
	serving := map[origin.Origin]bool{}
	for _, e := range endpoints {
		if e.State == directory.Ready || e.State == directory.Draining {
			serving[origin.Origin{Service: e.Service, Version: e.Version}] = true
		}
	}
	return serving
}

// knownVersions returns the versions of a service that are recorded or report to this host.
func (s *Server) knownVersions(view StateView, service string) []string {
	known := s.servingVersions()
	if view.Machine != nil {
		record, _ := view.Machine.Served()
		for _, o := range record.Versions() {
			known[o] = true
		}
	}
	var versions []string
	for o := range known {
		if o.Service == service {
			versions = append(versions, o.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// recordVote returns how this host counts towards a majority, and whether the record of the view may count:
// the host votes, and the record is up to date and not older than what the host has shown since its start.
func (s *Server) recordVote(view StateView) (vote *pb.ReplicaVote, complete bool) {
	status := s.log.Status()
	vote = &pb.ReplicaVote{Replica: status.ID, Applied: status.AppliedIndex}
	for _, m := range status.Members {
		if m.IsVoter {
			vote.Voters = append(vote.Voters, m.ID)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	complete = view.UpToDate && status.IsVoter && status.AppliedIndex >= s.shownIndex
	s.shownIndex = max(s.shownIndex, status.AppliedIndex)
	return vote, complete
}

func voteFromProto(v *pb.ReplicaVote) origin.Vote {
	return origin.Vote{Replica: v.GetReplica(), Voters: v.GetVoters(), Applied: v.GetApplied()}
}

func (s *Server) storeServedVersion(ctx context.Context, change origin.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, servedVersionsTimeout)
	defer cancel()
	logger := s.logger.With("service", change.Origin.Service, "version", change.Origin.Version, "presence", change.Presence)
	if _, err := s.log.Propose(ctx, document.EncodeServedCommand(change)); err != nil {
		logger.Debug("version that serves not recorded yet", "error", err)
		return false
	}
	logger.Info("version that serves recorded")
	return true
}

// servedUpdate returns the recorded versions and how this host counts, nil if a watch has been sent them.
func (s *Server) servedUpdate(w *watchState) *pb.ServedVersions {
	vote, counts := s.recordVote(StateView{Machine: w.machine, UpToDate: w.confirmed}) // before the record is read
	vote.Counts = counts
	record, _ := w.machine.Served()
	versions := record.Versions()
	if w.servedSent && slices.Equal(versions, w.served) && slices.Equal(vote.Voters, w.voters) && counts == w.counts {
		return nil
	}
	w.servedSent, w.served, w.voters, w.counts = true, versions, vote.Voters, counts
	out := &pb.ServedVersions{Vote: vote}
	for _, o := range versions {
		out.Versions = append(out.Versions, &pb.ServedVersion{Service: o.Service, Version: o.Version})
	}
	return out
}

func servedFromProto(p *pb.ServedVersions) []origin.Origin {
	var versions []origin.Origin
	for _, v := range p.Versions {
		versions = append(versions, origin.Origin{Service: v.Service, Version: v.Version})
	}
	return versions
}

// updateServed merges the versions that the live hosts have recorded, without one those of all hosts, and
// tells which a majority has recorded. The caller holds the lock.
func (f *Follower) updateServed() {
	merged, anyLive := map[origin.Origin]bool{}, f.anyHostLive()
	for _, h := range f.hosts {
		if !h.live && anyLive {
			continue
		}
		for _, o := range h.served {
			merged[o] = f.served[o] // what a majority has recorded stays so when hosts are lost
		}
	}
	for o, byMajority := range merged {
		merged[o] = byMajority || f.isRecordedByMajority(o)
	}
	if f.served == nil || !maps.Equal(merged, f.served) {
		f.served = merged
		f.options.Consumer.SetServedVersions(merged)
	}
}

// isRecordedByMajority reports whether the last events of a majority of the control hosts name a version. Hosts
// of an older build don't say how they count; without another host one of them suffices. The caller holds
// the lock.
func (f *Follower) isRecordedByMajority(o origin.Origin) bool {
	var votes []origin.Vote
	agreeing := map[uint64]bool{}
	for _, h := range f.hosts {
		if h.vote == nil {
			continue
		}
		votes = append(votes, *h.vote)
		if h.counts && slices.Contains(h.served, o) {
			agreeing[h.vote.Replica] = true
		}
	}
	return len(votes) == 0 || origin.IsMajority(votes, agreeing)
}
