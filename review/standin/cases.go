package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// playExtraAnswer: one of three endpoints sends, for 5 s, an extra answer after one in 34 of its
// answers. The rule TWICE is broken if a booking begins to run twice.
func playExtraAnswer(d *deployment, trouble bool) (broken bool, err error) {
	endpoints, err := newEndpoints(d)
	if err != nil {
		return false, err
	}
	var garbles atomic.Bool
	var answers atomic.Int64
	endpoints[0].extraAnswer = func() bool { return garbles.Load() && answers.Add(1)%34 == 0 }
	if err := d.begin(endpoints); err != nil {
		return false, err
	}
	time.Sleep(stability)
	c := &callers{record: d.record}
	go func() {
		time.Sleep(2 * time.Second)
		garbles.Store(trouble)
		time.Sleep(5 * time.Second)
		garbles.Store(false)
	}()
	c.run(d.machines, 100, 9*time.Second, func(*machine) bool { return true })
	recordRequests(d, c, endpoints)

	runs := map[string]int{}
	for _, e := range endpoints {
		for _, run := range e.allRuns() {
			runs[run.id]++
		}
	}
	twice, refused := 0, 0
	for _, s := range c.all {
		if runs[s.id] > 1 {
			twice++
			d.record.addf("TWICE: request %s to %s ran %d times", s.id, s.entry.name, runs[s.id])
		}
		if runs[s.id] > 0 && s.status == http.StatusServiceUnavailable {
			refused++
			d.record.addf("REFUSED: request %s to %s was answered 503 and ran", s.id, s.entry.name)
		}
	}
	d.record.addf("%d requests sent, %d ran more than once, %d ran and were answered 503", len(c.all), twice, refused)
	return twice > 0, nil
}

// Times of playLostDeparture.
const (
	killAfterAck  = 300 * time.Millisecond // from the acknowledgement to the kill of one machine
	restartDelay  = 500 * time.Millisecond // of the platform
	serveAfterAck = 10 * time.Second       // the endpoint that leaves still serves for so long
	touchMargin   = 500 * time.Millisecond // beyond what the rule asks for
)

// playLostDeparture: an endpoint deregisters at a machine without a disk, which is killed and starts
// again. The rule DRAIN is broken if requests reach the endpoint later than drain-ms, from machines
// that are in touch.
func playLostDeparture(d *deployment, trouble bool) (broken bool, err error) {
	endpoints, err := newEndpoints(d)
	if err != nil {
		return false, err
	}
	if err := d.begin(endpoints); err != nil {
		return false, err
	}
	time.Sleep(stability + touchMargin)
	leaving, acknowledger := endpoints[0], d.machines[1]
	c := &callers{record: d.record}
	var down atomic.Bool // the machine is out of the balancer's rotation
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		c.run(d.machines, 60, 2*time.Second+serveAfterAck, func(m *machine) bool { return m != acknowledger || !down.Load() })
	}()
	time.Sleep(2 * time.Second)
	leaving.left.Store(true)
	if !leaving.report(acknowledger, "deregister", fmt.Sprintf(`{"born":%d}`, leaving.born)) {
		return false, errEnvironment
	}
	ackedAt := time.Now()
	d.record.addf("endpoint %s is deregistered, acknowledged by %s; it serves on", leaving.id, acknowledger.name)
	if trouble {
		time.Sleep(killAfterAck)
		down.Store(true)
		d.kill(acknowledger)
		d.record.addf("machine %s is killed", acknowledger.name)
		time.Sleep(restartDelay)
		if err := d.start(acknowledger, false); err != nil {
			return false, err
		}
		if err := acknowledger.awaitReady(8 * time.Second); err != nil {
			return false, err
		}
		d.record.addf("machine %s is ready", acknowledger.name)
		down.Store(false)
	}
	<-sending
	_ = leaving.listener.Close()
	recordRequests(d, c, endpoints)

	late, byID := 0, c.entries()
	for _, run := range leaving.allRuns() {
		s := byID[run.id]
		inTouch := s != nil && s.at.Sub(s.entry.startedAt) > stability+touchMargin
		if inTouch && run.at.Sub(ackedAt) > drainTime+touchMargin {
			late++
			d.record.addf("DRAIN: request %s, sent to %s, reached %s %d ms after its departure was acknowledged", run.id, s.entry.name, leaving.id, run.at.Sub(ackedAt).Milliseconds())
		}
	}
	d.record.addf("%d requests sent, %d reached the endpoint too late", len(c.all), late)
	return late > 0, nil
}
