// Package experiment drives a whole system with open-loop load and faults, and
// reports what each class of requests got. Arrivals never wait for answers.
// What was achieved and what was violated is counted from the stand-ins' own
// records and from what the callers received.
package experiment

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// Duration is a length of time written with its unit, for example "20s".
type Duration time.Duration

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "read a duration")
	}
	*d = Duration(v)
	return nil
}

// Scenario is one experiment: a configuration, endpoints, load and events.
type Scenario struct {
	Name        string `toml:"name"`
	Description string `toml:"description"`
	Seed        uint64 `toml:"seed"`
	// Ticket is the file of the first change ticket, relative to the scenario.
	Ticket string `toml:"ticket"`
	// Duration is how long requests arrive.
	Duration Duration `toml:"duration"`
	// Settle is how long callers may still wait after the last arrival.
	Settle Duration `toml:"settle"`
	// StarvationWindow is the time within which a class with waiting
	// requests must finish one.
	StarvationWindow Duration   `toml:"starvation_window"`
	Routers          int        `toml:"routers"`
	Endpoints        []Endpoint `toml:"endpoint"`
	Loads            []Load     `toml:"load"`
	Events           []Event    `toml:"event"`

	configuration *ticket.Ticket
}

// Endpoint describes a set of like endpoints.
type Endpoint struct {
	Group    string   `toml:"group"` // endpoint group; names are GROUP-1 to GROUP-COUNT
	Kind     string   `toml:"kind"`  // engine or service
	Serves   string   `toml:"serves"`
	Count    int      `toml:"count"`
	Domains  []string `toml:"domains"` // failure domains, in turn
	Slots    int      `toml:"slots"`
	StepBase Duration `toml:"step_base"`
	StepPer  Duration `toml:"step_per_sequence"`
	Prefill  Duration `toml:"prefill_per_byte"`
	LoadLag  Duration `toml:"load_lag"`
	Latency  Duration `toml:"latency"` // of a service's run
}

// Load is one stream of requests.
type Load struct {
	Class        string         `toml:"class"`
	Model        string         `toml:"model"`   // either a model
	Service      string         `toml:"service"` // or a service
	Rate         float64        `toml:"rate"`    // requests a second
	Workspaces   map[string]int `toml:"workspaces"`
	TokensMedian float64        `toml:"tokens_median"`
	TokensSigma  float64        `toml:"tokens_sigma"` // of the log-normal law
	TokensMax    int            `toml:"tokens_max"`
	PromptBytes  int            `toml:"prompt_bytes"`
	SharedBytes  int            `toml:"shared_prompt_bytes"` // prefix common to a workspace
	Buffered     bool           `toml:"buffered"`
	Repeat       float64        `toml:"repeat"` // share of protected requests sent twice
	Bursts       []Burst        `toml:"burst"`
}

// Burst multiplies the rate of a load for a while.
type Burst struct {
	From   Duration `toml:"from"`
	To     Duration `toml:"to"`
	Factor float64  `toml:"factor"`
}

// Event happens at a time after the start.
type Event struct {
	At        Duration      `toml:"at"`
	Kind      EventKind     `toml:"kind"`
	Endpoints []string      `toml:"endpoints"`
	Domain    string        `toml:"domain"`
	Every     Duration      `toml:"every"` // of a rolling drain: time between two endpoints
	Hold      Duration      `toml:"hold"`  // of a rolling drain: time until an endpoint returns
	Ticket    string        `toml:"ticket"`
	Fault     standin.Fault `toml:"fault"`
}

// EventKind names what happens.
type EventKind string

// The kinds of events.
const (
	EventFault        EventKind = "fault"         // at the stand-ins of Endpoints
	EventDrain        EventKind = "drain"         // of Endpoints
	EventUndrain      EventKind = "undrain"       // of Endpoints
	EventRollingDrain EventKind = "rolling_drain" // of Endpoints, all if empty
	EventLoseDomain   EventKind = "lose_domain"   // everything of Domain is gone
	EventLoseControl  EventKind = "lose_control"  // every control host is gone
	EventTicket       EventKind = "ticket"        // submits Ticket
)

const (
	kindEngine  = "engine"
	kindService = "service"

	defaultSettle     = 30 * time.Second
	defaultStarvation = 10 * time.Second
	defaultRouters    = 2
	maxScenario       = 2 * time.Minute
)

// Problem is one fault of a scenario file.
type Problem struct {
	Key  string
	Text string
}

// ScenarioError lists everything that is wrong with a scenario.
type ScenarioError struct {
	File     string
	Problems []Problem
}

// Error lists the problems, one a line.
func (e *ScenarioError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the scenario %s can't be run:", e.File)
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  %s: %s", p.Key, p.Text)
	}
	return b.String()
}

// LoadScenario reads a scenario and its ticket.
func LoadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the scenario")
	}
	s, err := decodeScenario(path, text)
	if err != nil {
		return nil, err
	}
	configuration, err := s.readTicket(filepath.Dir(path), s.Ticket)
	if err != nil {
		return nil, err
	}
	s.configuration = configuration
	if problems := s.checkAgainst(configuration); len(problems) > 0 {
		return nil, errors.WithStack(&ScenarioError{File: path, Problems: problems})
	}
	return s, nil
}

func (s *Scenario) readTicket(folder, name string) (*ticket.Ticket, error) {
	text, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		return nil, errors.Wrap(err, "read the ticket of the scenario")
	}
	t, err := ticket.DecodeTOML(text)
	return t, errors.Wrap(err, "read the ticket of the scenario")
}

// decodeScenario reads the text and checks all that needs no other file.
func decodeScenario(path string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	meta, err := toml.NewDecoder(bytes.NewReader(text)).Decode(s)
	if err != nil {
		return nil, errors.WithStack(&ScenarioError{File: path, Problems: []Problem{{Key: "file", Text: err.Error()}}})
	}
	c := &scenarioChecker{}
	for _, key := range meta.Undecoded() {
		c.add(key.String(), "unknown key")
	}
	c.checkScenario(s)
	if len(c.problems) > 0 {
		return nil, errors.WithStack(&ScenarioError{File: path, Problems: c.problems})
	}
	s.fill()
	return s, nil
}

func (s *Scenario) fill() {
	s.Settle = orDefault(s.Settle, Duration(defaultSettle))
	s.StarvationWindow = orDefault(s.StarvationWindow, Duration(defaultStarvation))
	s.Routers = orDefault(s.Routers, defaultRouters)
	s.Seed = orDefault(s.Seed, 1)
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// endpointNames lists the names of all endpoints.
func (s *Scenario) endpointNames() []string {
	var names []string
	for i := range s.Endpoints {
		for n := range s.Endpoints[i].Count {
			names = append(names, s.Endpoints[i].name(n))
		}
	}
	return names
}

func (e *Endpoint) name(n int) string { return fmt.Sprintf("%s-%d", e.Group, n+1) }

func (e *Endpoint) domain(n int) string { return e.Domains[n%len(e.Domains)] }

// domains lists all failure domains.
func (s *Scenario) domains() []string {
	seen := map[string]bool{}
	var list []string
	for i := range s.Endpoints {
		for _, d := range s.Endpoints[i].Domains {
			if !seen[d] {
				seen[d] = true
				list = append(list, d)
			}
		}
	}
	sort.Strings(list)
	return list
}

// lostDomains are the failure domains that an event loses.
func (s *Scenario) lostDomains() map[string]bool {
	lost := map[string]bool{}
	for i := range s.Events {
		if s.Events[i].Kind == EventLoseDomain {
			lost[s.Events[i].Domain] = true
		}
	}
	return lost
}
