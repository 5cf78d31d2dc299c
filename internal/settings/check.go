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

// Limits of the settings.
const (
	maxBodyBytesLimit = 64 << 20
	maxSlotsLimit     = 4096
	maxNameBytes      = 64
	// minHeadMemoryBytes lets the longest head that a router accepts, made of the shortest lines, be served.
	minHeadMemoryBytes   = 8 << 20
	minAnswerMemoryBytes = 8 << 20
)

// tokenRoles are the roles that an operator's token may have.
var tokenRoles = []string{"read", "submit", "drain"}

// checker collects faults.
type checker struct {
	faults []Fault
}

// Check returns every fault of the settings, or nil if they are valid.
func (s *Settings) Check() []Fault {
	c := &checker{}
	c.checkProcess(s)
	c.checkControl(s)
	c.checkRouter(s)
	c.checkAgents(s)
	c.checkDirectory(s)
	c.checkTLS(s)
	c.checkURLSchemes(s)
	c.checkListeners(s)
	return c.faults
}

func (c *checker) addFault(key, problem string) {
	c.faults = append(c.faults, Fault{Key: key, Problem: problem})
}

// require adds a fault unless ok is true.
func (c *checker) require(ok bool, key, problem string) {
	if !ok {
		c.addFault(key, problem)
	}
}

// checkName checks a name for length and forbidden characters.
func (c *checker) checkName(key, value string) {
	c.require(value != "" && len(value) <= maxNameBytes, key, "must be 1 to "+strconv.Itoa(maxNameBytes)+" bytes")
	c.require(!strings.ContainsAny(value, " \t\r\n/\"\\"), key, "must not hold blanks, quotes or slashes")
}

// checkBaseURL checks that a value is an HTTP URL without a path.
func (c *checker) checkBaseURL(key, value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && (u.Path == "" || u.Path == "/")
	c.require(ok, key, "must be a base URL such as http://10.0.0.7:7300, not "+strconv.Quote(value))
}

// checkListenAddress checks that a value is of the form IP:PORT.
func (c *checker) checkListenAddress(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.addFault(key, "must be IP:PORT, not "+strconv.Quote(value))
		return
	}
	c.require(net.ParseIP(host) != nil, key, "must begin with an IP number, not "+strconv.Quote(host))
	n, err := strconv.Atoi(port)
	c.require(err == nil && n >= 0 && n <= 65535, key, "port must be 0 to 65535, not "+strconv.Quote(port))
}

func (c *checker) checkProcess(s *Settings) {
	c.checkName("process.name", s.Process.Name)
	c.checkName("process.host", s.Process.Host)
	c.checkName("process.failure_domain", s.Process.FailureDomain)
	levels := []string{"debug", "info", "warn", "error"}
	c.require(slices.Contains(levels, s.Process.LogLevel), "process.log_level", "must be one of "+strings.Join(levels, ", "))
	hasRole := s.Control != nil || s.Router != nil || len(s.Agents) > 0
	c.require(hasRole, "control, router, agent", "name at least one role")
}

func (c *checker) checkControl(s *Settings) {
	if s.Control == nil {
		return
	}
	c.require(s.Process.DataFolder != "", "process.data_folder", "the control role needs a data folder")
	c.require(s.Control.ID > 0, "control.id", "must be 1 or more")
	c.checkName("control.cluster", s.Control.ClusterID)
	c.checkListenAddress("control.listen", s.Control.Listen)
	c.checkBaseURL("control.url", s.Control.URL)
	c.require(len(s.Control.InitialMembers) > 0, "control.member", "list the initial members, this one included")
	seenIDs := map[uint64]bool{}
	for i, m := range s.Control.InitialMembers {
		key := "control.member[" + strconv.Itoa(i) + "]"
		c.require(m.ID > 0 && !seenIDs[m.ID], key+".id", "must be 1 or more, and each once")
		c.checkBaseURL(key+".url", m.URL)
		seenIDs[m.ID] = true
	}
	c.require(!s.Control.Bootstrap || seenIDs[s.Control.ID], "control.member", "a host that forms the cluster must be among its members")
	for i, t := range s.Control.Tokens {
		c.checkToken("control.token["+strconv.Itoa(i)+"]", t)
	}
}

func (c *checker) checkToken(key string, t Token) {
	c.checkName(key+".name", t.Name)
	hash, err := hex.DecodeString(t.SHA256Hex)
	c.require(err == nil && len(hash) == sha256.Size, key+".hash", "must be the SHA-256 of the token, 64 hex digits")
	c.require(len(t.Roles) > 0, key+".roles", "must name at least one of "+strings.Join(tokenRoles, ", "))
	for _, role := range t.Roles {
		c.require(slices.Contains(tokenRoles, role), key+".roles", strconv.Quote(role)+" is not one of "+strings.Join(tokenRoles, ", "))
	}
}

func (c *checker) checkRouter(s *Settings) {
	if s.Router == nil {
		return
	}
	c.checkListenAddress("router.listen", s.Router.Listen)
	c.checkMaxBodyBytes("router.max_body_bytes", s.Router.MaxBodyBytes)
	c.require(s.Router.MaxConnections > 0, "router.max_connections", "must be 1 or more")
	c.require(s.Router.MaxHeadMemoryBytes >= minHeadMemoryBytes, "router.max_head_memory_bytes", "must be 8388608 or more")
	c.checkAnswerMemory("router.max_answer_memory_bytes", s.Router.MaxAnswerMemoryBytes)
}

