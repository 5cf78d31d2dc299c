package placement

import (
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
)

// unavailableCounts holds, by model, how many endpoints have it loaded and how
// many of these are out of service.
type unavailableCounts map[string]*modelCount

type modelCount struct {
	total       int
	unavailable int
}

// countUnavailable counts an endpoint as out of service if it is not active or
// has a pending order.
func countUnavailable(members []lease.Member) unavailableCounts {
	counts := unavailableCounts{}
	for _, m := range members {
		active := m.Endpoint.GetState() == pb.EndpointState_ENDPOINT_STATE_ACTIVE
		for _, model := range m.Endpoint.GetModels() {
			n := counts.forModel(model)
			n.total++
			if !active || len(m.PendingOrders) > 0 {
				n.unavailable++
			}
		}
	}
	return counts
}

func (c unavailableCounts) forModel(model string) *modelCount {
	if c[model] == nil {
		c[model] = &modelCount{}
	}
	return c[model]
}

// allowsOneMore reports whether e may go out of service without exceeding the
// limit of any model it has loaded. One endpoint of a model is always allowed.
func (c unavailableCounts) allowsOneMore(e *pb.Endpoint, maxFraction float64) bool {
	for _, model := range e.GetModels() {
		n := c.forModel(model)
		limit := max(1, int(maxFraction*float64(n.total)))
		if n.unavailable+1 > limit {
			return false
		}
	}
	return true
}

// add counts e as out of service.
func (c unavailableCounts) add(e *pb.Endpoint) {
	for _, model := range e.GetModels() {
		c.forModel(model).unavailable++
	}
}
