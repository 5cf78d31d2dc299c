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
	repeatAfter  = 50 * time.Millisecond // second copy of a protected request after the first
	filler       = "section of the book, as the desk keeps it; "
	maxTokenDraw = 2000
)

// Arrival is one request that a caller makes at a fixed time.
type Arrival struct {
	At        time.Duration // after the start
	Class     *ticket.Class
	Workspace string
	Path      string
	Body      []byte
	Prompt    string // what the engine sees, empty for a service
	Tokens    int    // length of the whole answer
	Stream    bool
	Key       string // of the stand-ins' records
	Protected string // the Idempotency-Key, empty if not protected
	Copies    int    // 2 if the caller sends it twice
	Target    string // model or service
}

// plan draws all arrivals of a scenario; the same seed gives the same plan.
func plan(s *Scenario, seed uint64) []*Arrival {
	classes := map[string]*ticket.Class{}
	for i := range s.configuration.Classes {
		classes[s.configuration.Classes[i].Name] = &s.configuration.Classes[i]
	}
	var all []*Arrival
	for i := range s.Loads {
		d := &drawer{
			load:    &s.Loads[i],
			class:   classes[s.Loads[i].Class],
			weights: s.Loads[i].weights(s.configuration),
			random:  rand.New(rand.NewPCG(seed, uint64(i)+1)),
			tag:     fmt.Sprintf("%s-%d-%d", s.Name, seed, i),
		}
		all = append(all, d.draw(time.Duration(s.Duration))...)
	}
	sort.SliceStable(all, func(i, k int) bool { return all[i].At < all[k].At })
	return all
}

// drawer draws the arrivals of one load.
type drawer struct {
	load    *Load
	class   *ticket.Class
	weights []weight
	random  *rand.Rand
	tag     string
	count   int
}

// draw makes a Poisson process whose rate the bursts change, by thinning.
func (d *drawer) draw(duration time.Duration) []*Arrival {
	peak := d.load.Rate
	for _, b := range d.load.Bursts {
		peak = max(peak, d.load.Rate*b.Factor)
	}
	var list []*Arrival
	for at := 0.0; ; {
		at += d.random.ExpFloat64() / peak
		when := time.Duration(at * float64(time.Second))
		if when >= duration {
			return list
		}
		if d.random.Float64()*peak < d.load.rateAt(when) {
			list = append(list, d.arrival(when))
		}
	}
}

// rateAt is the rate at a time, in requests a second.
func (l *Load) rateAt(at time.Duration) float64 {
	rate := l.Rate
	for _, b := range l.Bursts {
		if at >= time.Duration(b.From) && at < time.Duration(b.To) {
			rate *= b.Factor
		}
	}
	return rate
}

func (d *drawer) arrival(at time.Duration) *Arrival {
	d.count++
	a := &Arrival{At: at, Class: d.class, Workspace: d.workspace(), Copies: 1}
	if d.load.Service != "" {
		d.call(a)
	} else {
		d.completion(a)
	}
	if d.class.NonIdempotent {
		a.Protected = fmt.Sprintf("%s-%d", d.tag, d.count)
		if d.random.Float64() < d.load.Repeat {
			a.Copies = 2
		}
	}
	return a
}

func (d *drawer) workspace() string {
	total := 0
	for _, w := range d.weights {
		total += w.value
	}
	n := d.random.IntN(total)
	for _, w := range d.weights {
		if n -= w.value; n < 0 {
			return w.workspace
		}
	}
	return d.weights[len(d.weights)-1].workspace
}

// call is a request to a plain service.
func (d *drawer) call(a *Arrival) {
	a.Target = d.load.Service
	a.Path = "/services/" + d.load.Service + "/orders"
	a.Body = fmt.Appendf(nil, `{"order":"%s-%d","workspace":%q}`, d.tag, d.count, a.Workspace)
	digest := sha256.Sum256(a.Body)
	a.Key = hex.EncodeToString(digest[:])
}

type chatBody struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Messages  []standin.Message `json:"messages"`
}

// completion is a request to a model.
func (d *drawer) completion(a *Arrival) {
	limit := orDefault(d.load.TokensMax, maxTokenDraw)
	a.Tokens = d.tokens(limit)
	content := fmt.Sprintf("%s #%s-%d %s[tokens=%d]",
		stretch("workspace "+a.Workspace+": ", d.load.SharedBytes), d.tag, d.count,
		stretch("", d.load.PromptBytes-d.load.SharedBytes), a.Tokens)
	messages := []standin.Message{{Role: "user", Content: content}}
	a.Target = d.load.Model
	a.Path = "/v1/chat/completions"
	a.Stream = !d.load.Buffered
	a.Prompt = standin.ChatPrompt(messages)
	a.Key = standin.PromptHash(a.Prompt)
	a.Body, _ = json.Marshal(chatBody{Model: d.load.Model, Stream: a.Stream, MaxTokens: limit, Messages: messages})
}

// tokens draws a length from the log-normal law.
func (d *drawer) tokens(limit int) int {
	n := math.Round(d.load.TokensMedian * math.Exp(d.load.TokensSigma*d.random.NormFloat64()))
	return int(min(max(n, 1), float64(limit)))
}

// stretch repeats filler after a start up to a length in bytes.
func stretch(start string, length int) string {
	if length <= len(start) {
		return start
	}
	text := start + strings.Repeat(filler, (length-len(start))/len(filler)+1)
	return text[:length]
}
