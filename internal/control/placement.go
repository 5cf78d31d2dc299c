package control

import (
	"context"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
	"github.com/trefoilkeel/trefoilkeel/internal/placement"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// issuePlacementOrders orders engines to load or unload models, as the planner
// decides. Only the leader does so, and it logs each decision.
func (s *Server) issuePlacementOrders(ctx context.Context) {
	term, ok := s.leaderTerm()
	if !ok {
		return
	}
	s.leaderState.beginTerm(term)
	for _, d := range s.leaderState.planPlacement(s.now(), s.machine.Configuration(), s.machine.Members()) {
		s.logger.Info("placement", "endpoint", d.Endpoint, "incarnation", d.Incarnation,
			"order", d.Kind.String(), "model", d.Model, "outcome", string(d.Outcome))
		if d.Outcome != placement.Ordered {
			continue
		}
		order := &pb.OrderCommand{
			Name:        d.Endpoint,
			Incarnation: d.Incarnation,
			Orders:      []*pb.Order{{Kind: d.Kind, Model: d.Model}},
		}
		s.proposeInternal(ctx, &pb.Command{Command: &pb.Command_Order{Order: order}}, "order")
	}
}

func (l *leaderState) planPlacement(now time.Time, config *ticket.Configuration, members []lease.Member) []placement.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == nil {
		return nil
	}
	return l.planner.Plan(now, config, members)
}
