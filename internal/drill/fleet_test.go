package drill_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

// The size of the fleet.
const (
	controls = 3
	routers  = 3
	engines  = 4
	doors    = 2 // agents before one plain service
)

// process is one daemon of the fleet.
type process struct {
	name     string
	settings string
	folder   string // data folder of a control host
	health   string // base URL of its administration listener
	url      string // base URL for its users
	bin      string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan error
}

// start launches the daemon.
func (p *process) start() {
	p.cmd = exec.Command(p.bin, "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	Expect(p.cmd.Start()).To(Succeed())
	cmd, exited := p.cmd, make(chan error, 1)
	p.exited = exited
	go func() { exited <- cmd.Wait() }()
}

// signal sends a signal to the process that start launched.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop asks for a planned stop and returns how the process ended.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	return <-p.exited
}

// report is what a process says of itself.
type report struct {
	Ready    bool   `json:"ready"`
	Revision uint64 `json:"revision"`
}

// state asks for the process's report; ok is false if it does not answer.
func (p *process) state() (r report, ok bool) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(p.health + "/readyz")
	if err != nil {
		return r, false
	}
	defer func() { _ = response.Body.Close() }()
	return r, json.NewDecoder(response.Body).Decode(&r) == nil
}

// fleet is every process with the stand-ins behind the agents.
type fleet struct {
	dir      string
	bin      string
	controls []*process
	routers  []*process
	agents   []*process
	engines  []*standin.Engine
	service  *standin.Service
}

func newFleet(t *testing.T, bin string) *fleet {
	f := &fleet{dir: t.TempDir(), bin: bin}
	var members strings.Builder
	var urls []string
	ports := make([]string, controls)
	for i := range controls {
		ports[i] = freeAddress()
		urls = append(urls, "http://"+ports[i])
		fmt.Fprintf(&members, "[[control.member]]\nid = %d\nurl = %q\n", i+1, urls[i])
	}
	for i := range controls {
		p := f.process(fmt.Sprintf("control-%d", i+1), urls[i])
		p.folder = filepath.Join(f.dir, p.name)
		f.write(p, i, fmt.Sprintf("data_folder = %q\n[control]\nid = %d\nlisten = %q\nurl = %q\nbootstrap = true\n[[control.token]]\nname = \"drill\"\nhash = %q\nroles = [\"read\", \"submit\", \"drain\"]\n%s",
			p.folder, i+1, ports[i], urls[i], tokenHash, members.String()))
		f.controls = append(f.controls, p)
	}
	list, _ := json.Marshal(urls)
	directory := "[directory]\ncontrol_urls = " + string(list) + "\n"
	for i := range routers {
		at := freeAddress()
		p := f.process(fmt.Sprintf("router-%d", i+1), "http://"+at)
		f.write(p, i, fmt.Sprintf("[router]\nlisten = %q\n%s", at, directory))
		f.routers = append(f.routers, p)
	}
	f.addAgents(t, directory)
	return f
}

// addAgents starts the stand-ins and describes an agent before each.
func (f *fleet) addAgents(t *testing.T, directory string) {
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return server.URL
	}
	agent := func(i int, name, group, kind, serves, url string) {
		at := freeAddress()
		p := f.process("agent-"+name, "http://"+at)
		f.write(p, i, fmt.Sprintf("[[agent]]\nendpoint = %q\ngroup = %q\nkind = %q\nlisten = %q\nurl = %q\nendpoint_url = %q\nmodels = [%q]\n%s",
			name, group, kind, at, p.url, url, serves, directory))
		f.agents = append(f.agents, p)
	}
	for i := range engines {
		name := fmt.Sprintf("rally-text-%d", i+1)
		e := standin.NewEngine(standin.EngineConfig{Name: name, StepBase: 5 * time.Millisecond})
		f.engines = append(f.engines, e)
		agent(i, name, "rally-text", "engine", "rally-text", serve(e.Handler()))
	}
	f.service = standin.NewService(standin.ServiceConfig{Name: "entries", Latency: 150 * time.Millisecond})
	url := serve(f.service.Handler())
	for i := range doors {
		agent(i, fmt.Sprintf("entries-%d", i+1), "entries", "service", "entries", url)
	}
}

func (f *fleet) process(name, url string) *process {
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	Expect(err).NotTo(HaveOccurred())
	return &process{name: name, url: url, bin: f.bin, log: log, settings: filepath.Join(f.dir, name+".toml")}
}

// write puts the settings of a process into its file.
func (f *fleet) write(p *process, domain int, roles string) {
	health := freeAddress()
	p.health = "http://" + health
	text := fmt.Sprintf("[process]\nname = %q\nhost = \"localhost\"\nfailure_domain = \"santiago-%c\"\nstop_timeout = \"30s\"\n", p.name, 'a'+domain%3)
	if strings.HasPrefix(roles, "data_folder") {
		text += roles
	} else {
		text += "\n" + roles
	}
	text += fmt.Sprintf("\n[administration]\nlisten = %q\n", health)
	Expect(os.WriteFile(p.settings, []byte(text), 0o600)).To(Succeed())
}

// all lists every process, control first.
func (f *fleet) all() []*process {
	return append(append(append([]*process(nil), f.controls...), f.routers...), f.agents...)
}

// startAll launches every process.
func (f *fleet) startAll() {
	for _, p := range f.all() {
		p.start()
	}
}

// killAll ends every process at once.
func (f *fleet) killAll() {
	for _, p := range f.all() {
		p.kill()
	}
}

// waitReady returns once every router and agent is ready.
func (f *fleet) waitReady() {
	for _, p := range append(append([]*process(nil), f.routers...), f.agents...) {
		Eventually(func() bool { r, ok := p.state(); return ok && r.Ready }, "30s", "50ms").Should(BeTrue(), p.name+" is not ready")
	}
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
