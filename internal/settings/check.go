package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Bounds of the settings.
const (
	maxBodyBound  = 64 << 20 // bytes
	maxSlotsBound = 4096
	maxName       = 64 // bytes
)

// Roles of an operator's token.
var tokenRoles = []string{"read", "submit", "drain"}

// checker gathers faults.
type checker struct {
	faults []Fault
}

// Check returns every fault of the settings.
func (s *Settings) Check() []Fault {
	c := &checker{}
	c.process(s)
	c.control(s)
	c.router(s)
	c.agents(s)
	c.directory(s)
	c.tls(s)
	c.schemes(s)
	c.listeners(s)
	return c.faults
}

// fail adds a fault.
func (c *checker) fail(key, problem string) {
	c.faults = append(c.faults, Fault{Key: key, Problem: problem})
}

// require adds a fault unless ok.
func (c *checker) require(ok bool, key, problem string) {
	if !ok {
		c.fail(key, problem)
	}
}

// name checks a name.
func (c *checker) name(key, value string) {
	c.require(value != "" && len(value) <= maxName, key, "must be 1 to "+strconv.Itoa(maxName)+" bytes")
	c.require(!strings.ContainsAny(value, " \t\r\n/\"\\"), key, "must not hold blanks, quotes or slashes")
}

// url checks a base URL.
func (c *checker) url(key, value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && (u.Path == "" || u.Path == "/")
	c.require(ok, key, "must be a base URL such as http://10.0.0.7:7300, not "+strconv.Quote(value))
}

// listen checks an address to listen on.
func (c *checker) listen(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.fail(key, "must be IP:PORT, not "+strconv.Quote(value))
		return
	}
	c.require(net.ParseIP(host) != nil, key, "must begin with an IP number, not "+strconv.Quote(host))
	n, err := strconv.Atoi(port)
	c.require(err == nil && n >= 0 && n <= 65535, key, "port must be 0 to 65535, not "+strconv.Quote(port))
}

func (c *checker) process(s *Settings) {
	c.name("process.name", s.Process.Name)
	c.name("process.host", s.Process.Host)
	c.name("process.failure_domain", s.Process.FailureDomain)
	levels := []string{"debug", "info", "warn", "error"}
	c.require(slices.Contains(levels, s.Process.LogLevel), "process.log_level", "must be one of "+strings.Join(levels, ", "))
	roles := s.Control != nil || s.Router != nil || len(s.Agents) > 0
	c.require(roles, "control, router, agent", "name at least one role")
}

func (c *checker) control(s *Settings) {
	if s.Control == nil {
		return
	}
	c.require(s.Process.DataFolder != "", "process.data_folder", "the control role needs a data folder")
	c.require(s.Control.ID > 0, "control.id", "must be 1 or more")
	c.name("control.cluster", s.Control.ClusterID)
	c.listen("control.listen", s.Control.Listen)
	c.url("control.url", s.Control.URL)
	c.require(len(s.Control.Members) > 0, "control.member", "list the initial members, this one included")
	seen := map[uint64]bool{}
	for i, m := range s.Control.Members {
		key := "control.member[" + strconv.Itoa(i) + "]"
		c.require(m.ID > 0 && !seen[m.ID], key+".id", "must be 1 or more, and each once")
		c.url(key+".url", m.URL)
		seen[m.ID] = true
	}
	c.require(!s.Control.Bootstrap || seen[s.Control.ID], "control.member", "a host that forms the cluster must be among its members")
	for i, t := range s.Control.Tokens {
		c.token("control.token["+strconv.Itoa(i)+"]", t)
	}
}

func (c *checker) token(key string, t Token) {
	c.name(key+".name", t.Name)
	hash, err := hex.DecodeString(t.Hash)
	c.require(err == nil && len(hash) == sha256.Size, key+".hash", "must be the SHA-256 of the token, 64 hex digits")
	c.require(len(t.Roles) > 0, key+".roles", "must name at least one of "+strings.Join(tokenRoles, ", "))
	for _, role := range t.Roles {
		c.require(slices.Contains(tokenRoles, role), key+".roles", strconv.Quote(role)+" is not one of "+strings.Join(tokenRoles, ", "))
	}
}

func (c *checker) router(s *Settings) {
	if s.Router == nil {
		return
	}
	c.listen("router.listen", s.Router.Listen)
	c.body("router.max_body_bytes", s.Router.MaxBody)
	c.require(s.Router.MaxConnections > 0, "router.max_connections", "must be 1 or more")
}

