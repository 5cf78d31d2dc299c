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
	binary    = flag.String("drill.bin", "", "path of trefoilkeeld; empty: the drill is skipped")
	seed      = flag.Uint64("drill.seed", 20261203, "seed of the order and targets of the faults")
	logFolder = flag.String("drill.logs", "", "folder to copy the processes' logs to")
)

const (
	settleTime  = 1500 * time.Millisecond // wait after each fault
	leaderPause = 6 * time.Second         // the paused leader still considers itself current when it resumes
)

// fault is one fault that the drill injects into the fleet, or a planned stop.
type fault struct {
	name    string
	planned bool // a planned stop; it must not interrupt requests
	inject  func(f *fleet, o *operator, r *rand.Rand)
}

var faults = []fault{
	{"control leader killed", false, func(f *fleet, o *operator, r *rand.Rand) { killAndRestart(f.controlHosts[leaderIndex(o)]) }},
	{"control leader paused for long and resumed", false, func(f *fleet, o *operator, r *rand.Rand) {
		p := f.controlHosts[leaderIndex(o)]
		p.signal(syscall.SIGSTOP)
		time.Sleep(leaderPause)
		p.signal(syscall.SIGCONT)
	}},
	{"data folder emptied, then another control host killed", false, func(f *fleet, o *operator, r *rand.Rand) {
		first := r.IntN(controlHostCount)
		p := f.controlHosts[first]
		p.kill()
		Expect(os.RemoveAll(p.dataFolder)).To(Succeed())
		p.start()
		waitForVoters(o, controlHostCount)
		killAndRestart(f.controlHosts[(first+1)%controlHostCount])
	}},
	{"agents killed", false, func(f *fleet, o *operator, r *rand.Rand) {
		killAndRestart(f.agents[r.IntN(engineCount)])
		killAndRestart(f.agents[engineCount+r.IntN(serviceAgentCount)])
	}},
	{"router killed", false, func(f *fleet, o *operator, r *rand.Rand) { killAndRestart(f.routers[r.IntN(routerCount)]) }},
	{"agent paused and resumed", false, func(f *fleet, o *operator, r *rand.Rand) {
		p := f.agents[engineCount+r.IntN(serviceAgentCount)]
		p.signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		p.signal(syscall.SIGCONT)
	}},
	{"router paused and resumed", false, func(f *fleet, o *operator, r *rand.Rand) {
		p := f.routers[r.IntN(routerCount)]
		p.signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		p.signal(syscall.SIGCONT)
	}},
	{"agent stopped as planned", true, func(f *fleet, o *operator, r *rand.Rand) {
		p := f.agents[r.IntN(engineCount)]
		Expect(p.stop()).To(Succeed())
		p.start()
	}},
	{"router stopped as planned", true, func(f *fleet, o *operator, r *rand.Rand) {
		p := f.routers[r.IntN(routerCount)]
		Expect(p.stop()).To(Succeed())
		p.start()
	}},
	{"control hosts restarted one after the other", true, func(f *fleet, o *operator, r *rand.Rand) {
		for _, p := range f.controlHosts {
			Expect(p.stop()).To(Succeed())
			p.start()
			waitForVoters(o, controlHostCount)
		}
	}},
	{"everything killed and started again", false, func(f *fleet, o *operator, r *rand.Rand) {
		f.killAll()
		f.startAll()
	}},
}

func killAndRestart(p *process) {
	p.kill()
	p.start()
}

// controlStatus asks one control host after another for its status until one
// responds.
func controlStatus(o *operator) *trefoilkeelv1.StatusResponse {
	var status *trefoilkeelv1.StatusResponse
	i := 0
	Eventually(func() error {
		i++
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		response, err := o.adminClient(i).Status(ctx, authorized(&trefoilkeelv1.StatusRequest{}))
		if err == nil {
			status = response.Msg
		}
		return err
	}, "30s", "50ms").Should(Succeed())
	return status
}

// leaderIndex returns the index of the leading control host, or 0 if the status
// names none of them.
func leaderIndex(o *operator) int {
	leader := controlStatus(o).GetLeader()
	for i, p := range o.fleet.controlHosts {
		if leader != "" && (leader == p.url || strings.HasSuffix(p.name, "-"+leader)) {
			return i
		}
	}
	return 0
}

// waitForVoters waits until n control hosts are voting members.
func waitForVoters(o *operator, n int) {
	Eventually(func() int {
		voters := 0
		for _, h := range controlStatus(o).GetHosts() {
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
	o.submitFirstTicket(ctx)
	f.waitUntilReady()

	w := &workload{fleet: f, seed: *seed}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var workers sync.WaitGroup
	workers.Go(func() { w.run(loadCtx) })
	workers.Go(func() { o.submitTickets(loadCtx) })
	order := append([]fault(nil), faults...)
	r.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, next := range order {
		t.Log(next.name)
		w.plannedStop.Store(next.planned)
		next.inject(f, o, r)
		time.Sleep(settleTime)
		f.waitUntilReady()
		w.plannedStop.Store(false)
	}
	stopLoad()
	workers.Wait()
	checkInvariants(t, f, w, o)
}

// checkInvariants counts violations in the records of the stand-ins, in what the
// callers saw and in the history of the tickets. Each count must be 0.
func checkInvariants(t *testing.T, f *fleet, w *workload, o *operator) {
	runs := f.service.Records().Runs
	repeatedRuns, falseNotRun, differing, answered, unknown := 0, 0, 0, 0, 0
	for _, req := range w.requests {
		n := runs[req.key]
		switch {
		case n > 1:
			repeatedRuns++
		case req.falseNotRun || n > 0 && req.lastExecution == "not-run":
			falseNotRun++
		}
		if req.answersDiffer {
			differing++
		}
		if req.firstAnswer != "" {
			answered++
		}
		if req.lastExecution == "unknown" {
			unknown++
		}
	}
	t.Logf("protected requests %d, answered %d, unknown %d; questions complete %d, failed with an error %d; tickets accepted %d",
		len(w.requests), answered, unknown, w.completeAnswers.Load(), w.failedQuestions.Load(), len(o.acceptedRevisions))
	Expect(w.completeAnswers.Load()).To(BeNumerically(">", 0))
	Expect(answered).To(BeNumerically(">", 0))
	Expect(repeatedRuns).To(BeZero(), "requests that ran more than once")
	Expect(falseNotRun).To(BeZero(), "requests reported as not-run that ran")
	Expect(differing).To(BeZero(), "requests whose retries got a different response")
	Expect(w.wrongAnswers.Load()).To(BeZero(), "wrong answers")
	Expect(w.truncatedAnswers.Load()).To(BeZero(), "truncated answers that ended as complete ones")
	Expect(w.interrupted.Load()).To(BeZero(), "requests that a planned stop interrupted")
	Expect(o.countLostTickets(context.Background())).To(BeZero(), "accepted tickets lost")
	Expect(o.revisionDecreases).To(BeZero(), "revisions that decreased")
}

// copyLogs copies the logs of the processes to the folder of -drill.logs, if set.
func copyLogs(f *fleet) {
	if *logFolder == "" {
		return
	}
	for _, p := range f.processes() {
		if data, err := os.ReadFile(p.log.Name()); err == nil {
			_ = os.WriteFile(filepath.Join(*logFolder, p.name+".log"), data, 0o600)
		}
	}
}
