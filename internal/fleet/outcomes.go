package fleet

import (
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/quarantine"
)

// ServedKey is a part of a prompt, or a request, that an endpoint served.
type ServedKey struct {
	Key    uint64    // see package quarantine
	SentAt time.Time // when the newest such attempt was sent
}

// Response is the newest attempt to which an incarnation of an endpoint responded.
type Response struct {
	Endpoint uint64 // key of the incarnation
	SentAt   time.Time
}

// AttemptOutcomes are the outcomes of the attempts of one entry, or in the exchange between
// control hosts of several.
type AttemptOutcomes struct {
	Broken         []quarantine.BrokenAttempt
	Served         []ServedKey
	ServedAttempts map[string]int // by service; empty between control hosts
	Responses      []Response
}

// outcomeRecord is what is passed on to other control hosts. One of its fields is set.
type outcomeRecord struct {
	broken   *quarantine.BrokenAttempt
	served   *ServedKey // of which an attempt broke
	response *Response
}

const (
	// maxStoredOutcomes limits the stored outcomes; the oldest are dropped first.
	maxStoredOutcomes = 4096
	// maxOutcomesPerResponse holds the broken attempts of many endpoints that crash together.
	maxOutcomesPerResponse = 512
)

// ageMS returns the age of a time in milliseconds, at least 0.
func ageMS(now, at time.Time) uint32 { return uint32(max(now.Sub(at), 0).Milliseconds()) }

// beforeMS returns the time with the given age in milliseconds.
func beforeMS(now time.Time, age uint32) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

func outcomesToProto(now time.Time, o AttemptOutcomes) *pb.AttemptOutcomes {
	if len(o.Broken) == 0 && len(o.Served) == 0 && len(o.ServedAttempts) == 0 && len(o.Responses) == 0 {
		return nil
	}
	out := &pb.AttemptOutcomes{}
	for service, attempts := range o.ServedAttempts {
		out.ServedAttempts = append(out.ServedAttempts, &pb.ServedCount{Service: service, Attempts: uint32(attempts)})
	}
	for _, b := range o.Broken {
		out.Broken = append(out.Broken, &pb.BrokenAttempt{Endpoint: b.Endpoint, SentAgeMs: ageMS(now, b.SentAt),
			BrokenAgeMs: ageMS(now, b.BrokenAt), HasHead: b.HasHead, Parts: b.Parts, Request: b.Request, Service: b.Service})
	}
	for _, s := range o.Served {
		out.ServedKeys = append(out.ServedKeys, s.Key)
		out.ServedAgesMs = append(out.ServedAgesMs, ageMS(now, s.SentAt))
	}
	for _, r := range o.Responses {
		out.Responding = append(out.Responding, r.Endpoint)
		out.RespondingAgesMs = append(out.RespondingAgesMs, ageMS(now, r.SentAt))
	}
	return out
}

// outcomesFromProto ignores served keys and responses without an age.
func outcomesFromProto(now time.Time, p *pb.AttemptOutcomes) AttemptOutcomes {
	o := AttemptOutcomes{ServedAttempts: map[string]int{}}
	for _, count := range p.GetServedAttempts() {
		o.ServedAttempts[count.GetService()] += int(count.GetAttempts())
	}
	for _, b := range p.GetBroken() {
		o.Broken = append(o.Broken, quarantine.BrokenAttempt{Endpoint: b.Endpoint, SentAt: beforeMS(now, b.SentAgeMs),
			BrokenAt: beforeMS(now, b.BrokenAgeMs), HasHead: b.HasHead, Parts: b.Parts, Request: b.Request, Service: b.Service})
	}
	ages := p.GetServedAgesMs()
	for i, key := range p.GetServedKeys() {
		if i < len(ages) {
			o.Served = append(o.Served, ServedKey{Key: key, SentAt: beforeMS(now, ages[i])})
		}
	}
	ages = p.GetRespondingAgesMs()
	for i, endpoint := range p.GetResponding() {
		if i < len(ages) {
			o.Responses = append(o.Responses, Response{Endpoint: endpoint, SentAt: beforeMS(now, ages[i])})
		}
	}
	return o
}

// outcomesOf gathers records for one response.
func outcomesOf(records []outcomeRecord) AttemptOutcomes {
	var o AttemptOutcomes
	for _, r := range records {
		switch {
		case r.broken != nil:
			o.Broken = append(o.Broken, *r.broken)
		case r.served != nil:
			o.Served = append(o.Served, *r.served)
		case r.response != nil:
			o.Responses = append(o.Responses, *r.response)
		}
	}
	return o
}
