// Command driver shows case 7: check-ins of another writer, which name a service that nobody knows, take sound
// workers at the same addresses out of use for good.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/trefoilkeel/trefoilkeel/review/lab2"
)

const (
	program     = "target/trefoilkeeld"
	configBound = 2 * time.Second // config-ms
	watchTime   = 15 * time.Second
	minRequests = 20 // on routes that were added later, by the rule
)

// config returns a configuration, with the route that is added later or without it.
func config(version int, added bool) string {
	route := func(name, prefix, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":"app.example","path-prefix":%q,"kind":"idempotent","timeout-ms":1200,"target-latency-ms":150,"priority":2,`+
			`"service":%q,"max-attempts":2,"auth-exempt":false,"session-affinity":false,"resumable":false}`, name, prefix, service)
	}
	routes := route("r1", "/first/", "app")
	if added {
		routes += "," + route("r2", "/added/", "new")
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],`+
		`"services":[{"name":"app","health-path":"/health","max-conns":110,"protocol":"h1","tls":false},{"name":"new","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},`+
		`"tenants":[{"name":"club","api-keys":["k1"],"priority":1}]}`, version, routes)
}

// share counts the requests on a route and those that were served.
type share struct{ asked, served int }

func (s share) fraction() float64 { return float64(s.served) / float64(max(s.asked, 1)) }

func main() {
	first, added, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err == nil && (added.asked < minRequests || first.served == 0) {
		err = fmt.Errorf("too few requests: %+v %+v", first, added)
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
	fmt.Printf("first route: %d of %d served; added route: %d of %d\n", first.served, first.asked, added.served, added.asked)
	if added.fraction() < first.fraction()/4 {
		fmt.Println("CONFIG broken: the added route is served less than a quarter as often as the first one")
		os.Exit(1)
	}
	fmt.Println("CONFIG held")
}

func run(record string, trouble bool) (first, added share, err error) {
	lab, err := lab2.New(lab2.Options{Binary: program, Record: record})
	if err != nil {
		return first, added, err
	}
	defer lab.Close()
	if err := lab.StartAll(); err != nil {
		return first, added, err
	}
	var affected []*lab2.Worker
	for i, service := range []string{"app", "app", "app", "new", "new", "new"} {
		w, err := lab.StartWorker(i, fmt.Sprintf("i-%s-%d", service, i), service)
		if err != nil {
			return first, added, err
		}
		defer w.Exit()
		if service == "new" {
			affected = append(affected, w)
		}
	}
	if err := lab.PutConfig(config(1, false), 30*time.Second); err != nil {
		return first, added, err
	}
	if err := lab.AwaitReady(20 * time.Second); err != nil {
		return first, added, err
	}
	time.Sleep(2 * lab2.Stability)
	if err := lab.PutConfig(config(2, true), 10*time.Second); err != nil {
		return first, added, err
	}
	time.Sleep(configBound + time.Second)
	if trouble {
		for i, w := range affected {
			odd := &lab2.Worker{ID: fmt.Sprintf("x-%d", i), Service: "unknown-7", Zone: w.Zone, Address: w.Address, Born: w.Born}
			odd.Attach(lab)
			body := odd.Report("ready")
			m := odd.Send("heartbeat", body)
			lab.Record("another writer: a check-in of %s, acknowledged %v: %s", odd.ID, m != nil, body)
		}
		time.Sleep(time.Second)
	}
	stop, group := make(chan struct{}), &sync.WaitGroup{}
	count := func(s *share) func(lab2.Answer) {
		return func(a lab2.Answer) {
			s.asked++
			if a.Status == 200 && strings.HasPrefix(a.Body, a.Request+" by ") {
				s.served++
			}
		}
	}
	lab.Consume(lab2.Target{Host: "app.example", Path: "/first/1", Key: "k1"}, lab.Machines, 50*time.Millisecond, stop, group, count(&first))
	lab.Consume(lab2.Target{Host: "app.example", Path: "/added/1", Key: "k1"}, lab.Machines, 50*time.Millisecond, stop, group, count(&added))
	time.Sleep(watchTime)
	close(stop)
	group.Wait()
	lab.Record("result: first route %+v, added route %+v", first, added)
	return first, added, nil
}
