// Package experiment runs a whole system under open-loop load and injected
// faults, and reports the results per request class. Requests are sent at their
// scheduled times whether or not earlier ones were answered. Results and
// violations are computed from the records of the stand-ins (simulated
// endpoints) and from what the callers received.
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

// Duration is a time.Duration written with its unit, such as "20s".
type Duration time.Duration

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "parse a duration")
	}
	*d = Duration(v)
	return nil
}

// Scenario describes one experiment: configuration, endpoints, load and events.
type Scenario struct {
	Name        string `toml:"name"`
	Description string `toml:"description"`
	Seed        uint64 `toml:"seed"`
	// TicketFile is the path of the initial change ticket, relative to the
	// scenario file.
	TicketFile string `toml:"ticket"`
	// Duration is the period over which requests are sent.
	Duration Duration `toml:"duration"`
	// SettleTimeout is how long calls may stay open after Duration.
	SettleTimeout Duration `toml:"settle"`
	// StarvationWindow is the time within which a class with waiting
	// requests must complete one.
	StarvationWindow Duration      `toml:"starvation_window"`
	RouterCount      int           `toml:"routers"`
	EndpointSets     []EndpointSet `toml:"endpoint"`
	Loads            []Load        `toml:"load"`
	Events           []Event       `toml:"event"`

	initialTicket *ticket.Ticket
}

// EndpointSet describes a set of identical endpoints.
type EndpointSet struct {
	Group           string   `toml:"group"` // endpoint group; the endpoints are named GROUP-1 to GROUP-COUNT
	Kind            string   `toml:"kind"`  // engine or service
	Serves          string   `toml:"serves"`
	Count           int      `toml:"count"`
	FailureDomains  []string `toml:"domains"` // assigned round robin
	Slots           int      `toml:"slots"`
	StepBase        Duration `toml:"step_base"`         // fixed part of the duration of an engine step
	StepPerSequence Duration `toml:"step_per_sequence"` // added by each sequence in the batch
	PrefillPerByte  Duration `toml:"prefill_per_byte"`  // added by each prompt byte that isn't cached
	LoadLag         Duration `toml:"load_lag"`          // age of load reports
	ServiceLatency  Duration `toml:"latency"`           // duration of each run at a service
}

// Load is a stream of requests of one class to one model or service.
type Load struct {
	Class             string         `toml:"class"`
	Model             string         `toml:"model"` // either Model or Service is set
	Service           string         `toml:"service"`
	RequestsPerSecond float64        `toml:"rate"`
	WorkspaceWeights  map[string]int `toml:"workspaces"`    // empty: the workspaces' shares in the ticket
	TokensMedian      float64        `toml:"tokens_median"` // of the answer lengths
	TokensSigma       float64        `toml:"tokens_sigma"`  // standard deviation of the answer lengths, in log space
	TokensMax         int            `toml:"tokens_max"`
	PromptBytes       int            `toml:"prompt_bytes"`
	SharedPromptBytes int            `toml:"shared_prompt_bytes"` // length of the prefix that a workspace's prompts share
	Buffered          bool           `toml:"buffered"`
	RepeatFraction    float64        `toml:"repeat"` // fraction of the protected requests that are sent twice
	Bursts            []Burst        `toml:"burst"`
}

// Burst multiplies the rate of a load during an interval.
type Burst struct {
	From       Duration `toml:"from"`
	To         Duration `toml:"to"`
	RateFactor float64  `toml:"factor"`
}

// Event is an action at an offset from the start of the run.
type Event struct {
	At            Duration      `toml:"at"`
	Kind          EventKind     `toml:"kind"`
	Endpoints     []string      `toml:"endpoints"`
	FailureDomain string        `toml:"domain"`
	DrainInterval Duration      `toml:"every"` // of a rolling drain: from one endpoint's drain to the next one's
	DrainDuration Duration      `toml:"hold"`  // of a rolling drain: time that each endpoint stays drained
	TicketFile    string        `toml:"ticket"`
	Fault         standin.Fault `toml:"fault"`
}

// EventKind is the action of an event.
type EventKind string

