// Command driver shows case 9: a worker's departure that was acknowledged is forgotten when all processes are
// killed at the same moment, and a check-in from before makes the worker take requests again.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/trefoilkeel/trefoilkeel/review/lab2"
)

const (
	program = "target/trefoilkeeld"
	// checkInDelay is how late the last check-in of the leaving worker arrives.
	checkInDelay = 3500 * time.Millisecond
	// serveAfterDrain is how long after drain-ms the leaving worker still serves.
	serveAfterDrain = 12 * time.Second
	// touchMargin is added to the time from which machines count as in touch again.
	touchMargin = 500 * time.Millisecond

	config = `{"version":1,"routes":[{"name":"r1","host":"app.example","path-prefix":"/look/","kind":"idempotent","timeout-ms":1200,"target-latency-ms":150,"priority":2,` +
		`"service":"app","max-attempts":2,"auth-exempt":false,"session-affinity":false,"resumable":false}],` +
		`"services":[{"name":"app","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}],` +
		`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},` +
		`"tenants":[{"name":"club","api-keys":["k1"],"priority":1}]}`
)

func main() {
	broken, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken > 0:
		fmt.Printf("DRAIN broken: %d requests reached the worker that had left\n", broken)
		os.Exit(1)
	}
	fmt.Println("DRAIN held")
}

// run returns how many requests broke the rule.
func run(record string, trouble bool) (broken int, err error) {
	lab, err := lab2.New(lab2.Options{Binary: program, Record: record})
	if err != nil {
		return 0, err
	}
	defer lab.Close()
	if err := lab.StartAll(); err != nil {
		return 0, err
	}
	var workers []*lab2.Worker
	for i, id := range []string{"i-1a", "i-2b", "i-3c"} {
		w, err := lab.StartWorker(i, id, "app")
		if err != nil {
			return 0, err
		}
		defer w.Exit()
		workers = append(workers, w)
	}
	if err := lab.PutConfig(config, 30*time.Second); err != nil {
		return 0, err
	}
	if err := lab.AwaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(2*lab2.Stability + touchMargin)
	stop, group := make(chan struct{}), &sync.WaitGroup{}
	lab.Consume(lab2.Target{Host: "app.example", Path: "/look/1", Key: "k1"}, lab.Machines, 25*time.Millisecond, stop, group, func(lab2.Answer) {})
	defer group.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second)

	leaving := workers[0]
	leaving.StopReports()
	late := leaving.Report("ready")
	lab.Record("worker %s: sends a check-in that will be late: %s", leaving.ID, late)
	group.Go(func() {
		time.Sleep(checkInDelay)
		if m := leaving.Send("heartbeat", late); m != nil {
			lab.Record("worker %s: the late check-in has reached %s", leaving.ID, m.Name)
		}
	})
	time.Sleep(300 * time.Millisecond)
	m := leaving.Send("deregister", fmt.Sprintf(`{"born":%d}`, leaving.Born))
	if m == nil {
		return 0, fmt.Errorf("the deregistration was not acknowledged")
	}
	acknowledged := time.Now()
	lab.Record("worker %s: its deregistration is acknowledged by %s", leaving.ID, m.Name)
	judgedFrom := acknowledged.Add(lab2.Drain)
	if trouble {
		if err := lab.KillAll(); err != nil {
			return 0, err
		}
		// Twice the window: the kill took most of the core.
		judgedFrom = time.Now().Add(2*lab2.Stability + touchMargin)
	}
	time.Sleep(time.Until(acknowledged.Add(lab2.Drain + serveAfterDrain)))
	lab.Record("judged: runs at worker %s from %.3f s on", leaving.ID, judgedFrom.Sub(lab.Started).Seconds())
	for _, r := range leaving.Runs() {
		if r.At.After(judgedFrom) {
			broken++
		}
	}
	others := 0
	for _, w := range workers[1:] {
		for _, r := range w.Runs() {
			if r.At.After(judgedFrom) {
				others++
			}
		}
	}
	lab.Record("result: %d runs at worker %s, %d at the others", broken, leaving.ID, others)
	if others == 0 {
		return 0, fmt.Errorf("no request was served in the time that is judged")
	}
	return broken, nil
}
