// Package ticket defines the configuration objects that operators manage, the
// tickets that change them, and the rules that accept or refuse a ticket as a
// whole.
//
// The package reads no clock, starts no goroutine and does no I/O.
package ticket

import "time"

// Tier is the priority of a class: 1 is the highest, MaxTier the lowest.
type Tier int

// MaxTier is the lowest tier that a class may have.
const MaxTier Tier = 6

// Duration is a time.Duration that is encoded as text with its unit, for
// example "490ms".
type Duration time.Duration

// Class is a category of requests with latency targets and a priority.
type Class struct {
	Name                string   `toml:"name" json:"name"`
	Tier                Tier     `toml:"tier" json:"tier"`
	FirstTokenTarget    Duration `toml:"first_token_target" json:"first_token_target"`
	BetweenTokensTarget Duration `toml:"between_tokens_target" json:"between_tokens_target"`
	// Deadline is the maximum time from arrival to the end of the answer.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// Patience is the maximum wait before the answer starts.
	Patience Duration `toml:"patience" json:"patience"`
	// NonIdempotent refuses requests without an Idempotency-Key and makes
	// all others protected: they run at most once.
	NonIdempotent bool `toml:"non_idempotent" json:"non_idempotent"`
}

// Workspace is a customer: its API keys, the classes that it may use, and its
// limit.
type Workspace struct {
	Name string `toml:"name" json:"name"`
	// KeyHashes are the SHA-256 hashes of the bearer keys in lower-case hex.
	KeyHashes    []string `toml:"key_hashes" json:"key_hashes,omitempty"`
	Classes      []string `toml:"classes" json:"classes,omitempty"`
	DefaultClass string   `toml:"default_class" json:"default_class"`
	// Limit names the Limit that applies to the workspace; "" means none.
	Limit string `toml:"limit" json:"limit"`
	// Share is the scheduling weight among the workspaces of a tier, at least 1.
	Share int `toml:"share" json:"share"`
}

// Model is a language model that callers may name.
type Model struct {
	Name string `toml:"name" json:"name"`
	// MaxOutputTokens is the maximum length of one answer.
	MaxOutputTokens int `toml:"max_output_tokens" json:"max_output_tokens"`
}

// Service is a plain HTTP service that callers may name.
type Service struct {
	Name string `toml:"name" json:"name"`
	// NonIdempotent makes every call that is not GET or HEAD protected.
	NonIdempotent bool `toml:"non_idempotent" json:"non_idempotent"`
	// Class applies to calls that name no class; "" means the workspace's default.
	Class string `toml:"class" json:"class"`
}

// EndpointGroup lists the workspaces, models and services that are served by
// the endpoints that register under its name.
type EndpointGroup struct {
	Name       string   `toml:"name" json:"name"`
	Workspaces []string `toml:"workspaces" json:"workspaces,omitempty"` // {"*"} means all
	Models     []string `toml:"models" json:"models,omitempty"`
	Services   []string `toml:"services" json:"services,omitempty"`
}

// Limit bounds the usage of a workspace across all routers. An omitted field
// means no bound; an explicit 0 is refused.
type Limit struct {
	Name              string `toml:"name" json:"name"`
	RequestsPerSecond int    `toml:"requests_per_second,omitzero" json:"requests_per_second,omitempty"`
	Concurrency       int    `toml:"concurrency,omitzero" json:"concurrency,omitempty"`
	TokensPerSecond   int    `toml:"tokens_per_second,omitzero" json:"tokens_per_second,omitempty"`
}

// ObjectKind is the kind of a configuration object.
type ObjectKind string

// The object kinds, spelled as in ticket files and in Fault.Object.
const (
	KindClass         ObjectKind = "class"
	KindWorkspace     ObjectKind = "workspace"
	KindModel         ObjectKind = "model"
	KindService       ObjectKind = "service"
	KindEndpointGroup ObjectKind = "endpoint_group"
	KindLimit         ObjectKind = "limit"
)

// Removal deletes one object from the configuration.
type Removal struct {
	Kind ObjectKind `toml:"kind" json:"kind"`
	Name string     `toml:"name" json:"name"`
}

// Ticket is a numbered change of the configuration: the complete definition of
// each object that it adds or replaces, and the objects that it removes.
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
	// AllowStranding accepts a ticket that takes a class, model or service
	// away from workspaces that use it, or leaves a model or service without
	// an endpoint group.
	AllowStranding bool `toml:"allow_stranding,omitempty" json:"allow_stranding,omitempty"`
}

// Configuration holds all configuration objects at one revision. It is immutable:
// Apply and Replay return a new one.
type Configuration struct {
	Revision       uint64                   `json:"revision"`
	LastNumber     uint64                   `json:"last_number"`
	Classes        map[string]Class         `json:"classes"`
	Workspaces     map[string]Workspace     `json:"workspaces"`
	Models         map[string]Model         `json:"models"`
	Services       map[string]Service       `json:"services"`
	EndpointGroups map[string]EndpointGroup `json:"endpoint_groups"`
	Limits         map[string]Limit         `json:"limits"`
}

// NewConfiguration returns the empty configuration at revision 0.
func NewConfiguration() *Configuration {
	return &Configuration{
		Classes:        map[string]Class{},
		Workspaces:     map[string]Workspace{},
		Models:         map[string]Model{},
		Services:       map[string]Service{},
		EndpointGroups: map[string]EndpointGroup{},
		Limits:         map[string]Limit{},
	}
}
