// Package settings reads the daemon's TOML file and checks all of it before
// anything starts.
package settings

import (
	"time"
)

// Duration is a length of time written with its unit, for example "5s".
type Duration time.Duration

// Settings are the whole file.
type Settings struct {
	Process        Process        `toml:"process"`
	Control        *Control       `toml:"control"`
	Router         *Router        `toml:"router"`
	Agents         []Agent        `toml:"agent"`
	Directory      Directory      `toml:"directory"`
	Administration Administration `toml:"administration"`
	TLS            TLS            `toml:"tls"`
}

// Process describes the process.
type Process struct {
	Name          string `toml:"name"`
	Host          string `toml:"host"`
	FailureDomain string `toml:"failure_domain"`
	// DataFolder holds the control role's files.
	DataFolder string `toml:"data_folder"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `toml:"log_level"`
	// StopTimeout bounds a planned stop.
	StopTimeout Duration `toml:"stop_timeout"`
}

// Control runs the control role.
type Control struct {
	ID        uint64   `toml:"id"`
	Listen    string   `toml:"listen"`
	ClusterID string   `toml:"cluster"`
	URL       string   `toml:"url"`
	Bootstrap bool     `toml:"bootstrap"`
	Members   []Member `toml:"member"`
	Tokens    []Token  `toml:"token"`
}

// Member is one initial voter.
type Member struct {
	ID  uint64 `toml:"id"`
	URL string `toml:"url"`
}

// Token is an operator's credential.
type Token struct {
	Name  string   `toml:"name"`
	Hash  string   `toml:"hash"`
	Roles []string `toml:"roles"`
}

// Router runs the router role.
type Router struct {
	Listen string `toml:"listen"`
	// MaxBody bounds a caller's body, in bytes.
	MaxBody int64 `toml:"max_body_bytes"`
	// MaxConnections bounds the callers' connections.
	MaxConnections int `toml:"max_connections"`
}

// Agent runs the agent of one endpoint.
type Agent struct {
	Endpoint    string   `toml:"endpoint"`
	Group       string   `toml:"group"`
	Kind        string   `toml:"kind"`
	Listen      string   `toml:"listen"`
	URL         string   `toml:"url"`
	EndpointURL string   `toml:"endpoint_url"`
	Models      []string `toml:"models"`
	// ChecksFence says that the engine refuses old fencing numbers itself.
	ChecksFence bool `toml:"checks_fence"`
	// Slots is the concurrency at the start, MaxSlots its bound.
	Slots    int   `toml:"slots"`
	MaxSlots int   `toml:"max_slots"`
	MaxBody  int64 `toml:"max_body_bytes"`
}

// Directory says where routers and agents find control.
type Directory struct {
	ControlURLs []string `toml:"control_urls"`
}

// Administration serves metrics, health and readiness.
type Administration struct {
	Listen string `toml:"listen"`
}

// TLS secures the connections between processes.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
}

// Defaults of keys that are left out.
const (
	defaultLogLevel       = "info"
	defaultStopTimeout    = Duration(2 * time.Minute)
	defaultMaxBody        = 4 << 20 // bytes
	defaultMaxConnections = 10_000
	defaultSlots          = 8
	defaultMaxSlots       = 256
	defaultCluster        = "trefoilkeel"
)

// fill sets the defaults.
func (s *Settings) fill() {
	setDefault(&s.Process.LogLevel, defaultLogLevel)
	setDefault(&s.Process.StopTimeout, defaultStopTimeout)
	if s.Control != nil {
		setDefault(&s.Control.ClusterID, defaultCluster)
	}
	if s.Router != nil {
		setDefault(&s.Router.MaxBody, defaultMaxBody)
		setDefault(&s.Router.MaxConnections, defaultMaxConnections)
	}
	for i := range s.Agents {
		setDefault(&s.Agents[i].Slots, defaultSlots)
		setDefault(&s.Agents[i].MaxSlots, defaultMaxSlots)
		setDefault(&s.Agents[i].MaxBody, defaultMaxBody)
	}
}

// setDefault fills a zero value.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
