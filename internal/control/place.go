package control

import (
	"context"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
	"github.com/trefoilkeel/trefoilkeel/internal/placement"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// place gives the orders that bring engines to the desired models. Only the
// leader does so, and it logs each decision.
func (s *Server) place(ctx context.Context) {
	term, ok := s.leading()
	if !ok {
		return
	}
	s.leader.enter(term)
	for _, d := range s.leader.plan(s.now(), s.machine.Configuration(), s.machine.Members()) {
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
		s.proposeOwn(ctx, &pb.Command{Command: &pb.Command_Order{Order: order}}, "order")
	}
}

func (l *leader) plan(now time.Time, config *ticket.State, members []lease.Member) []placement.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == nil {
		return nil
	}
	return l.planner.Plan(now, config, members)
}
