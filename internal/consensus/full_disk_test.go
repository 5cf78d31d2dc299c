package consensus

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// Timing of a control host, and of what opens its data folder again.
const (
	controlElectionTimeout   = 320 * time.Millisecond
	controlHeartbeatInterval = 100 * time.Millisecond
	minReopenDelay           = 200 * time.Millisecond
	maxReopenDelay           = time.Second

	// recoveryTimeout is how long after the last fault all persistent hosts vote at the latest.
	recoveryTimeout = 5 * time.Second
	diskStep        = 10 * time.Millisecond

	fullDiskHistories = 20
	// fullDiskHistoriesVariable is the environment variable with the number of histories of a longer run, which
	// begins at a seed of its own.
	fullDiskHistoriesVariable = "CONSENSUS_FULL_DISK_HISTORIES"
)

// faultyDisk is the data folder and the process of a host.
type faultyDisk struct {
	fullUntil   time.Duration // simulated real time; while it is full, it refuses each write and each opening
	reopenAt    time.Duration // of a host whose folder is closed
	reopenDelay time.Duration
	pausedUntil time.Duration // of the whole process
	cutUntil    time.Duration // of its links
	hears       bool          // while it is cut
	isHeard     bool          // while it is cut
	restartAt   time.Duration // of a process that has ended, 0 if it runs
	isNew       bool          // a new folder that does not vote yet
}

// diskHistory is a series of full disks, one at a time, beside other faults.
type diskHistory struct {
	*network
	rng        *rand.Rand
	disks      map[*testHost]*faultyDisk
	persistent []*testHost
	minVoters  int
	formed     bool // all persistent hosts vote
	commands   int
	log        []string // shown where the history fails
}

func (d *diskHistory) logf(format string, args ...any) {
	d.log = append(d.log, fmt.Sprintf("%8s ", d.now)+fmt.Sprintf(format, args...))
}

// Fatalf ends the history; playDiskHistory reports why.
func (d *diskHistory) Fatalf(format string, args ...any) {
	panic(fmt.Sprintf(format, args...))
}

func (d *diskHistory) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.rng.Int64N(int64(high-low+1)))
}

// newDiskHistory starts persistent hosts, some of them seeds, and ephemeral ones.
func newDiskHistory(seed uint64) *diskHistory {
	d := &diskHistory{rng: rand.New(rand.NewPCG(seed, 1)), disks: map[*testHost]*faultyDisk{}}
	persistentCount := []int{3, 5, 6}[d.rng.IntN(3)]
	d.minVoters = 3
	if persistentCount > 3 && d.rng.IntN(2) == 0 {
		d.minVoters = 5
	}
	count := persistentCount + d.rng.IntN(4)
	isPersistent := map[uint64]bool{}
	for _, i := range d.rng.Perm(count)[:persistentCount] {
		isPersistent[uint64(i+1)] = true
	}
	var seeds []Member
	for id := range 3 + d.rng.IntN(count-2) {
		seeds = append(seeds, Member{ID: uint64(id + 1)})
	}
	rates := make([]int64, count)
	for i := range rates {
		rates[i] = 1000 + d.rng.Int64N(2*MaxClockDriftPerMille+1) - MaxClockDriftPerMille
	}
	d.network = newConfiguredNetwork(d, rates, func(h *testHost, cfg *Config) {
		cfg.Peers = seeds
		cfg.AdmitUnknownHosts, cfg.MinVoters, cfg.Ephemeral, cfg.DisableLease = true, d.minVoters, !isPersistent[h.id], true
		cfg.Bootstrap = int(h.id) <= len(seeds) && isFirstStart(h)
		cfg.ElectionTimeout, cfg.HeartbeatInterval = controlElectionTimeout, controlHeartbeatInterval
	})
	for _, h := range d.hosts {
		d.disks[h] = &faultyDisk{}
		if isPersistent[h.id] {
			d.persistent = append(d.persistent, h)
		}
	}
	d.logf("%d hosts, %d seeds, at least %d voters, persistent %v", count, len(seeds), d.minVoters, isPersistent)
	return d
}

// run lets time pass: messages arrive in any order after some steps, writes take some steps.
func (d *diskHistory) run(duration time.Duration) {
	for end := d.now + duration; d.now < end; {
		d.now += diskStep
		for _, h := range d.hosts {
			d.advanceHost(h)
		}
		for range 3 {
			for i := 0; i < len(d.messages); {
				m := d.messages[i]
				switch to, from := d.disks[d.hosts[m.To-1]], d.disks[d.hosts[m.From-1]]; {
				case d.now < to.cutUntil && !to.hears, d.now < from.cutUntil && !from.isHeard:
					d.messages = append(d.messages[:i:i], d.messages[i+1:]...)
				case d.now < to.pausedUntil || d.rng.IntN(3) == 0:
					i++
				default:
					d.deliver(i, false)
				}
			}
			for _, h := range d.hosts {
				if d.now >= d.disks[h].pausedUntil && d.rng.IntN(2) == 0 {
					d.write(h)
				}
			}
		}
	}
}

