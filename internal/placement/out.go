package placement

import (
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
)

// outCount counts, for each model, the endpoints that have it loaded and
// those of them that are out of service.
type outCount map[string]*modelCount

type modelCount struct {
	total int
	out   int
}

// countOut counts endpoints with a pending order or not active as out.
func countOut(members []lease.Member) outCount {
	c := outCount{}
	for _, m := range members {
		active := m.Endpoint.GetState() == pb.EndpointState_ENDPOINT_STATE_ACTIVE
		for _, model := range m.Endpoint.GetModels() {
			n := c.of(model)
			n.total++
			if !active || len(m.Orders) > 0 {
				n.out++
			}
		}
	}
	return c
}

func (c outCount) of(model string) *modelCount {
	if c[model] == nil {
		c[model] = &modelCount{}
	}
	return c[model]
}

// allows tells whether one more endpoint may go out without passing the share
// of any model that it has loaded.
func (c outCount) allows(e *pb.Endpoint, share float64) bool {
	for _, model := range e.GetModels() {
		n := c.of(model)
		bound := max(1, int(share*float64(n.total)))
		if n.out+1 > bound {
			return false
		}
	}
	return true
}

// take counts an endpoint as out.
func (c outCount) take(e *pb.Endpoint) {
	for _, model := range e.GetModels() {
		c.of(model).out++
	}
}
