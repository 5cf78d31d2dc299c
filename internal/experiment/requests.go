package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

const (
	repeatDelay      = 50 * time.Millisecond // between the two copies of a repeated protected request
	promptFiller     = "section of the book, as the desk keeps it; "
	defaultMaxTokens = 2000
)

// PlannedRequest is one request of the open-loop load, sent at a fixed time.
type PlannedRequest struct {
	Offset         time.Duration // from the start of the run
	Class          *ticket.Class
	Workspace      string
	Path           string
	Body           []byte
	Prompt         string // as the engine receives it; empty for a service
	AnswerTokens   int    // length of the complete answer
	Stream         bool
	RecordKey      string // identifies the request in the stand-ins' records
	IdempotencyKey string // value of the Idempotency-Key header; empty if not protected
	Copies         int    // 2 if the caller sends it twice
	Target         string // model or service
}

// planRequests generates all requests of a scenario, ordered by time. The same
// seed gives the same requests.
func planRequests(s *Scenario, seed uint64) []*PlannedRequest {
	classes := map[string]*ticket.Class{}
	for i := range s.initialTicket.Classes {
		classes[s.initialTicket.Classes[i].Name] = &s.initialTicket.Classes[i]
	}
	var requests []*PlannedRequest
	for i := range s.Loads {
		generator := &requestGenerator{
			load:     &s.Loads[i],
			class:    classes[s.Loads[i].Class],
			weights:  s.Loads[i].effectiveWeights(s.initialTicket),
			rng:      rand.New(rand.NewPCG(seed, uint64(i)+1)),
			idPrefix: fmt.Sprintf("%s-%d-%d", s.Name, seed, i),
		}
		requests = append(requests, generator.generate(time.Duration(s.Duration))...)
	}
	sort.SliceStable(requests, func(i, k int) bool { return requests[i].Offset < requests[k].Offset })
	return requests
}

// requestGenerator generates the requests of one load.
type requestGenerator struct {
	load      *Load
	class     *ticket.Class
	weights   []workspaceWeight
	rng       *rand.Rand
	idPrefix  string
	generated int
}

// generate samples a Poisson process by thinning: it draws candidates at the
// peak rate and keeps each with the probability rate/peak at its time.
func (g *requestGenerator) generate(duration time.Duration) []*PlannedRequest {
	peakRate := g.load.RequestsPerSecond
	for _, b := range g.load.Bursts {
		peakRate = max(peakRate, g.load.RequestsPerSecond*b.RateFactor)
	}
	var requests []*PlannedRequest
	for seconds := 0.0; ; {
		seconds += g.rng.ExpFloat64() / peakRate
		offset := time.Duration(seconds * float64(time.Second))
		if offset >= duration {
			return requests
		}
		if g.rng.Float64()*peakRate < g.load.rateAt(offset) {
			requests = append(requests, g.newRequest(offset))
		}
	}
}

// rateAt returns the rate at an offset from the start, in requests per second.
func (l *Load) rateAt(offset time.Duration) float64 {
	rate := l.RequestsPerSecond
	for _, b := range l.Bursts {
		if offset >= time.Duration(b.From) && offset < time.Duration(b.To) {
			rate *= b.RateFactor
		}
	}
	return rate
}

func (g *requestGenerator) newRequest(offset time.Duration) *PlannedRequest {
	g.generated++
	r := &PlannedRequest{Offset: offset, Class: g.class, Workspace: g.pickWorkspace(), Copies: 1}
	if g.load.Service != "" {
		g.fillServiceRequest(r)
	} else {
		g.fillChatRequest(r)
	}
	if g.class.NonIdempotent {
		r.IdempotencyKey = fmt.Sprintf("%s-%d", g.idPrefix, g.generated)
		if g.rng.Float64() < g.load.RepeatFraction {
			r.Copies = 2
		}
	}
	return r
}

func (g *requestGenerator) pickWorkspace() string {
	total := 0
	for _, w := range g.weights {
		total += w.weight
	}
	n := g.rng.IntN(total)
	for _, w := range g.weights {
		if n -= w.weight; n < 0 {
			return w.workspace
		}
	}
	return g.weights[len(g.weights)-1].workspace
}

func (g *requestGenerator) fillServiceRequest(r *PlannedRequest) {
	r.Target = g.load.Service
	r.Path = "/services/" + g.load.Service + "/orders"
	r.Body = fmt.Appendf(nil, `{"order":"%s-%d","workspace":%q}`, g.idPrefix, g.generated, r.Workspace)
	digest := sha256.Sum256(r.Body)
	r.RecordKey = hex.EncodeToString(digest[:])
}

type chatRequestBody struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Messages  []standin.Message `json:"messages"`
}

func (g *requestGenerator) fillChatRequest(r *PlannedRequest) {
	limit := orDefault(g.load.TokensMax, defaultMaxTokens)
	r.AnswerTokens = g.drawAnswerTokens(limit)
	content := fmt.Sprintf("%s #%s-%d %s[tokens=%d]",
		padPrompt("workspace "+r.Workspace+": ", g.load.SharedPromptBytes), g.idPrefix, g.generated,
		padPrompt("", g.load.PromptBytes-g.load.SharedPromptBytes), r.AnswerTokens)
	messages := []standin.Message{{Role: "user", Content: content}}
	r.Target = g.load.Model
	r.Path = "/v1/chat/completions"
	r.Stream = !g.load.Buffered
	r.Prompt = standin.ChatPrompt(messages)
	r.RecordKey = standin.PromptHash(r.Prompt)
	r.Body, _ = json.Marshal(chatRequestBody{Model: g.load.Model, Stream: r.Stream, MaxTokens: limit, Messages: messages})
}

// drawAnswerTokens draws an answer length from a log-normal distribution,
// clamped to 1..limit.
func (g *requestGenerator) drawAnswerTokens(limit int) int {
	n := math.Round(g.load.TokensMedian * math.Exp(g.load.TokensSigma*g.rng.NormFloat64()))
	return int(min(max(n, 1), float64(limit)))
}

// padPrompt pads a prefix with filler text to a length in bytes; it never
// truncates the prefix.
func padPrompt(prefix string, length int) string {
	if length <= len(prefix) {
		return prefix
	}
	text := prefix + strings.Repeat(promptFiller, (length-len(prefix))/len(promptFiller)+1)
	return text[:length]
}