// advanceHost passes the time to a host, or starts it again.
func (d *diskHistory) advanceHost(h *testHost) {
	disk := d.disks[h]
	switch {
	case h.running && d.now >= disk.pausedUntil:
		h.node.Tick(d.localTime(h))
		d.processOutput(h)
		if d.rng.IntN(100) == 0 && d.now >= disk.fullUntil {
			d.takeSnapshot(h, h.appliedIndex-min(h.appliedIndex, 4))
		}
	case !h.running && disk.restartAt > 0 && d.now >= disk.restartAt, !h.running && disk.restartAt == 0 && d.now >= disk.reopenAt:
		if d.now < disk.fullUntil {
			disk.restartAt, disk.reopenAt = 0, d.now+disk.reopenDelay
			disk.reopenDelay = min(2*disk.reopenDelay, maxReopenDelay)
			return
		}
		disk.restartAt = 0
		d.start(h)
	}
}

// write completes the pending write of a host, or closes its data folder.
func (d *diskHistory) write(h *testHost) {
	disk := d.disks[h]
	if h.running && h.pendingWrite != nil && d.now < disk.fullUntil {
		stored := d.rng.IntN(4) == 0 // the failure was reported after the batch was on the disk
		d.logf("host %d closes its folder, role %d, batch stored %v", h.id, h.node.role, stored)
		if stored {
			h.store(h.pendingWrite)
		}
		d.crash(h)
		disk.reopenAt, disk.reopenDelay = d.now+minReopenDelay, 2*minReopenDelay
		return
	}
	d.completeWrite(h)
}

// proposeSome proposes a command at each leader, and checks that no folder counts as one that lost entries.
func (d *diskHistory) proposeSome() {
	for _, h := range d.hosts {
		if h.running && d.now >= d.disks[h].pausedUntil && h.node.role == Leader {
			d.commands++
			_ = d.propose(h, strconv.Itoa(d.commands))
			for id, p := range h.node.progress {
				if p.lostEntries {
					d.Fatalf("host %d takes the folder of host %d for one that lost entries", h.id, id)
				}
			}
		}
	}
}

// faults returns how many persistent hosts are absent or do not vote yet.
func (d *diskHistory) faults() int {
	count := 0
	leader := d.activeLeader()
	if leader != nil && !d.formed {
		m := leader.node.Status().Membership
		d.formed = m.persistentVoterCount() == len(d.persistent)
	}
	for _, h := range d.persistent {
		disk := d.disks[h]
		if leader != nil {
			m := leader.node.Status().Membership
			disk.isNew = disk.isNew && !m.isVoter(h.id, h.diskID)
		}
		if disk.isAbsent(d.now) {
			count++
		}
	}
	return count
}

// isAbsent reports whether a host is at fault, or its new folder does not vote yet.
func (f *faultyDisk) isAbsent(now time.Duration) bool {
	return f.isNew || max(f.fullUntil, f.pausedUntil, f.cutUntil) > now || f.restartAt > 0
}

// lose empties the disk of a host whose process ends.
func (d *diskHistory) lose(h *testHost, down time.Duration) {
	d.crash(h)
	d.wipeDisk(h)
	disk := d.disks[h]
	disk.isNew, disk.restartAt = true, d.now+down
}

// addFault adds a fault beside a full disk.
func (d *diskHistory) addFault() {
	h := d.persistent[d.rng.IntN(len(d.persistent))]
	disk, span := d.disks[h], d.between(100*time.Millisecond, 5*time.Second)
	if disk.isAbsent(d.now) || !h.running {
		return
	}
	switch d.rng.IntN(5) {
	case 0:
		d.logf("host %d paused for %s", h.id, span)
		disk.pausedUntil = d.now + span
	case 1:
		disk.cutUntil, disk.hears, disk.isHeard = d.now+span, d.rng.IntN(4) == 0, d.rng.IntN(4) == 0
		d.logf("host %d cut for %s, hears %v, is heard %v", h.id, span, disk.hears, disk.isHeard)
	case 2:
		d.logf("host %d killed for %s", h.id, span)
		d.crash(h)
		disk.restartAt = d.now + span
	default:
		if !d.formed {
			return
		}
		d.logf("host %d loses its disk, back after %s", h.id, span)
		d.lose(h, span)
		if d.rng.IntN(3) == 0 {
			disk.fullUntil = d.now + span + d.between(0, 3*time.Second)
			d.logf("host %d full until %s", h.id, disk.fullUntil)
		}
	}
}

