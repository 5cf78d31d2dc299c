// Package drill holds a fault-injection test. It runs the daemon as several real
// processes on loopback, kills and pauses them under a light load, and checks the
// records of the simulated back ends for requests that ran more than once, wrong
// answers and lost tickets. `make drill` runs it.
package drill
