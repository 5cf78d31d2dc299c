// Package drill holds a test that runs the daemon as several real processes on
// loopback, kills and pauses them under a light load, and counts from the
// stand-ins' records what must never happen. `make drill` runs it.
package drill
