package main

import (
	"fmt"
	"time"
)

// encodedSlash sends requests whose path no path-prefix begins: the character after the name is an encoded slash.
func encodedSlash(rec *record, bin string, trouble bool) (broken int, err error) {
	d, workers, err := deploy(rec, bin, config(7, []object{route("lookups", "/lookups/", "idempotent", "lookups", 2), route("bookings", "/bookings/", "non_idempotent", "bookings", 1)}, "lookups", "bookings"), "lookups", "bookings")
	if err != nil {
		return 0, err
	}
	defer d.stopAll()
	paths := []string{"/bookings/2f", "/lookups/2f"}
	if trouble {
		paths = append(paths, "/bookings%2f2f", "/lookups%2f2f")
	}
	for k := range 12 {
		for n, path := range paths {
			m := d.machines[k%len(d.machines)]
			id := fmt.Sprintf("9c41d07be2a3%02x%02x", k, n)
			raw := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Time-Budget-Ms: 1000\r\nApi-Key: k1\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello"
			a := send(fmt.Sprintf("%s:%d", m.ip, frontPort), raw, 3*time.Second)
			rec.line("consumer: %s POST %s at %s: %d %v, seal %q", id, path, m.name, a.status, a.err, a.header.Get("X-Response-Seal"))
			ran := 0
			for _, w := range workers {
				ran += w.ranCount(id)
			}
			isAllowed := n < 2
			switch {
			case isAllowed && (a.status != 200 || ran != 1):
				return 0, notReadyError{}
			case !isAllowed && ran > 0:
				rec.line("ROUTE: %s ran, and no path-prefix begins its path %s", id, path)
				broken++
			}
		}
	}
	return broken, nil
}
