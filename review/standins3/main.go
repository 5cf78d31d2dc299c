// Program standins3 plays the platform, the operator, consumers and workers for the scripts of the third review, and
// starts the project's own programs beside them. Its argument names the case.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"
)

type object = map[string]any

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts, by the name of the folder.
var cases = map[string]func(rec *record, bin string, trouble bool) (broken int, err error){"encoded-slash": encodedSlash, "silent-snapshot": silentSnapshot}

func main() {
	bin := flag.String("bin", "target", "folder of the project's programs")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(runCase(*bin, *out, flag.Arg(0)))
}

// runCase runs a case and returns the exit code.
func runCase(bin, out, name string) int {
	play := cases[name]
	f, err := os.Create(out)
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return exitNotRun
	}
	defer f.Close()
	rec := &record{out: io.MultiWriter(f), start: time.Now()}
	broken, err := play(rec, bin, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.line("could not run: %v", err)
		return exitNotRun
	case broken > 0:
		rec.line("BROKEN: %d times", broken)
		return exitBroken
	}
	rec.line("held")
	return exitHeld
}

// config returns a configuration as the operator sends it.
func config(version int, routes []object, services ...string) []byte {
	var listed []object
	for _, s := range services {
		listed = append(listed, object{"name": s, "health-path": "/health", "max-conns": 130, "protocol": "h1", "tls": false})
	}
	b, _ := json.Marshal(object{"version": version, "routes": routes, "services": listed,
		"limits":  object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []object{{"name": "t1", "api-keys": []string{"k1"}, "priority": 1}}})
	return b
}

func route(name, prefix, kind, service string, attempts int) object {
	return object{"name": name, "host": "h.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 1500, "target-latency-ms": 200, "priority": 1, "service": service,
		"max-attempts": attempts, "auth-exempt": false, "session-affinity": false, "resumable": false}
}

// notReadyError reports that the deployment did not come up.
type notReadyError struct{}

func (notReadyError) Error() string { return "the deployment is not ready" }

// deploy starts a deployment of three machines, three workers of each service, and puts the configuration.
func deploy(rec *record, bin string, content []byte, services ...string) (*deployment, []*worker, error) {
	d, err := newDeployment(rec, bin, 3, 1)
	if err != nil {
		return nil, nil, err
	}
	if err := d.startAll(); err != nil {
		d.stopAll()
		return nil, nil, err
	}
	var workers []*worker
	for s, service := range services {
		started, err := d.addWorkers(service, 100+s)
		if err != nil {
			d.stopAll()
			return nil, nil, err
		}
		workers = append(workers, started...)
	}
	if d.put(content, 20*time.Second) != 200 || !d.awaitReady(15*time.Second) {
		d.stopAll()
		return nil, nil, notReadyError{}
	}
	return d, workers, nil
}

// addWorkers starts a worker of a service beside each machine, with the last number of its address.
func (d *deployment) addWorkers(service string, last int) (workers []*worker, err error) {
	for k, m := range d.machines {
		w, err := newWorker(d, fmt.Sprintf("i-%s-%d", service, k), service, m.zone, fmt.Sprintf("%s.%d.%d", d.net, k+1, last), 9100)
		if err != nil {
			return nil, err
		}
		go w.run(k)
		workers = append(workers, w)
	}
	return workers, nil
}