// Event kinds.
const (
	EventFault            EventKind = "fault"         // injects Fault into the stand-ins of Endpoints
	EventDrain            EventKind = "drain"         // drains Endpoints
	EventUndrain          EventKind = "undrain"       // undoes the drain of Endpoints
	EventRollingDrain     EventKind = "rolling_drain" // drains and undrains Endpoints in turn, all if empty
	EventFailDomain       EventKind = "lose_domain"   // all endpoints, agents and routers of FailureDomain fail
	EventStopControlHosts EventKind = "lose_control"  // all control hosts stop
	EventTicket           EventKind = "ticket"        // submits the ticket of TicketFile
)

const (
	kindEngine  = "engine"
	kindService = "service"

	defaultSettleTimeout    = 30 * time.Second
	defaultStarvationWindow = 10 * time.Second
	defaultRouterCount      = 2
	maxScenarioDuration     = 2 * time.Minute // of Duration plus SettleTimeout, as set in the file
)

// Problem is one error in a scenario file.
type Problem struct {
	Key  string
	Text string
}

// ScenarioError lists all problems of a scenario file.
type ScenarioError struct {
	File     string
	Problems []Problem
}

// Error lists the problems, one per line.
func (e *ScenarioError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the scenario %s can't be run:", e.File)
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  %s: %s", p.Key, p.Text)
	}
	return b.String()
}

// LoadScenario reads and checks a scenario and its ticket.
func LoadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the scenario file")
	}
	s, err := decodeScenario(path, text)
	if err != nil {
		return nil, err
	}
	initialTicket, err := s.readTicket(filepath.Dir(path), s.TicketFile)
	if err != nil {
		return nil, err
	}
	s.initialTicket = initialTicket
	if problems := s.checkAgainstTicket(initialTicket); len(problems) > 0 {
		return nil, errors.WithStack(&ScenarioError{File: path, Problems: problems})
	}
	return s, nil
}

func (s *Scenario) readTicket(dir, name string) (*ticket.Ticket, error) {
	text, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return nil, errors.Wrap(err, "read the ticket file of the scenario")
	}
	t, err := ticket.DecodeTOML(text)
	return t, errors.Wrap(err, "decode the ticket of the scenario")
}

// decodeScenario decodes the text and runs the checks that need no ticket.
func decodeScenario(path string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	meta, err := toml.NewDecoder(bytes.NewReader(text)).Decode(s)
	if err != nil {
		return nil, errors.WithStack(&ScenarioError{File: path, Problems: []Problem{{Key: "file", Text: err.Error()}}})
	}
	checker := &scenarioChecker{}
	for _, key := range meta.Undecoded() {
		checker.addProblem(key.String(), "unknown key")
	}
	checker.checkScenario(s)
	if len(checker.problems) > 0 {
		return nil, errors.WithStack(&ScenarioError{File: path, Problems: checker.problems})
	}
	s.applyDefaults()
	return s, nil
}

func (s *Scenario) applyDefaults() {
	s.SettleTimeout = orDefault(s.SettleTimeout, Duration(defaultSettleTimeout))
	s.StarvationWindow = orDefault(s.StarvationWindow, Duration(defaultStarvationWindow))
	s.RouterCount = orDefault(s.RouterCount, defaultRouterCount)
	s.Seed = orDefault(s.Seed, 1)
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

func (s *Scenario) endpointNames() []string {
	var names []string
	for i := range s.EndpointSets {
		for n := range s.EndpointSets[i].Count {
			names = append(names, s.EndpointSets[i].endpointName(n))
		}
	}
	return names
}

func (e *EndpointSet) endpointName(n int) string { return fmt.Sprintf("%s-%d", e.Group, n+1) }

func (e *EndpointSet) endpointDomain(n int) string { return e.FailureDomains[n%len(e.FailureDomains)] }

// failureDomains lists the failure domains of all endpoints, sorted.
func (s *Scenario) failureDomains() []string {
	seen := map[string]bool{}
	var domains []string
	for i := range s.EndpointSets {
		for _, d := range s.EndpointSets[i].FailureDomains {
			if !seen[d] {
				seen[d] = true
				domains = append(domains, d)
			}
		}
	}
	sort.Strings(domains)
	return domains
}

// failingDomains returns the failure domains that an event fails.
func (s *Scenario) failingDomains() map[string]bool {
	failing := map[string]bool{}
	for i := range s.Events {
		if s.Events[i].Kind == EventFailDomain {
			failing[s.Events[i].FailureDomain] = true
		}
	}
	return failing
}
