package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	snapshotPuts   = 80
	snapshotRoutes = 350
	snapshotName   = 400
	// snapshotBytes on one channel to a host that has just started are a part of the snapshot.
	snapshotBytes = 48 << 10
	// returnTime is well over catch-up-s (4 s) and stability-window-ms (3 s) after the host is back.
	returnTime = 12 * time.Second
	readTime   = 15 * time.Second
)

// bigConfig returns a configuration that hardly compresses.
func bigConfig(version int) []byte {
	routes := []object{route("lookups", "/lookups/", "idempotent", "lookups", 2)}
	for k := range snapshotRoutes {
		name := make([]byte, snapshotName)
		_, _ = rand.Read(name)
		routes = append(routes, route(fmt.Sprintf("r-%d-%s", k, hex.EncodeToString(name)), fmt.Sprintf("/r%d/", k), "idempotent", "lookups", 2))
	}
	return config(version, routes, "lookups")
}

// silentSnapshot empties the disk of a control host, lets the channels to it go silent while it is brought up to date, and
// takes away another control host once the first one counts again. Then it reads the configuration back.
func silentSnapshot(rec *record, bin string, trouble bool) (broken int, err error) {
	relays := map[string]*relay{}
	d, err := newDeployment(rec, bin, 3, 1)
	if err != nil {
		return 0, err
	}
	defer d.stopAll()
	d.hostsPort = internalLast
	for _, m := range d.machines {
		r, err := newRelay(fmt.Sprintf("%s:%d", m.ip, internalFirst), fmt.Sprintf("%s:%d", m.ip, internalLast))
		if err != nil {
			return 0, err
		}
		defer r.listener.Close()
		relays[m.name] = r
	}
	if err := d.startAll(); err != nil {
		return 0, err
	}
	version := 0
	for range snapshotPuts {
		version++
		if d.put(bigConfig(version), 20*time.Second) != 200 {
			return 0, notReadyError{}
		}
	}
	emptied, lost := d.machines[2], d.machines[1]
	rec.line("control of %s is killed, its disk is emptied", emptied.name)
	emptied.control.kill()
	if err := os.RemoveAll(filepath.Join(emptied.dir, "data-control")); err != nil {
		return 0, err
	}
	relays[emptied.name].forget()
	if trouble {
		relays[emptied.name].onSilence = func(channels int) {
			rec.line("%d open channels to %s go silent, without a reset; new ones work", channels, emptied.name)
		}
		relays[emptied.name].silenceAt.Store(snapshotBytes)
	}
	if err := d.start(emptied, "control", false); err != nil {
		return 0, err
	}
	time.Sleep(returnTime)
	rec.line("control of %s is killed and stays away", lost.name)
	lost.control.kill()
	d.away = lost
	for until := time.Now().Add(readTime); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, url := range d.controls() {
			status, body, err := call("GET", url+"/trefoilkeel/config/get", nil)
			rec.line("operator: get at %s: %d %v, %d bytes", url, status, err, len(body))
			if err == nil && status == 200 {
				return 0, nil
			}
		}
	}
	rec.line("CONFIG: version %d was acknowledged, and does not come back within %v", version, readTime)
	return 1, nil
}
