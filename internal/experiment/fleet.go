package experiment

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

const headerTimeout = 10 * time.Second

// back is one stand-in with its listener.
type back struct {
	Name   string
	Group  string
	Kind   string
	Serves string
	Domain string
	Slots  int
	URL    string

	server  *http.Server
	records func() standin.Records
	fault   func(standin.Fault) error
}

// fleet is all stand-ins of a run.
type fleet struct{ backs []*back }

// startFleet starts the scenario's stand-ins on loopback.
func startFleet(s *Scenario) (*fleet, error) {
	f := &fleet{}
	for i := range s.Endpoints {
		for n := range s.Endpoints[i].Count {
			b := newBack(&s.Endpoints[i], n)
			if err := b.listen(); err != nil {
				f.close()
				return nil, err
			}
			f.backs = append(f.backs, b)
		}
	}
	return f, nil
}

// newBack makes the n-th stand-in of a set.
func newBack(e *Endpoint, n int) *back {
	b := &back{Name: e.name(n), Group: e.Group, Kind: e.Kind, Serves: e.Serves, Domain: e.domain(n), Slots: e.Slots}
	if e.Kind == kindService {
		service := standin.NewService(standin.ServiceConfig{
			Name: b.Name, Latency: time.Duration(e.Latency), Slots: e.Slots, LoadLag: time.Duration(e.LoadLag)})
		b.records, b.fault = service.Records, service.SetFault
		b.server = newServer(service.Handler())
		return b
	}
	engine := standin.NewEngine(standin.EngineConfig{
		Name: b.Name, Models: []string{e.Serves}, Slots: e.Slots,
		StepBase: time.Duration(e.StepBase), StepPerSequence: time.Duration(e.StepPer),
		PrefillPerByte: time.Duration(e.Prefill), LoadLag: time.Duration(e.LoadLag)})
	b.records, b.fault = engine.Records, engine.SetFault
	b.server = newServer(engine.Handler())
	return b
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
}

func (b *back) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for a stand-in")
	}
	b.URL = "http://" + listener.Addr().String()
	go func() { _ = b.server.Serve(listener) }()
	return nil
}

// close ends all listeners and connections.
func (f *fleet) close() {
	for _, b := range f.backs {
		_ = b.server.Close()
	}
}

// get gives a stand-in by name, nil if there is none.
func (f *fleet) get(name string) *back {
	for _, b := range f.backs {
		if b.Name == name {
			return b
		}
	}
	return nil
}

// EndpointRecords are the records of one stand-in with its place.
type EndpointRecords struct {
	Name    string
	Serves  string
	Engine  bool
	Records standin.Records
}

func (f *fleet) records() []EndpointRecords {
	var list []EndpointRecords
	for _, b := range f.backs {
		list = append(list, EndpointRecords{Name: b.Name, Serves: b.Serves, Engine: b.Kind == kindEngine, Records: b.records()})
	}
	return list
}

// EndpointError says that an endpoint is not there.
type EndpointError struct{ Name string }

// Error names the endpoint.
func (e *EndpointError) Error() string { return fmt.Sprintf("there is no endpoint %q", e.Name) }
