// Package ticket holds the operators' objects, the change tickets that carry
// them, and the pure rules that accept or refuse a ticket as a whole.
//
// Nothing here reads a clock, starts a goroutine or does I/O.
package ticket

import "time"

// Tier orders classes: 1 is the highest, MaxTier the lowest.
type Tier int

// MaxTier is the lowest tier that a class may name.
const MaxTier Tier = 6

// Duration is a length of time written with its unit, for example "490ms".
type Duration time.Duration

// Class is a kind of request with a latency target and a priority.
type Class struct {
	Name                string   `toml:"name" json:"name"`
	Tier                Tier     `toml:"tier" json:"tier"`
	FirstTokenTarget    Duration `toml:"first_token_target" json:"first_token_target"`
	BetweenTokensTarget Duration `toml:"between_tokens_target" json:"between_tokens_target"`
	// Deadline is the longest time from arrival to the end of the answer.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// Patience is the longest wait before the answer starts.
	Patience Duration `toml:"patience" json:"patience"`
	// NonIdempotent makes every request with an Idempotency-Key protected
	// and refuses requests without one.
	NonIdempotent bool `toml:"non_idempotent" json:"non_idempotent"`
}

// Workspace is a customer: its keys, what it may use and how much.
type Workspace struct {
	Name string `toml:"name" json:"name"`
	// KeyHashes are lower-case hex SHA-256 hashes of bearer keys.
	KeyHashes    []string `toml:"key_hashes" json:"key_hashes,omitempty"`
	Classes      []string `toml:"classes" json:"classes,omitempty"`
	DefaultClass string   `toml:"default_class" json:"default_class"`
	// Limit names the limit object that bounds this workspace, "" for none.
	Limit string `toml:"limit" json:"limit"`
	// Share is the weight inside a tier, at least 1.
	Share int `toml:"share" json:"share"`
}

// Model is a language model that callers may name.
type Model struct {
	Name string `toml:"name" json:"name"`
	// MaxOutputTokens bounds one answer, in tokens.
	MaxOutputTokens int `toml:"max_output_tokens" json:"max_output_tokens"`
}

// Service is a plain HTTP service that callers may name.
type Service struct {
	Name string `toml:"name" json:"name"`
	// NonIdempotent makes every call that is not GET or HEAD protected.
	NonIdempotent bool `toml:"non_idempotent" json:"non_idempotent"`
	// Class is used for calls that name no class; "" for the workspace's default.
	Class string `toml:"class" json:"class"`
}

// EndpointGroup says which workspaces, models and services the endpoints
// that announce themselves under this name serve.
type EndpointGroup struct {
	Name       string   `toml:"name" json:"name"`
	Workspaces []string `toml:"workspaces" json:"workspaces,omitempty"` // "*" alone means all
	Models     []string `toml:"models" json:"models,omitempty"`
	Services   []string `toml:"services" json:"services,omitempty"`
}

// Limit bounds the use of a workspace across all routers; 0 is refused and
// a field left out means unbounded.
type Limit struct {
	Name              string `toml:"name" json:"name"`
	RequestsPerSecond int    `toml:"requests_per_second,omitzero" json:"requests_per_second,omitempty"`
	Concurrency       int    `toml:"concurrency,omitzero" json:"concurrency,omitempty"`
	TokensPerSecond   int    `toml:"tokens_per_second,omitzero" json:"tokens_per_second,omitempty"`
}

// Kind names a kind of object.
type Kind string

// The kinds of objects.
const (
	KindClass         Kind = "class"
	KindWorkspace     Kind = "workspace"
	KindModel         Kind = "model"
	KindService       Kind = "service"
	KindEndpointGroup Kind = "endpoint_group"
	KindLimit         Kind = "limit"
)

// Removal takes one object out of the configuration.
type Removal struct {
	Kind Kind   `toml:"kind" json:"kind"`
	Name string `toml:"name" json:"name"`
}

// Ticket is one numbered change: the whole new state of each object that it
// touches, and the removals.
type Ticket struct {
	Number         uint64          `toml:"number" json:"number"`
	Author         string          `toml:"author" json:"author"`
	Summary        string          `toml:"summary" json:"summary"`
	Classes        []Class         `toml:"class,omitempty" json:"class,omitempty"`
	Workspaces     []Workspace     `toml:"workspace,omitempty" json:"workspace,omitempty"`
	Models         []Model         `toml:"model,omitempty" json:"model,omitempty"`
	Services       []Service       `toml:"service,omitempty" json:"service,omitempty"`
	EndpointGroups []EndpointGroup `toml:"endpoint_group,omitempty" json:"endpoint_group,omitempty"`
	Limits         []Limit         `toml:"limit,omitempty" json:"limit,omitempty"`
	Removals       []Removal       `toml:"remove,omitempty" json:"remove,omitempty"`
	// AllowStranding accepts a change that leaves running work without a
	// class, model or endpoint group.
	AllowStranding bool `toml:"allow_stranding,omitempty" json:"allow_stranding,omitempty"`
}

// State is the whole configuration at one revision. It is immutable once
// built: Apply returns a new one.
type State struct {
	Revision       uint64                   `json:"revision"`
	LastNumber     uint64                   `json:"last_number"`
	Classes        map[string]Class         `json:"classes"`
	Workspaces     map[string]Workspace     `json:"workspaces"`
	Models         map[string]Model         `json:"models"`
	Services       map[string]Service       `json:"services"`
	EndpointGroups map[string]EndpointGroup `json:"endpoint_groups"`
	Limits         map[string]Limit         `json:"limits"`
}

// NewState returns the empty configuration at revision 0.
func NewState() *State {
	return &State{
		Classes:        map[string]Class{},
		Workspaces:     map[string]Workspace{},
		Models:         map[string]Model{},
		Services:       map[string]Service{},
		EndpointGroups: map[string]EndpointGroup{},
		Limits:         map[string]Limit{},
	}
}
