package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/digest"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/duty"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
)

const (
	fullDiskSeed = 20261205
	fullDisks    = 3
	// fullDisksVariable is the environment variable with the number of full disks of a longer run, which has a
	// seed of its own.
	fullDisksVariable = "FLEET_FULL_DISKS"
)

// randomCommand returns a command that any opening of a data folder has to apply alike.
func randomCommand(rng *rand.Rand, h *logHost) []byte {
	number := rng.Uint64N(6) + 1
	var record duty.Record
	if machine := h.State().Machine; machine != nil {
		record, _ = machine.Duties()
	}
	switch rng.IntN(5) {
	case 0:
		return document.EncodeCommand(rng.Uint64(), fmt.Append(nil, "content ", number))
	case 1:
		return document.EncodeQuarantineCommand([]document.QuarantineChange{document.Quarantine, document.Release, document.Exonerate}[number%3], number)
	case 2:
		return document.EncodeServedCommand(origin.Change{Origin: origin.Origin{Service: "s", Version: fmt.Sprint(number)}, Presence: origin.Serving})
	case 3:
		return document.EncodeDutyCommand(duty.EncodeAcquire(number, fmt.Sprint("host-", number), number, 1, record.Holding))
	}
	return document.EncodeDutyCommand(duty.EncodeRenew(duty.Holdership{Token: record.Holding.Token, Life: record.Holding.Life, Stamp: number}))
}

// compareCopies proposes commands until each host has sent digests of its present opening.
func compareCopies(g *WithT, hosts []*logHost, command func(*logHost) []byte) {
	sent := func(h *logHost) uint64 {
		if o := h.running(); o != nil {
			return o.Stats().DigestBytesSent.Load()
		}
		return 0
	}
	for _, h := range hosts {
		g.Eventually(h.running, reopenTimeout, "5ms").ShouldNot(BeNil())
		before := sent(h)
		g.Eventually(func() bool {
			for range digest.IntervalEntries {
				hosts[0].propose(g, command(hosts[0]))
			}
			return sent(h) > before
		}, reopenTimeout, "300ms").Should(BeTrue(), "host %d", h.Status().ID)
	}
}

// Guards against a digest, taken or compared around the opening of a data folder, that names a sound copy of
// the state odd: that host would stay out.
func TestNoCopyIsOddAfterFullDisks(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	seed, count := uint64(fullDiskSeed), fullDisks
	if n, err := strconv.Atoi(os.Getenv(fullDisksVariable)); err == nil {
		seed, count = uint64(time.Now().UnixNano()), n
	}
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	registries := map[uint64]*metrics.Registry{}
	hosts := startAdjustedLogHosts(t, 3, func(o *replica.Options) {
		registries[o.ID] = metrics.New()
		o.SnapshotIntervalEntries, o.DigestInterval, o.Metrics = digest.IntervalEntries, 20*time.Millisecond, registries[o.ID]
	})
	hosts[0].propose(g, document.EncodeCommand(1, []byte("first")))
	filled := map[*logHost]*replica.Replica{}
	for range count {
		full := hosts[rng.IntN(len(hosts))]
		g.Eventually(full.running, reopenTimeout, "5ms").ShouldNot(BeNil())
		for fills := 1 + rng.IntN(3); fills > 0; {
			if o := full.running(); o != nil && o.Replica != filled[full] {
				filled[full] = o.Replica
				full.fillDisk(g)
				fills--
			}
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			var proposals sync.WaitGroup
			for range rng.IntN(2 * digest.IntervalEntries) {
				h := hosts[rng.IntN(len(hosts))]
				command := randomCommand(rng, h)
				proposals.Go(func() { _, _ = h.Propose(ctx, command) })
			}
			proposals.Wait()
			cancel()
		}
		compareCopies(g, hosts, func(h *logHost) []byte { return randomCommand(rng, h) })
	}
	expectEqualCopies(g, hosts)
	for id, r := range registries {
		g.Expect(r.CounterValue(metrics.StateDigests)).To(BeNumerically(">", 0), "host %d", id)
		g.Expect(r.CounterValue(metrics.StateDifferences)).To(BeZero(), "host %d", id)
		g.Expect(r.CounterValue(metrics.StateDisputes)).To(BeZero(), "host %d", id)
		t.Logf("host %d: %d digests, folder closed %d times", id, r.CounterValue(metrics.StateDigests), r.CounterValue(metrics.LogFailures))
	}
}
