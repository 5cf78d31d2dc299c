package fleet

import (
	"context"
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

// servedUpdate returns the recorded versions, nil if a watch has been sent them.
func (s *Server) servedUpdate(w *watchState) *pb.ServedVersions {
	record, _ := w.machine.Served()
	versions := record.Versions()
	if w.servedSent && slices.Equal(versions, w.served) {
		return nil
	}
	w.servedSent, w.served = true, versions
	out := &pb.ServedVersions{}
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

// updateServed merges the versions that the hosts have recorded. The caller holds the lock.
func (f *Follower) updateServed() {
	merged := map[origin.Origin]bool{}
	for _, h := range f.hosts {
		for _, o := range h.served {
			merged[o] = true
		}
	}
	f.options.Consumer.SetServedVersions(merged)
}
