package fleet

import (
	"math"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/throttle"
)

// maxPermitsPerCall bounds what one entry may want or return of an endpoint's permits at a time.
const maxPermitsPerCall = 64

// grantPermits merges the limits that an entry knows and returns all limits, or only those with
// permits, with the permits that the entry gets. The caller holds the lock.
func (s *Server) grantPermits(now time.Time, wishes []*pb.EndpointLimit, all bool) []*pb.EndpointLimit {
	wanted := map[uint64]int{}
	for _, w := range wishes {
		s.throttle.Observe(now, w.Endpoint, noticeFromProto(now, w))
		s.throttle.Return(w.Endpoint, int(min(w.Unused, maxPermitsPerCall)))
		wanted[w.Endpoint] = int(min(w.Permits, maxPermitsPerCall))
	}
	var limits []*pb.EndpointLimit
	for _, d := range s.throttle.Demands(now) {
		limit := noticeToProto(now, d.Endpoint, d.Notice)
		limit.Permits = uint32(s.throttle.Grant(now, d.Endpoint, wanted[d.Endpoint]))
		if all || limit.Permits > 0 {
			limits = append(limits, limit)
		}
	}
	return limits
}

func noticeToProto(now time.Time, endpoint uint64, n throttle.Notice) *pb.EndpointLimit {
	return &pb.EndpointLimit{Endpoint: endpoint, Limited: n.Limited, PerSecond: n.PerSecond, AgeMs: ageMS(now, n.At)}
}

func noticeFromProto(now time.Time, p *pb.EndpointLimit) throttle.Notice {
	perSecond := min(max(p.PerSecond, 0), throttle.MaxPerSecond)
	if math.IsNaN(perSecond) {
		perSecond = 0
	}
	return throttle.Notice{Limited: p.Limited, PerSecond: perSecond, At: beforeMS(now, p.AgeMs)}
}

func limitWishesToProto(now time.Time, wishes []balance.LimitWish) []*pb.EndpointLimit {
	var out []*pb.EndpointLimit
	for _, w := range wishes {
		limit := noticeToProto(now, w.Endpoint, w.Notice)
		limit.Permits, limit.Unused = uint32(w.Wanted), uint32(w.Unused)
		out = append(out, limit)
	}
	return out
}

func limitGrantsFromProto(now time.Time, limits []*pb.EndpointLimit) []balance.LimitGrant {
	var out []balance.LimitGrant
	for _, p := range limits {
		out = append(out, balance.LimitGrant{Endpoint: p.Endpoint, Notice: noticeFromProto(now, p), Permits: int(p.Permits)})
	}
	return out
}

func demandsToProto(now time.Time, demands []throttle.Demand) []*pb.EndpointLimit {
	var out []*pb.EndpointLimit
	for _, d := range demands {
		limit := noticeToProto(now, d.Endpoint, d.Notice)
		limit.Demand = float32(d.Permits)
		out = append(out, limit)
	}
	return out
}

func demandsFromProto(now time.Time, limits []*pb.EndpointLimit) []throttle.Demand {
	var out []throttle.Demand
	for _, p := range limits {
		out = append(out, throttle.Demand{Endpoint: p.Endpoint, Notice: noticeFromProto(now, p), Permits: float64(p.Demand)})
	}
	return out
}
