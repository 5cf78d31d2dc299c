package experiment

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

const readHeaderTimeout = 10 * time.Second

// standinServer is one stand-in endpoint and its HTTP server.
type standinServer struct {
	Name          string
	Group         string
	Kind          string
	Serves        string
	FailureDomain string
	Slots         int
	URL           string

	server      *http.Server
	records     func() standin.Records
	injectFault func(standin.Fault) error
}

// standinServers holds all stand-ins of a run.
type standinServers struct{ servers []*standinServer }

// startStandins starts the scenario's stand-ins on loopback.
func startStandins(s *Scenario) (*standinServers, error) {
	standins := &standinServers{}
	for i := range s.EndpointSets {
		for n := range s.EndpointSets[i].Count {
			server := newStandinServer(&s.EndpointSets[i], n)
			if err := server.listen(); err != nil {
				standins.close()
				return nil, err
			}
			standins.servers = append(standins.servers, server)
		}
	}
	return standins, nil
}

// newStandinServer returns the n-th stand-in of a set, not yet listening.
func newStandinServer(e *EndpointSet, n int) *standinServer {
	s := &standinServer{Name: e.endpointName(n), Group: e.Group, Kind: e.Kind, Serves: e.Serves, FailureDomain: e.endpointDomain(n), Slots: e.Slots}
	if e.Kind == kindService {
		service := standin.NewService(standin.ServiceConfig{
			Name: s.Name, Latency: time.Duration(e.ServiceLatency), Slots: e.Slots, LoadLag: time.Duration(e.LoadLag)})
		s.records, s.injectFault = service.Records, service.InjectFault
		s.server = newHTTPServer(service.Handler())
		return s
	}
	engine := standin.NewEngine(standin.EngineConfig{
		Name: s.Name, Models: []string{e.Serves}, Slots: e.Slots,
		StepBase: time.Duration(e.StepBase), StepPerSequence: time.Duration(e.StepPerSequence),
		PrefillPerByte: time.Duration(e.PrefillPerByte), LoadLag: time.Duration(e.LoadLag)})
	s.records, s.injectFault = engine.Records, engine.InjectFault
	s.server = newHTTPServer(engine.Handler())
	return s
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}

func (s *standinServer) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for a stand-in")
	}
	s.URL = "http://" + listener.Addr().String()
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// close closes all listeners and connections.
func (s *standinServers) close() {
	for _, server := range s.servers {
		_ = server.server.Close()
	}
}

// byName returns the stand-in of a name, or nil.
func (s *standinServers) byName(name string) *standinServer {
	for _, server := range s.servers {
		if server.Name == name {
			return server
		}
	}
	return nil
}

// EndpointRecords holds the records of one stand-in and what it serves.
type EndpointRecords struct {
	Name     string
	Serves   string
	IsEngine bool
	Records  standin.Records
}

func (s *standinServers) records() []EndpointRecords {
	var list []EndpointRecords
	for _, server := range s.servers {
		list = append(list, EndpointRecords{Name: server.Name, Serves: server.Serves, IsEngine: server.Kind == kindEngine, Records: server.records()})
	}
	return list
}

// EndpointError reports that no endpoint has the name.
type EndpointError struct{ Name string }

// Error includes the name.
func (e *EndpointError) Error() string { return fmt.Sprintf("there is no endpoint %q", e.Name) }
