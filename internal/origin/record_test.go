package origin

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// rapidSeed makes the generated cases reproducible; the flag -rapid.seed overrides it.
const rapidSeed = "20261204"

func init() { _ = flag.Set("rapid.seed", rapidSeed) }

// A version must be recorded while any host sees an endpoint of it and for goneTTL after that, and be
// forgotten in the end. Commands are applied late, in any order or twice, hosts restart, and each sees
// some of the endpoints only.
func TestVersionsAreRecordedWhileTheyServe(t *testing.T) {
	const hosts, step, lateness = 3, time.Second, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var r Record
		type pending struct {
			command []byte
			since   time.Time
		}
		var commands []pending
		keepers := [hosts]*Keeper{NewKeeper(), NewKeeper(), NewKeeper()}
		seen := [hosts]map[Origin]bool{{}, {}, {}}
		firstServed, lastServed := map[Origin]time.Time{}, map[Origin]time.Time{}
		now := start
		tick := func() {
			now = now.Add(step)
			for i, k := range keepers {
				for o := range seen[i] {
					if now.Sub(lastServed[o]) > step {
						firstServed[o] = now
					}
					lastServed[o] = now
				}
				for _, c := range k.Decide(now, seen[i], &r) {
					commands = append(commands, pending{c.Encode(), now})
				}
			}
			commands = slices.DeleteFunc(commands, func(p pending) bool {
				due := now.Sub(p.since) >= lateness || rapid.Bool().Draw(t, "due")
				if due {
					r.Apply(p.command)
				}
				return due && (now.Sub(p.since) >= lateness || rapid.Bool().Draw(t, "once"))
			})
			for o, at := range lastServed {
				if at.Sub(firstServed[o]) > 2*lateness && now.Sub(at) < goneTTL-2*lateness && r.Presence(o) == 0 {
					t.Fatalf("%v is not recorded %v after it served", o, now.Sub(at))
				}
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "changes") {
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			switch rapid.SampledFrom([]string{"come", "go", "restart"}).Draw(t, "event") {
			case "come":
				seen[i][Origin{Service: "s", Version: fmt.Sprint("v", rapid.IntRange(1, 3).Draw(t, "version"))}] = true
			case "go":
				clear(seen[i])
			case "restart":
				keepers[i] = NewKeeper()
			}
			for range rapid.IntRange(1, 150).Draw(t, "seconds") {
				tick()
			}
		}
		for i := range hosts {
			clear(seen[i])
		}
		for end := now.Add(3 * goneTTL); now.Before(end); {
			tick()
		}
		if !r.IsZero() {
			t.Fatalf("%v is never forgotten", r.Versions())
		}
	})
}

func TestRecordSurvivesSnapshots(t *testing.T) {
	g := NewWithT(t)
	var r Record
	r.Apply(Change{Origin: v1, Presence: Serving}.Encode())
	r.Apply(Change{Origin: v2, Presence: Serving}.Encode())
	r.Apply(Change{Origin: v1, Presence: Leaving}.Encode())
	restored, rest, ok := CutSnapshot(append(r.AppendSnapshot(nil), 7))
	g.Expect(ok).To(BeTrue())
	g.Expect(rest).To(Equal([]byte{7}))
	g.Expect(restored).To(Equal(r))
}

func TestRecordIsBoundedAndChecked(t *testing.T) {
	g := NewWithT(t)
	var r Record
	for i := range MaxRecorded + 5 {
		r.Apply(Change{Origin: Origin{Service: "s", Version: fmt.Sprint(i)}, Presence: Serving}.Encode())
	}
	g.Expect(r.Versions()).To(HaveLen(MaxRecorded))
	known := r.Versions()[0]
	g.Expect(r.Apply(Change{Origin: known}.Encode())).To(BeFalse(), "it serves")
	g.Expect(r.Apply(Change{Origin: known, Presence: Leaving}.Encode())).To(BeTrue())
	g.Expect(r.Apply(Change{Origin: known}.Encode())).To(BeTrue())
	for _, command := range [][]byte{nil, {1}, {1, 5, 'a'}, {9, 1, 's', 1, 'v'}} {
		g.Expect(r.Apply(command)).To(BeFalse(), "%v", command)
	}
	g.Expect(r.CanRecord(Origin{Service: "s"})).To(BeFalse())
	g.Expect(r.CanRecord(Origin{Service: "s", Version: strings.Repeat("v", maxNameBytes+1)})).To(BeFalse())
	snapshot := r.AppendSnapshot(nil)
	for n := range len(snapshot) {
		_, _, ok := CutSnapshot(snapshot[:n])
		g.Expect(ok).To(BeFalse())
	}
}

// Guards against an entry that has started after a version has gone and takes the other for the only one.
func TestRecordedVersionsCountAsJustGone(t *testing.T) {
	g := NewWithT(t)
	v, now := NewVersions(), start
	v.Update(now, "a", v2, false)
	v.SetRecorded(now, map[Origin]bool{v1: true, v2: true})
	g.Expect(v.Mixed(now.Add(goneTTL), "s")).To(BeTrue())
	v.SetRecorded(now.Add(goneTTL), map[Origin]bool{v1: true, v2: true, {Service: "other", Version: "v1"}: true})
	g.Expect(v.Mixed(now.Add(goneTTL+time.Second), "s")).To(BeTrue(), "control hosts record it as long as one of them may have seen it")
	v.SetRecorded(now.Add(goneTTL+2*time.Second), map[Origin]bool{v2: true})
	g.Expect(v.Mixed(now.Add(goneTTL+2*time.Second), "s")).To(BeFalse(), "forgotten, and no endpoint came")
	v.SetRecorded(now.Add(goneTTL+3*time.Second), map[Origin]bool{v1: true, v2: true})
	g.Expect(v.Mixed(now.Add(goneTTL+4*time.Second), "s")).To(BeTrue(), "recorded again")
}

// Guards against streams that begin at a version that other hosts don't know, and against versions at which
// none may ever begin: without a name, without a record, or without room in it.
func TestStreamsBeginOnlyAtRecordedVersions(t *testing.T) {
	g := NewWithT(t)
	v := NewVersions()
	v.Update(start, "a", v1, false)
	v.Update(start, "b", v2, false)
	v.Update(start, "c", Origin{Service: "s"}, false)
	g.Expect(v.Unrecorded("s")).To(BeEmpty(), "control hosts of an older build keep no record")
	v.SetRecorded(start, map[Origin]bool{})
	g.Expect(v.Unrecorded("s")).To(Equal(map[string]bool{"v1": true, "v2": true}))
	v.SetRecorded(start, map[Origin]bool{v1: true, v2: false})
	g.Expect(v.Unrecorded("s")).To(Equal(map[string]bool{"v2": true}))
	g.Expect(v.Unrecorded("other")).To(BeEmpty())
	full := map[Origin]bool{}
	for i := range MaxRecorded {
		full[Origin{Service: "other", Version: fmt.Sprint(i)}] = true
	}
	v.SetRecorded(start, full)
	g.Expect(v.Unrecorded("s")).To(BeEmpty())
}
