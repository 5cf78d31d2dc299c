// Command review-standin plays the scripted cases of the review: it starts a small deployment of
// the project's own programs on loopback addresses and stands in for its platform, operator,
// endpoints and callers.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports of every machine, and bounds of the settings.
const (
	callerPort    = 8227
	readinessPort = 8220
	controlPort   = 8229
	internalPort  = 7340
	drainTime     = 2 * time.Second
	stability     = 3 * time.Second
)

// errEnvironment reports that the case could not run.
var errEnvironment = errors.New("the case could not run")

// machine is a front host with an entry and a control process.
type machine struct {
	name, ip, zone string
	disk           bool
	processes      []*exec.Cmd
	startedAt      time.Time // of its latest start
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// deployment is a small installation: in each of three zones a machine with a disk and one without.
type deployment struct {
	program, folder string
	machines        []*machine
	record          *record
}

// newDeployment chooses free loopback addresses. Nothing is started yet.
func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/trefoilkeeld")
	if err != nil {
		return nil, err
	}
	d := &deployment{program: program, folder: folder, record: r}
	network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		for j := range 2 {
			d.machines = append(d.machines, &machine{name: fmt.Sprintf("front-%s-%d", zone, j+1), ip: fmt.Sprintf("%s.%d", network, 10*(i+1)+j), zone: zone, disk: j == 0})
		}
	}
	for _, m := range d.machines {
		for _, port := range []int{callerPort, readinessPort, controlPort, internalPort, 9400, 9401} {
			l, err := net.Listen("tcp", m.address(port))
			if err != nil {
				return nil, err
			}
			_ = l.Close()
		}
	}
	return d, nil
}

// settings returns the settings file of a role on a machine.
func (d *deployment) settings(m *machine, role string, bootstrap bool) ([]byte, error) {
	listen := map[string]string{"front": m.address(callerPort), "ready-addr": m.address(readinessPort)}
	if role == "control" {
		listen = map[string]string{"control": m.address(controlPort)}
	}
	dataDir := ""
	if m.disk && role == "control" {
		dataDir = filepath.Join(d.folder, m.name)
	}
	var seeds []string
	for _, seed := range d.machines {
		if seed.disk {
			seeds = append(seeds, seed.address(controlPort))
		}
	}
	return json.Marshal(map[string]any{
		"node-name": m.name, "role": role, "machine-class": "front", "ip": m.ip, "zone": m.zone, "region": "r",
		"zones": map[string]string{"z-a": "r", "z-b": "r", "z-c": "r"}, "listen": listen, "internal-ports": []int{internalPort, internalPort + 15},
		"seeds": seeds, "bootstrap": bootstrap, "in-fault-budget": m.disk,
		"limits":   map[string]any{"cpu-share": 0.72, "cores": 1, "memory-mb": 134, "max-fds": 4100, "link-mbps": 1000.0},
		"data-dir": dataDir, "discovery": "registry", "entry": "vip", "heartbeat-ms": 1200,
		"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed-lag-s": 3, "reuse-after-s": 2, "stability-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
			"grace-s": 8, "loss-slack-ms": 200, "config-ms": 2000, "rollback-slack-ms": 250, "outer-ms": 5000, "budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 58, "recover-s": 12},
		"config-mode": "highest",
	})
}

// start starts both processes of a machine with the commands of the deploy file.
func (d *deployment) start(m *machine, bootstrap bool) error {
	m.startedAt, m.processes = time.Now(), nil
	for _, role := range []string{"control", "entry"} {
		content, err := d.settings(m, role, bootstrap)
		if err != nil {
			return err
		}
		path := filepath.Join(d.folder, m.name+"-"+role+".json")
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return err
		}
		logFile, err := os.OpenFile(filepath.Join(d.folder, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		process := exec.Command(d.program, "--platform", role)
		process.Env = []string{"TREFOILKEEL_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		process.Stdout, process.Stderr = logFile, logFile
		process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err = process.Start()
		_ = logFile.Close()
		if err != nil {
			return err
		}
		m.processes = append(m.processes, process)
	}
	d.record.addf("machine %s starts", m.name)
	return nil
}

// kill ends both processes of a machine at once.
func (d *deployment) kill(m *machine) {
	for _, process := range m.processes {
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	m.processes = nil
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, m := range d.machines {
		d.kill(m)
	}
	_ = os.RemoveAll(d.folder)
}

// begin starts all machines, stores the configuration and adds the endpoints, and waits until all
// entries are ready.
func (d *deployment) begin(endpoints []*endpoint) error {
	for _, m := range d.machines {
		if err := d.start(m, true); err != nil {
			return err
		}
	}
	if err := d.putConfig(); err != nil {
		return err
	}
	for _, e := range endpoints {
		go e.beat()
	}
	for _, m := range d.machines {
		if err := m.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	d.record.addf("all machines are ready")
	return nil
}

func (m *machine) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.address(readinessPort) + "/trefoilkeel/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: machine %s is not ready", errEnvironment, m.name)
}

const config = `{"version":1,"routes":[{"name":"pay","host":"desk.example","path-prefix":"/pay/","kind":"non_idempotent","timeout-ms":1200,` +
	`"target-latency-ms":150,"priority":2,"service":"app","max-attempts":1,"auth-exempt":false,"session-affinity":false,"resumable":false}],` +
	`"services":[{"name":"app","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},` +
	`"tenants":[{"name":"riders","api-keys":["riders-key"],"priority":1}]}`

// putConfig sends the first configuration again until it is acknowledged.
func (d *deployment) putConfig() error {
	client := &http.Client{Timeout: 2 * time.Second}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		m := d.machines[rand.IntN(len(d.machines))]
		response, err := client.Post("http://"+m.address(controlPort)+"/trefoilkeel/config/put", "application/json", bytes.NewBufferString(config))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			d.record.addf("the configuration is acknowledged by %s", m.name)
			return nil
		}
	}
	return fmt.Errorf("%w: the configuration was not acknowledged", errEnvironment)
}
