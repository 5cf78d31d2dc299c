package fleet

import (
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
)

// endpointToProto encodes WarmupEndsAt and LastReportAt relative to now, because the
// clocks of hosts differ. A displaced endpoint is sent as silent: it has not departed, and the report that displaced
// it says the rest.
func endpointToProto(e directory.Endpoint, now time.Time) *pb.FleetEndpoint {
	if e.Displaced {
		e.State = directory.Silent
	}
	return &pb.FleetEndpoint{Id: e.ID, Service: e.Service, Address: e.Address, FailureDomain: e.FailureDomain,
		Slots: uint32(e.Slots), State: uint32(e.State), BornMs: e.StartedUnixMS, Sequence: e.Sequence,
		ColdMs: max(e.WarmupEndsAt.Sub(now), 0).Milliseconds(), AgeMs: now.Sub(e.LastReportAt).Milliseconds(), Version: e.Version}
}

// endpointFromProto returns a *directory.InvalidError for an endpoint that can't be used: a control
// host of an older build accepts more reports.
func endpointFromProto(p *pb.FleetEndpoint, now time.Time) (directory.Endpoint, error) {
	switch {
	case p.State > uint32(directory.Gone):
		return directory.Endpoint{}, &directory.InvalidError{Field: "state"}
	case p.ColdMs < 0 || p.ColdMs > directory.MaxWarmup.Milliseconds():
		return directory.Endpoint{}, &directory.InvalidError{Field: "warmup"}
	case p.AgeMs < -maxReportAge.Milliseconds() || p.AgeMs > maxReportAge.Milliseconds():
		return directory.Endpoint{}, &directory.InvalidError{Field: "age"}
	}
	e := directory.Endpoint{ID: p.Id, Service: p.Service, Address: p.Address, FailureDomain: p.FailureDomain,
		Slots: int(p.Slots), State: directory.State(p.State), StartedUnixMS: p.BornMs, Sequence: p.Sequence,
		WarmupEndsAt: now.Add(time.Duration(p.ColdMs) * time.Millisecond),
		LastReportAt: now.Add(-time.Duration(p.AgeMs) * time.Millisecond), Version: p.Version}
	return e, e.Check()
}

// maxReportAge bounds the age of a report. It is much longer than a control host keeps an endpoint
// without one.
const maxReportAge = 24 * time.Hour

func endpointLoadsToProto(loads EndpointLoads) *pb.EndpointLoads {
	out := &pb.EndpointLoads{}
	for key, load := range loads {
		out.Endpoints = append(out.Endpoints, uint32(key))
		out.Running = append(out.Running, uint32(load.Running))
		out.Waiting = append(out.Waiting, uint32(load.Waiting))
		out.WaitingTokens = append(out.WaitingTokens, uint32(load.PrefillTokens))
		out.Urgent = append(out.Urgent, uint32(load.UrgentRequests))
		out.HeatTokens = append(out.HeatTokens, uint32(load.RecentPrefillTokens))
		out.Tokens = append(out.Tokens, uint32(load.PromptTokens))
	}
	return out
}

// endpointLoadsFromProto reads the missing values of a short column as 0.
func endpointLoadsFromProto(columns *pb.EndpointLoads) EndpointLoads {
	out := EndpointLoads{}
	for i, key := range columns.GetEndpoints() {
		out[balance.EndpointKey(key)] = balance.InFlightLoad{
			Running:             columnValue(columns.Running, i),
			Waiting:             columnValue(columns.Waiting, i),
			PrefillTokens:       columnValue(columns.WaitingTokens, i),
			UrgentRequests:      columnValue(columns.Urgent, i),
			RecentPrefillTokens: columnValue(columns.HeatTokens, i),
			PromptTokens:        columnValue(columns.Tokens, i),
		}
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
func placementsToProto(placements []balance.PartPlacement) []*pb.PlacedParts {
	var out []*pb.PlacedParts
	groups := map[balance.EndpointKey]*pb.PlacedParts{}
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

func placementsFromProto(groups []*pb.PlacedParts) []balance.PartPlacement {
	var out []balance.PartPlacement
	for _, group := range groups {
		for _, part := range group.Parts {
			out = append(out, balance.PartPlacement{Endpoint: balance.EndpointKey(group.Endpoint), Part: part})
		}
	}
	return out
}

func cursorToProto(cursor ExchangeCursor) *pb.Mark {
	return &pb.Mark{Life: cursor.Incarnation, Position: cursor.Position}
}

func cursorFromProto(cursor *pb.Mark) ExchangeCursor {
	return ExchangeCursor{Incarnation: cursor.GetLife(), Position: cursor.GetPosition()}
}
