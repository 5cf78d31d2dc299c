package drill_test

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

var (
	binary = flag.String("drill.bin", "", "path of trefoilkeeld; empty: the drill is skipped")
	seed   = flag.Uint64("drill.seed", 20261203, "seed of the faults' order and victims")
	keep   = flag.String("drill.logs", "", "folder to copy the processes' logs to")
)

// Times of the faults.
const (
	settle    = 1500 * time.Millisecond // after each fault
	longPause = 6 * time.Second         // of a control host that believes to be current
)

// fault is one thing that happens to the fleet.
type fault struct {
	name    string
	planned bool
	happen  func(f *fleet, o *operator, r *rand.Rand)
}

var faults = []fault{
	{"control leader killed", false, func(f *fleet, o *operator, r *rand.Rand) { restart(f.controls[leader(o)]) }},
	{"control leader paused for long and resumed", false, func(f *fleet, o *operator, r *rand.Rand) {
		p := f.controls[leader(o)]
		p.signal(syscall.SIGSTOP)
		time.Sleep(longPause)
		p.signal(syscall.SIGCONT)
	}},
	{"data folder emptied, then another control host killed", false, func(f *fleet, o *operator, r *rand.Rand) {
		first := r.IntN(controls)
		p := f.controls[first]
		p.kill()
		Expect(os.RemoveAll(p.folder)).To(Succeed())
		p.start()
		waitVoters(o, controls)
		restart(f.controls[(first+1)%controls])
	}},
	{"agents killed", false, func(f *fleet, o *operator, r *rand.Rand) {
		restart(f.agents[r.IntN(engines)])
		restart(f.agents[engines+r.IntN(doors)])
	}},
	{"router killed", false, func(f *fleet, o *operator, r *rand.Rand) { restart(f.routers[r.IntN(routers)]) }},
	{"agent paused and resumed", false, func(f *fleet, o *operator, r *rand.Rand) {
		p := f.agents[engines+r.IntN(doors)]
		p.signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		p.signal(syscall.SIGCONT)
	}},
	{"router paused and resumed", false, func(f *fleet, o *operator, r *rand.Rand) {
		p := f.routers[r.IntN(routers)]
		p.signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		p.signal(syscall.SIGCONT)
	}},
	{"agent stopped as planned", true, func(f *fleet, o *operator, r *rand.Rand) {
		p := f.agents[r.IntN(engines)]
		Expect(p.stop()).To(Succeed())
		p.start()
	}},
	{"router stopped as planned", true, func(f *fleet, o *operator, r *rand.Rand) {
		p := f.routers[r.IntN(routers)]
		Expect(p.stop()).To(Succeed())
		p.start()
	}},
	{"control hosts restarted one after the other", true, func(f *fleet, o *operator, r *rand.Rand) {
		for _, p := range f.controls {
			Expect(p.stop()).To(Succeed())
			p.start()
			waitVoters(o, controls)
		}
	}},
	{"everything killed and started again", false, func(f *fleet, o *operator, r *rand.Rand) {
		f.killAll()
		f.startAll()
	}},
}

// restart kills a process and starts it again.
func restart(p *process) {
	p.kill()
	p.start()
}

// status asks the control hosts for their status until one answers.
func status(o *operator) *trefoilkeelv1.StatusResponse {
	var answer *trefoilkeelv1.StatusResponse
	i := 0
	Eventually(func() error {
		i++
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		response, err := o.admin(i).Status(ctx, authorized(&trefoilkeelv1.StatusRequest{}))
		if err == nil {
			answer = response.Msg
		}
		return err
	}, "30s", "50ms").Should(Succeed())
	return answer
}

// leader returns the index of the leading control host, the first if none is named.
func leader(o *operator) int {
	named := status(o).GetLeader()
	for i, p := range o.fleet.controls {
		if named != "" && (named == p.url || strings.HasSuffix(p.name, "-"+named)) {
			return i
		}
	}
	return 0
}

// waitVoters returns once so many hosts vote and hold the log.
func waitVoters(o *operator, n int) {
	Eventually(func() int {
		voters := 0
		for _, h := range status(o).GetHosts() {
			if h.GetVoter() {
				voters++
			}
		}
		return voters
	}, "40s", "100ms").Should(Equal(n))
}

func TestDrill(t *testing.T) {
	if *binary == "" {
		t.Skip("the drill needs -drill.bin; use make drill")
	}
	RegisterTestingT(t)
	t.Logf("seed %d", *seed)
	r := rand.New(rand.NewPCG(*seed, 1))
	f := newFleet(t, *binary)
	t.Cleanup(func() { copyLogs(f) })
	f.startAll()
	defer f.killAll()
	o := newOperator(f)
	ctx, stop := context.WithTimeout(context.Background(), 110*time.Second)
	defer stop()
	o.first(ctx)
	f.waitReady()

	l := &load{fleet: f, seed: *seed}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var duties sync.WaitGroup
	duties.Go(func() { l.run(loadCtx) })
	duties.Go(func() { o.run(loadCtx) })
	order := append([]fault(nil), faults...)
	r.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, x := range order {
		t.Log(x.name)
		l.planned.Store(x.planned)
		x.happen(f, o, r)
		time.Sleep(settle)
		f.waitReady()
		l.planned.Store(false)
	}
	stopLoad()
	duties.Wait()
	verdict(t, f, l, o)
}

// verdict counts from the stand-ins' records what must never have happened.
func verdict(t *testing.T, f *fleet, l *load, o *operator) {
	runs := f.service.Records().Runs
	double, falseNotRun, differed, answered, unknown := 0, 0, 0, 0, 0
	for _, e := range l.entries {
		n := runs[e.key]
		switch {
		case n > 1:
			double++
		case e.denied || n > 0 && e.final == "not-run":
			falseNotRun++
		}
		if e.differed {
			differed++
		}
		if e.answer != "" {
			answered++
		}
		if e.final == "unknown" {
			unknown++
		}
	}
	t.Logf("entries %d, answered %d, unknown %d; questions whole %d, failed visibly %d; tickets accepted %d",
		len(l.entries), answered, unknown, l.whole.Load(), l.visible.Load(), len(o.accepted))
	Expect(l.whole.Load()).To(BeNumerically(">", 0))
	Expect(answered).To(BeNumerically(">", 0))
	Expect(double).To(BeZero(), "double runs")
	Expect(falseNotRun).To(BeZero(), "not-run said of a run")
	Expect(differed).To(BeZero(), "repeats with another answer")
	Expect(l.wrong.Load()).To(BeZero(), "wrong answers")
	Expect(l.partial.Load()).To(BeZero(), "partial answers that ended like whole ones")
	Expect(l.cut.Load()).To(BeZero(), "requests that a planned stop cut off")
	Expect(o.lost(context.Background())).To(BeZero(), "accepted tickets lost")
	Expect(o.reverted).To(BeZero(), "revisions that went back")
}

// copyLogs keeps the processes' logs if a folder was named.
func copyLogs(f *fleet) {
	if *keep == "" {
		return
	}
	for _, p := range f.all() {
		if data, err := os.ReadFile(p.log.Name()); err == nil {
			_ = os.WriteFile(filepath.Join(*keep, p.name+".log"), data, 0o600)
		}
	}
}