// checkAnswerMemory checks a limit on the memory of answers.
func (c *checker) checkAnswerMemory(key string, value int64) {
	c.require(value >= minAnswerMemoryBytes, key, "must be "+strconv.Itoa(minAnswerMemoryBytes)+" or more")
}

// checkMaxBodyBytes checks a limit on the size of request bodies.
func (c *checker) checkMaxBodyBytes(key string, value int64) {
	c.require(value > 0 && value <= maxBodyBytesLimit, key, "must be 1 to "+strconv.Itoa(maxBodyBytesLimit)+" bytes")
}

func (c *checker) checkAgents(s *Settings) {
	seenEndpoints := map[string]bool{}
	for i, a := range s.Agents {
		key := "agent[" + strconv.Itoa(i) + "]"
		c.checkName(key+".endpoint", a.Endpoint)
		c.require(!seenEndpoints[a.Endpoint], key+".endpoint", "another agent has this name")
		seenEndpoints[a.Endpoint] = true
		c.checkName(key+".group", a.Group)
		c.require(a.Kind == "engine" || a.Kind == "service", key+".kind", "must be engine or service, not "+strconv.Quote(a.Kind))
		c.checkListenAddress(key+".listen", a.Listen)
		c.checkBaseURL(key+".url", a.URL)
		c.checkBaseURL(key+".endpoint_url", a.EndpointURL)
		c.require(len(a.Models) > 0, key+".models", "name what the endpoint serves")
		c.require(a.InitialSlots >= 1 && a.InitialSlots <= a.MaxSlots, key+".slots", "must be 1 to max_slots")
		c.require(a.MaxSlots <= maxSlotsLimit, key+".max_slots", "must be at most "+strconv.Itoa(maxSlotsLimit))
		c.checkMaxBodyBytes(key+".max_body_bytes", a.MaxBodyBytes)
		c.checkAnswerMemory(key+".max_answer_memory_bytes", a.MaxAnswerMemoryBytes)
	}
}

func (c *checker) checkDirectory(s *Settings) {
	required := s.Router != nil || len(s.Agents) > 0
	c.require(!required || len(s.Directory.ControlURLs) > 0, "directory.control_urls", "a router or agent needs at least one control URL")
	for i, u := range s.Directory.ControlURLs {
		c.checkBaseURL("directory.control_urls["+strconv.Itoa(i)+"]", u)
	}
}

func (c *checker) checkTLS(s *Settings) {
	c.require((s.TLS.Certificate == "") == (s.TLS.Key == ""), "tls", "certificate and key go together")
	c.require(s.TLS.CA == "" || s.TLS.Certificate != "", "tls.ca", "needs certificate and key as well")
	for key, file := range map[string]string{"tls.certificate": s.TLS.Certificate, "tls.key": s.TLS.Key, "tls.ca": s.TLS.CA} {
		if file == "" {
			continue
		}
		if _, err := os.Stat(file); err != nil {
			c.addFault(key, err.Error())
		}
	}
}

// checkURLSchemes refuses http URLs of processes if TLS is configured, and https URLs
// if it is not: a process uses TLS with all other processes or with none.
func (c *checker) checkURLSchemes(s *Settings) {
	scheme := "http"
	if s.TLS.Certificate != "" {
		scheme = "https"
	}
	checkScheme := func(key, value string) {
		u, err := url.Parse(value)
		mismatched := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Scheme != scheme
		c.require(!mismatched, key, "must begin with "+scheme+":// as [tls] is set up, not "+strconv.Quote(value))
	}
	if s.Control != nil {
		checkScheme("control.url", s.Control.URL)
		for i, m := range s.Control.InitialMembers {
			checkScheme("control.member["+strconv.Itoa(i)+"].url", m.URL)
		}
	}
	for i, a := range s.Agents {
		checkScheme("agent["+strconv.Itoa(i)+"].url", a.URL)
	}
	for i, u := range s.Directory.ControlURLs {
		checkScheme("directory.control_urls["+strconv.Itoa(i)+"]", u)
	}
}

// checkListeners refuses listeners outside loopback that do not authenticate their
// peers. Callers are authenticated by their keys, so the router's listener needs a
// certificate but no CA.
func (c *checker) checkListeners(s *Settings) {
	mutualTLS := s.TLS.CA != ""
	if s.Control != nil {
		c.requireLoopbackUnlessSecured("control.listen", s.Control.Listen, mutualTLS, "a certificate and a CA")
	}
	for i, a := range s.Agents {
		c.requireLoopbackUnlessSecured("agent["+strconv.Itoa(i)+"].listen", a.Listen, mutualTLS, "a certificate and a CA")
	}
	if s.Router != nil {
		c.requireLoopbackUnlessSecured("router.listen", s.Router.Listen, s.TLS.Certificate != "", "a certificate")
	}
	if s.Administration.Listen != "" {
		c.checkListenAddress("administration.listen", s.Administration.Listen)
		c.requireLoopbackUnlessSecured("administration.listen", s.Administration.Listen, mutualTLS, "a certificate and a CA")
	}
}

// requireLoopbackUnlessSecured refuses an address outside loopback unless the
// listener is secured.
func (c *checker) requireLoopbackUnlessSecured(key, address string, secured bool, requirement string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || secured {
		return
	}
	ip := net.ParseIP(host)
	c.require(ip == nil || ip.IsLoopback(), key, "off loopback needs "+requirement+" under [tls]")
}
