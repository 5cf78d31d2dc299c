package fleet

import (
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
)

// endpointToProto sends times as ages, because the clocks of hosts differ.
func endpointToProto(e directory.Endpoint, now time.Time) *pb.FleetEndpoint {
	return &pb.FleetEndpoint{Id: e.ID, Service: e.Service, Address: e.Address, FailureDomain: e.Domain,
		Slots: uint32(e.Slots), State: uint32(e.State), BornMs: e.Born, Sequence: e.Sequence,
		ColdMs: max(e.ColdTill.Sub(now), 0).Milliseconds(), AgeMs: now.Sub(e.HeardAt).Milliseconds()}
}

func endpointFromProto(p *pb.FleetEndpoint, now time.Time) directory.Endpoint {
	return directory.Endpoint{ID: p.Id, Service: p.Service, Address: p.Address, Domain: p.FailureDomain,
		Slots: int(p.Slots), State: directory.State(p.State), Born: p.BornMs, Sequence: p.Sequence,
		ColdTill: now.Add(time.Duration(p.ColdMs) * time.Millisecond),
		HeardAt:  now.Add(-time.Duration(p.AgeMs) * time.Millisecond)}
}

func endpointLoadsToProto(loads Shares) *pb.EndpointLoads {
	out := &pb.EndpointLoads{}
	for key, load := range loads {
		out.Endpoints = append(out.Endpoints, uint32(key))
		out.Running = append(out.Running, uint32(load.Running))
		out.Waiting = append(out.Waiting, uint32(load.Waiting))
		out.WaitingTokens = append(out.WaitingTokens, uint32(load.Unread))
		out.Urgent = append(out.Urgent, uint32(load.Urgent))
		out.HeatTokens = append(out.HeatTokens, uint32(load.Heat))
		out.Tokens = append(out.Tokens, uint32(load.Tokens))
	}
	return out
}

// endpointLoadsFromProto reads the missing values of a short column as 0.
func endpointLoadsFromProto(columns *pb.EndpointLoads) Shares {
	out := Shares{}
	for i, key := range columns.GetEndpoints() {
		out[balance.Key(key)] = balance.Share{Running: columnValue(columns.Running, i), Waiting: columnValue(columns.Waiting, i), Unread: columnValue(columns.WaitingTokens, i),
			Urgent: columnValue(columns.Urgent, i), Heat: columnValue(columns.HeatTokens, i), Tokens: columnValue(columns.Tokens, i)}
	}
	return out
}

// columnValue returns a value of a column, or 0 past its end.
func columnValue(column []uint32, i int) int {
	if i < len(column) {
		return int(column[i])
	}
	return 0
}

// placementsToProto groups placements by endpoint.
func placementsToProto(placements []balance.Placement) []*pb.PlacedParts {
	var out []*pb.PlacedParts
	groups := map[balance.Key]*pb.PlacedParts{}
	for _, p := range placements {
		group := groups[p.Endpoint]
		if group == nil {
			group = &pb.PlacedParts{Endpoint: uint32(p.Endpoint)}
			groups[p.Endpoint] = group
			out = append(out, group)
		}
		group.Parts = append(group.Parts, p.Part)
	}
	return out
}

func placementsFromProto(groups []*pb.PlacedParts) []balance.Placement {
	var out []balance.Placement
	for _, group := range groups {
		for _, part := range group.Parts {
			out = append(out, balance.Placement{Endpoint: balance.Key(group.Endpoint), Part: part})
		}
	}
	return out
}

func cursorToProto(cursor Mark) *pb.Mark {
	return &pb.Mark{Life: cursor.Life, Position: cursor.Position}
}

func cursorFromProto(cursor *pb.Mark) Mark {
	return Mark{Life: cursor.GetLife(), Position: cursor.GetPosition()}
}
