// Package settings reads the daemon's TOML settings file and checks all of it
// before any role starts.
package settings

import (
	"time"
)

// Duration is a duration that the file writes with its unit, for example "5s".
type Duration time.Duration

// Settings are the contents of a settings file. A role that has no section does not
// run.
type Settings struct {
	Process        Process        `toml:"process"`
	Control        *Control       `toml:"control"`
	Router         *Router        `toml:"router"`
	Agents         []Agent        `toml:"agent"`
	Directory      Directory      `toml:"directory"`
	Administration Administration `toml:"administration"`
	TLS            TLS            `toml:"tls"`
}

// Process holds what all roles of the process have in common.
type Process struct {
	Name          string `toml:"name"`
	Host          string `toml:"host"`
	FailureDomain string `toml:"failure_domain"`
	// DataFolder is where the control role keeps its files.
	DataFolder string `toml:"data_folder"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `toml:"log_level"`
	// StopTimeout bounds a graceful shutdown.
	StopTimeout Duration `toml:"stop_timeout"`
}

// Control configures the control role.
type Control struct {
	ID             uint64   `toml:"id"`
	Listen         string   `toml:"listen"`
	ClusterID      string   `toml:"cluster"`
	URL            string   `toml:"url"`
	Bootstrap      bool     `toml:"bootstrap"`
	InitialMembers []Member `toml:"member"`
	Tokens         []Token  `toml:"token"`
}

// Member is a voter of the cluster when it is formed.
type Member struct {
	ID  uint64 `toml:"id"`
	URL string `toml:"url"`
}

// Token is an operator's credential. The file holds only the token's SHA-256.
type Token struct {
	Name      string   `toml:"name"`
	SHA256Hex string   `toml:"hash"`
	Roles     []string `toml:"roles"`
}

// Router configures the router role.
type Router struct {
	Listen string `toml:"listen"`
	// MaxBodyBytes bounds the body of a caller's request, in bytes.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxConnections bounds the number of callers' connections.
	MaxConnections int `toml:"max_connections"`
	// MaxHeadMemoryBytes bounds the memory that the heads of callers' open requests take together, in bytes.
	MaxHeadMemoryBytes int64 `toml:"max_head_memory_bytes"`
	// MaxAnswerMemoryBytes bounds the memory that long answers take together, in bytes.
	MaxAnswerMemoryBytes int64 `toml:"max_answer_memory_bytes"`
}

// Agent configures the agent of one endpoint.
type Agent struct {
	Endpoint    string   `toml:"endpoint"`
	Group       string   `toml:"group"`
	Kind        string   `toml:"kind"`
	Listen      string   `toml:"listen"`
	URL         string   `toml:"url"`
	EndpointURL string   `toml:"endpoint_url"`
	Models      []string `toml:"models"`
	// ChecksFence says that the engine itself rejects requests with stale fencing tokens.
	ChecksFence bool `toml:"checks_fence"`
	// InitialSlots is the initial number of concurrent requests, MaxSlots its upper bound.
	InitialSlots int   `toml:"slots"`
	MaxSlots     int   `toml:"max_slots"`
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxAnswerMemoryBytes bounds the memory that long answers of protected requests take together while they are read, and
	// that of all answers kept for repeats, each, in bytes.
	MaxAnswerMemoryBytes int64 `toml:"max_answer_memory_bytes"`
}

// Directory lists the control hosts that routers and agents connect to.
type Directory struct {
	ControlURLs []string `toml:"control_urls"`
}

// Administration configures the listener for metrics, health and readiness.
type Administration struct {
	Listen string `toml:"listen"`
}

// TLS names the files that secure the connections between processes.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
}

// Defaults of keys that the file leaves out.
const (
	defaultLogLevel       = "info"
	defaultStopTimeout    = Duration(2 * time.Minute)
	defaultMaxBodyBytes   = 4 << 20
	defaultMaxConnections = 10_000
	defaultMaxHeadMemory  = 64 << 20
	defaultRouterAnswers  = 64 << 20
	defaultAgentAnswers   = 32 << 20
	defaultSlots          = 8
	defaultMaxSlots       = 256
	defaultClusterID      = "trefoilkeel"
)

// applyDefaults sets every zero value that has a default.
func (s *Settings) applyDefaults() {
	setDefault(&s.Process.LogLevel, defaultLogLevel)
	setDefault(&s.Process.StopTimeout, defaultStopTimeout)
	if s.Control != nil {
		setDefault(&s.Control.ClusterID, defaultClusterID)
	}
	if s.Router != nil {
		setDefault(&s.Router.MaxBodyBytes, defaultMaxBodyBytes)
		setDefault(&s.Router.MaxConnections, defaultMaxConnections)
		setDefault(&s.Router.MaxHeadMemoryBytes, defaultMaxHeadMemory)
		setDefault(&s.Router.MaxAnswerMemoryBytes, defaultRouterAnswers)
	}
	for i := range s.Agents {
		setDefault(&s.Agents[i].InitialSlots, defaultSlots)
		setDefault(&s.Agents[i].MaxSlots, defaultMaxSlots)
		setDefault(&s.Agents[i].MaxBodyBytes, defaultMaxBodyBytes)
		setDefault(&s.Agents[i].MaxAnswerMemoryBytes, defaultAgentAnswers)
	}
}

// setDefault sets *value to the default if it is zero.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