// body checks a bound on bodies.
func (c *checker) body(key string, value int64) {
	c.require(value > 0 && value <= maxBodyBound, key, "must be 1 to "+strconv.Itoa(maxBodyBound)+" bytes")
}

func (c *checker) agents(s *Settings) {
	seen := map[string]bool{}
	for i, a := range s.Agents {
		key := "agent[" + strconv.Itoa(i) + "]"
		c.name(key+".endpoint", a.Endpoint)
		c.require(!seen[a.Endpoint], key+".endpoint", "another agent has this name")
		seen[a.Endpoint] = true
		c.name(key+".group", a.Group)
		c.require(a.Kind == "engine" || a.Kind == "service", key+".kind", "must be engine or service, not "+strconv.Quote(a.Kind))
		c.listen(key+".listen", a.Listen)
		c.url(key+".url", a.URL)
		c.url(key+".endpoint_url", a.EndpointURL)
		c.require(len(a.Models) > 0, key+".models", "name what the endpoint serves")
		c.require(a.Slots >= 1 && a.Slots <= a.MaxSlots, key+".slots", "must be 1 to max_slots")
		c.require(a.MaxSlots <= maxSlotsBound, key+".max_slots", "must be at most "+strconv.Itoa(maxSlotsBound))
		c.body(key+".max_body_bytes", a.MaxBody)
	}
}

func (c *checker) directory(s *Settings) {
	needed := s.Router != nil || len(s.Agents) > 0
	c.require(!needed || len(s.Directory.ControlURLs) > 0, "directory.control_urls", "a router or agent needs at least one control URL")
	for i, u := range s.Directory.ControlURLs {
		c.url("directory.control_urls["+strconv.Itoa(i)+"]", u)
	}
}

func (c *checker) tls(s *Settings) {
	c.require((s.TLS.Certificate == "") == (s.TLS.Key == ""), "tls", "certificate and key go together")
	c.require(s.TLS.CA == "" || s.TLS.Certificate != "", "tls.ca", "needs certificate and key as well")
	for key, file := range map[string]string{"tls.certificate": s.TLS.Certificate, "tls.key": s.TLS.Key, "tls.ca": s.TLS.CA} {
		if file == "" {
			continue
		}
		if _, err := os.Stat(file); err != nil {
			c.fail(key, err.Error())
		}
	}
}

// schemes refuses URLs of processes that don't go with the TLS settings: a
// process speaks TLS to all others or to none.
func (c *checker) schemes(s *Settings) {
	scheme := "http"
	if s.TLS.Certificate != "" {
		scheme = "https"
	}
	check := func(key, value string) {
		u, err := url.Parse(value)
		other := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Scheme != scheme
		c.require(!other, key, "must begin with "+scheme+":// as [tls] is set up, not "+strconv.Quote(value))
	}
	if s.Control != nil {
		check("control.url", s.Control.URL)
		for i, m := range s.Control.Members {
			check("control.member["+strconv.Itoa(i)+"].url", m.URL)
		}
	}
	for i, a := range s.Agents {
		check("agent["+strconv.Itoa(i)+"].url", a.URL)
	}
	for i, u := range s.Directory.ControlURLs {
		check("directory.control_urls["+strconv.Itoa(i)+"]", u)
	}
}

// listeners refuses an unauthenticated listener off loopback. Callers are
// authenticated by their keys, so the router's listener needs a certificate only.
func (c *checker) listeners(s *Settings) {
	mutual := s.TLS.CA != ""
	if s.Control != nil {
		c.guarded("control.listen", s.Control.Listen, mutual, "a certificate and a CA")
	}
	for i, a := range s.Agents {
		c.guarded("agent["+strconv.Itoa(i)+"].listen", a.Listen, mutual, "a certificate and a CA")
	}
	if s.Router != nil {
		c.guarded("router.listen", s.Router.Listen, s.TLS.Certificate != "", "a certificate")
	}
	if s.Administration.Listen != "" {
		c.listen("administration.listen", s.Administration.Listen)
		c.guarded("administration.listen", s.Administration.Listen, mutual, "a certificate and a CA")
	}
}

// guarded refuses an address off loopback unless the listener is secured.
func (c *checker) guarded(key, address string, secured bool, needs string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || secured {
		return
	}
	ip := net.ParseIP(host)
	c.require(ip == nil || ip.IsLoopback(), key, "off loopback needs "+needs+" under [tls]")
}