// roomAt returns when the last disk has room again.
func (d *diskHistory) roomAt() time.Duration {
	at := time.Duration(0)
	for _, disk := range d.disks {
		at = max(at, disk.fullUntil)
	}
	return at
}

// play plays the faults of a history.
func (d *diskHistory) play() {
	if d.rng.IntN(4) > 0 {
		d.run(10 * time.Second)
	}
	tolerated := (d.minVoters - 1) / 2
	fills := 3 + d.rng.IntN(6)
	for fills > 0 {
		d.run(d.between(diskStep, 300*time.Millisecond))
		d.proposeSome()
		if d.now >= d.roomAt() && d.faults() < tolerated+d.rng.IntN(2) {
			// The last host may still be a learner, or its folder closed.
			h := d.persistent[d.rng.IntN(len(d.persistent))]
			disk := d.disks[h]
			if disk.restartAt == 0 {
				disk.fullUntil = d.now + d.between(500*time.Millisecond, 5*time.Second)
				d.logf("host %d full until %s", h.id, disk.fullUntil)
				fills--
			}
		}
		if d.faults() < tolerated && d.rng.IntN(6) == 0 {
			d.addFault()
		}
		if leader := d.activeLeader(); leader != nil && d.rng.IntN(30) == 0 {
			_ = leader.node.TransferLeadership(d.localTime(leader), 0)
		}
		if d.formed && d.rng.IntN(20) == 0 { // one that is the first voter takes the forming cluster with it
			if h := d.hosts[d.rng.IntN(len(d.hosts))]; h.node.cfg.Ephemeral && h.running {
				d.logf("ephemeral host %d ends", h.id)
				d.lose(h, d.between(100*time.Millisecond, 4*time.Second))
				d.disks[h].isNew = false
			}
		}
	}
	end := time.Duration(0)
	for _, disk := range d.disks {
		end = max(end, disk.fullUntil, disk.pausedUntil, disk.cutUntil, disk.restartAt)
	}
	d.run(max(end-d.now, diskStep))
}

// recovered returns why the cluster has not recovered yet, "" if it has.
func (d *diskHistory) recovered() string {
	leader := d.activeLeader()
	if leader == nil {
		return "no leader"
	}
	m := leader.node.Status().Membership
	for _, h := range d.persistent {
		if !m.isVoter(h.id, h.diskID) {
			return fmt.Sprintf("host %d does not vote", h.id)
		}
	}
	d.commands++
	if err := d.propose(leader, strconv.Itoa(d.commands)); err != nil {
		return err.Error()
	}
	index := leader.node.log.lastIndex()
	d.run(200 * time.Millisecond)
	for _, h := range d.hosts {
		if h.appliedIndex < index {
			return fmt.Sprintf("host %d has applied %d of %d", h.id, h.appliedIndex, index)
		}
	}
	return ""
}

// Guards against a cluster that does not come back once the last of a series of full disks has room
// again, with hosts paused, cut, killed or emptied beside them as far as that is tolerated.
func TestClusterRecoversAfterFullDisks(t *testing.T) {
	first, count := uint64(1), fullDiskHistories
	if n, err := strconv.Atoi(os.Getenv(fullDiskHistoriesVariable)); err == nil {
		first, count = uint64(time.Now().UnixNano()), n
	}
	var slowest time.Duration
	for seed := first; seed < first+uint64(count); seed++ {
		took := playDiskHistory(t, seed)
		slowest = max(slowest, took)
	}
	t.Logf("%d histories from seed %d, recovered within %s", count, first, slowest)
}

// playDiskHistory plays a history and returns how long the recovery took.
func playDiskHistory(t *testing.T, seed uint64) time.Duration {
	d := newDiskHistory(seed)
	defer func() {
		if problem := recover(); problem != nil {
			for _, line := range d.log {
				t.Log(line)
			}
			t.Errorf("seed %d: %v", seed, problem)
		}
	}()
	d.play()
	ended := d.now
	for {
		problem := d.recovered()
		if problem == "" {
			return d.now - ended
		}
		if d.now-ended > recoveryTimeout {
			for _, h := range d.hosts {
				status := h.node.Status()
				d.logf("host %d running %v role %d term %d leader %d commit %d last %d voter %v members %+v", h.id, h.running, status.Role, status.Term, status.LeaderID, status.CommitIndex, status.LastIndex, status.IsVoter, status.Membership.Members)
			}
			d.Fatalf("not recovered: %s", problem)
		}
		d.run(50 * time.Millisecond)
	}
}
