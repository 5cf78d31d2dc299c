// Command driver shows case 8: after the open channels between machines have gone silent, an entry on a machine
// without a control host obeys an old configuration for longer than the bound, because it tries its idle channels
// to the control hosts one after the other.
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
	program = "target/trefoilkeeld"
	// streams is how many consumers follow a stream through the entry that is killed.
	streams     = 24
	configBound = 2 * time.Second // config-ms
	margin      = 300 * time.Millisecond
)

// config returns a configuration that sends the lookups to a service.
func config(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r1","host":"app.example","path-prefix":"/look/","kind":"idempotent","timeout-ms":1200,"target-latency-ms":150,"priority":2,`+
		`"service":%q,"max-attempts":2,"auth-exempt":false,"session-affinity":false,"resumable":false},`+
		`{"name":"r2","host":"app.example","path-prefix":%q,"kind":"streaming","timeout-ms":12000,"target-latency-ms":250,"priority":0,`+
		`"service":"text","max-attempts":2,"auth-exempt":false,"session-affinity":false,"resumable":true,"gap-aim-ms":150}],`+
		`"services":[{"name":"app","health-path":"/health","max-conns":110,"protocol":"h1","tls":false},{"name":"new","health-path":"/health","max-conns":110,"protocol":"h1","tls":false},`+
		`{"name":"text","health-path":"/health","max-conns":370,"protocol":"h1","tls":false}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},`+
		`"tenants":[{"name":"club","api-keys":["k1"],"priority":1}]}`, version, service, lab2.StreamPrefix)
}

func main() {
	broken, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken > 0:
		fmt.Printf("CONFIG broken: %d requests were run as only the old configuration allows\n", broken)
		os.Exit(1)
	}
	fmt.Println("CONFIG held")
}

// run returns how many requests broke the rule.
func run(record string, trouble bool) (broken int, err error) {
	lab, err := lab2.New(lab2.Options{Binary: program, Record: record, Relay: true})
	if err != nil {
		return 0, err
	}
	defer lab.Close()
	if err := lab.StartAll(); err != nil {
		return 0, err
	}
	for i, service := range []string{"app", "app", "app", "new", "new", "new", "text", "text", "text"} {
		w, err := lab.StartWorker(i, fmt.Sprintf("i-%s-%d", service, i), service)
		if err != nil {
			return 0, err
		}
		defer w.Exit()
	}
	if err := lab.PutConfig(config(1, "app"), 30*time.Second); err != nil {
		return 0, err
	}
	if err := lab.AwaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(2 * lab2.Stability)

	// The machines of the first zone: the last one has an entry and no control host.
	killed, other, judged := lab.Machines[0], lab.Machines[1], lab.Machines[2]
	if trouble {
		followers := &sync.WaitGroup{}
		for i := range streams {
			next := []*lab2.Machine{killed, judged, other}
			if i%2 == 0 {
				next = []*lab2.Machine{killed, other, judged}
			}
			followers.Go(func() { lab.Follow(lab2.Target{Host: "app.example", Path: lab2.StreamPrefix + "1", Key: "k1"}, next) })
		}
		time.Sleep(time.Second)
		if err := killed.KillEntry(); err != nil {
			return 0, err
		}
		followers.Wait()
		time.Sleep(10 * time.Second)
		lab.Silence()
	}
	var answers []lab2.Answer
	stop, group := make(chan struct{}), &sync.WaitGroup{}
	lab.Consume(lab2.Target{Host: "app.example", Path: "/look/1", Key: "k1"}, lab.Machines, 20*time.Millisecond, stop, group,
		func(a lab2.Answer) { answers = append(answers, a) })
	time.Sleep(lab2.Stability + margin)
	if err := lab.PutConfig(config(2, "new"), 10*time.Second); err != nil {
		close(stop)
		group.Wait()
		return 0, err
	}
	acknowledged := time.Now()
	time.Sleep(configBound + 8*time.Second)
	close(stop)
	group.Wait()
	judgedFrom := acknowledged.Add(configBound + margin)
	lab.Record("judged: requests sent from %.3f s on", judgedFrom.Sub(lab.Started).Seconds())
	byMachine := map[string]int{}
	served := 0
	for _, a := range answers {
		switch {
		case a.SentAt.Before(judgedFrom) || a.Status != 200:
		case strings.Contains(a.Body, "by i-app-"):
			broken++
			byMachine[a.Machine.Name]++
		default:
			served++
		}
	}
	lab.Record("result: %d requests ran at the old service, by machine %v; %d at the new one", broken, byMachine, served)
	fmt.Printf("%d requests at the old service, by machine %v; %d at the new one; judged machine %s\n", broken, byMachine, served, judged.Name)
	if served+broken == 0 {
		return 0, fmt.Errorf("no request was served in the time that is judged")
	}
	return broken, nil
}
