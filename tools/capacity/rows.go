package main

// benchmarkRuns lists the runs in the order in which they are done.
var benchmarkRuns = []benchmarkRun{
	{pattern: "Subscriber", benchtime: "1x", pkg: "./internal/control"},
	{pattern: "Usage|Aggregate", benchtime: "20x", pkg: "./internal/control"},
	{pattern: "Spread", benchtime: "20x", pkg: "./internal/control"},
	{pattern: "Memory", benchtime: "1x", pkg: "./internal/ledger"},
	{pattern: "BookFull", benchtime: "1x", pkg: "./internal/ticket"},
	{pattern: "Idle", benchtime: "1x", pkg: "./internal/replica"},
	{pattern: "Ledger/log=three-synced/batch=100/callers=400", benchtime: "4000x", pkg: "./internal/control"},
	{pattern: "Choose", benchtime: "2000x", pkg: "./internal/routing"},
	{pattern: "Line", benchtime: "1s", pkg: "./internal/logging"},
	{pattern: "RelayedToken|StreamMemory", benchtime: "1x", pkg: "./internal/daemon"},
}

// Roles in the table.
const (
	roleRouter        = "router"
	roleAgent         = "agent"
	roleControlHost   = "control host"
	roleControlLeader = "control leader"
	roleFleet         = "whole fleet"
)

// Benchmark names and units that several rows share.
const (
	benchmarkSubscriber = "Subscriber"
	unitCorePercent     = "% of a core"
	unitBytesPerSecond  = "B/s"
	unitMegabytes       = "MB"
)

// Conversion factors between units.
const (
	corePercentPerNsPerSecond = 100 / 1e9 // ns of CPU time per second, as % of a core
	corePercentPerUsPerSecond = 100 / 1e6 // us of CPU time per second, as % of a core
	megabytesPerKiB           = 1024 / 1e6
	megabytesPerByte          = 1 / 1e6
)

// row is one quantity of the table, computed as unit cost x factor.
type row struct {
	role, quantity    string
	benchmark, metric string  // the unit cost: benchmark and unit of the metric it reports
	factor            float64 // result per unit cost
	factorText        string  // the factor as printed in the table
	unit              string  // of the result and the limit
	limit             float64 // 0: no limit is set
	atLeast           bool    // the limit is a minimum
}

// rows lists the rows of the table in order.
var rows = []row{
	{role: roleRouter, quantity: "configuration and loads", benchmark: benchmarkSubscriber, metric: "loads-B/s", factor: 1, factorText: "1 subscription", unit: unitBytesPerSecond, limit: limitControlBytesPerSecond},
	{role: roleRouter, quantity: "changes of configuration", benchmark: benchmarkSubscriber, metric: "change-B", factor: configurationChangesPerSecond, factorText: "3,400 changes a day", unit: unitBytesPerSecond, limit: limitControlBytesPerSecond},
	{role: roleRouter, quantity: "loads, both ends", benchmark: benchmarkSubscriber, metric: "loads-cpu-%", factor: 1, factorText: "1 subscription", unit: unitCorePercent, limit: limitControlCorePercent},
	{role: roleRouter, quantity: "changes, both ends", benchmark: benchmarkSubscriber, metric: "change-cpu-us", factor: configurationChangesPerSecond * corePercentPerUsPerSecond, factorText: "3,400 changes a day", unit: unitCorePercent, limit: limitControlCorePercent},
	{role: roleRouter, quantity: "subscription, both ends", benchmark: benchmarkSubscriber, metric: "heap-KB/subscriber", factor: megabytesPerKiB, factorText: "1 subscription", unit: unitMegabytes, limit: limitControlMegabytes},
	{role: roleRouter, quantity: "choices", benchmark: "Choose/endpoints=680", metric: "ns/op", factor: requestsPerSecondPerRouter * corePercentPerNsPerSecond, factorText: "8.9 requests/s", unit: unitCorePercent, limit: limitControlCorePercent},
	{role: roleRouter, quantity: "log lines", benchmark: "Line", metric: "ns/op", factor: requestsPerSecondPerRouter * logLinesPerRequest * corePercentPerNsPerSecond, factorText: "8.9 requests/s x 2 lines", unit: unitCorePercent, limit: limitControlCorePercent},
	{role: roleRouter, quantity: "relayed tokens, with the agent's part", benchmark: "RelayedToken", metric: "added-us/token", factor: tokensPerSecondPerRouter * corePercentPerUsPerSecond, factorText: "3,143 tokens/s", unit: unitCorePercent},
	{role: roleRouter, quantity: "open streams, with the agent's part", benchmark: "StreamMemory", metric: "added-KiB/stream", factor: requestsPerSecondPerRouter * meanStreamSeconds * megabytesPerKiB, factorText: "8.9 requests/s x 20 s", unit: unitMegabytes},
	{role: roleRouter, quantity: "usage, 18 workspaces changed", benchmark: "Usage/workspaces=18", metric: "report-B", factor: 1, factorText: "1 report/s", unit: unitBytesPerSecond, limit: limitControlBytesPerSecond},
	{role: roleRouter, quantity: "usage, all workspaces in one second", benchmark: "Usage/workspaces=1500", metric: "report-B", factor: 1, factorText: "in a burst", unit: "B"},
	{role: roleAgent, quantity: "idle subscription", benchmark: benchmarkSubscriber, metric: "idle-B/s", factor: 1, factorText: "1 subscription", unit: unitBytesPerSecond, limit: limitControlBytesPerSecond},
	{role: roleAgent, quantity: "heartbeats, message alone", benchmark: "Aggregate", metric: "heartbeat-B", factor: 1, factorText: "1 heartbeat/s", unit: unitBytesPerSecond, limit: limitControlBytesPerSecond},
	{role: roleAgent, quantity: "changes of configuration", benchmark: benchmarkSubscriber, metric: "change-B", factor: configurationChangesPerSecond, factorText: "3,400 changes a day", unit: unitBytesPerSecond, limit: limitControlBytesPerSecond},
	{role: roleAgent, quantity: "changes, both ends", benchmark: benchmarkSubscriber, metric: "change-cpu-us", factor: configurationChangesPerSecond * corePercentPerUsPerSecond, factorText: "3,400 changes a day", unit: unitCorePercent, limit: limitControlCorePercent},
	{role: roleAgent, quantity: "subscription, both ends", benchmark: benchmarkSubscriber, metric: "heap-KB/subscriber", factor: megabytesPerKiB, factorText: "1 subscription", unit: unitMegabytes, limit: limitControlMegabytes},
	{role: roleAgent, quantity: "relayed tokens, with the router's part", benchmark: "RelayedToken", metric: "added-us/token", factor: tokensPerSecondPerAgent * corePercentPerUsPerSecond, factorText: "1,618 tokens/s", unit: unitCorePercent},
	{role: roleControlHost, quantity: "loads, both ends", benchmark: benchmarkSubscriber, metric: "loads-cpu-%", factor: routersPerControlHost, factorText: "350 routers on 9 hosts", unit: unitCorePercent},
	{role: roleControlHost, quantity: "loads sent", benchmark: benchmarkSubscriber, metric: "loads-B/s", factor: routersPerControlHost, factorText: "350 routers on 9 hosts", unit: unitBytesPerSecond},
	{role: roleControlHost, quantity: "subscriptions, both ends", benchmark: benchmarkSubscriber, metric: "heap-KB/subscriber", factor: subscribersPerControlHost * megabytesPerKiB, factorText: "1,030 subscribers on 9 hosts", unit: unitMegabytes},
	{role: roleControlHost, quantity: "first states after a restart of all", benchmark: benchmarkSubscriber, metric: "first-KB/subscriber", factor: subscribersPerControlHost * megabytesPerKiB, factorText: "1,030 subscribers on 9 hosts", unit: unitMegabytes},
	{role: roleControlLeader, quantity: "usage, 18 workspaces changed", benchmark: "Usage/workspaces=18", metric: "ns/op", factor: routerCount * corePercentPerNsPerSecond, factorText: "350 reports/s", unit: unitCorePercent},
	{role: roleControlLeader, quantity: "usage, all workspaces in one second", benchmark: "Usage/workspaces=1500", metric: "ns/op", factor: 1e-6, factorText: "one report", unit: "ms"},
	{role: roleControlLeader, quantity: "aggregates in", benchmark: "Aggregate", metric: "aggregate-B", factor: limitControlHosts - 1, factorText: "8 followers", unit: unitBytesPerSecond},
	{role: roleControlLeader, quantity: "answers to them", benchmark: "Aggregate", metric: "answer-B", factor: limitControlHosts - 1, factorText: "8 followers", unit: unitBytesPerSecond},
	{role: roleControlHost, quantity: "agreement, idle", benchmark: "Idle", metric: "%core/host", factor: 1, factorText: "1 host of 3", unit: unitCorePercent},
	{role: roleControlHost, quantity: "agreement, idle", benchmark: "Idle", metric: "bytes/s/host", factor: 1, factorText: "1 host of 3", unit: unitBytesPerSecond},
	{role: roleControlHost, quantity: "book with every table full", benchmark: "BookFull", metric: "heap-bytes", factor: megabytesPerByte, factorText: "1 book", unit: unitMegabytes},
	{role: roleControlHost, quantity: "ledger, full", benchmark: "Memory", metric: "heap-B/entry", factor: limitLedgerEntries * megabytesPerByte, factorText: "400,000 entries", unit: unitMegabytes},
	{role: roleControlHost, quantity: "snapshot of a full ledger", benchmark: "Memory", metric: "snapshot-ns/entry", factor: limitLedgerEntries / 1e6, factorText: "400,000 entries", unit: "ms", limit: limitFirstTokenMs},
	{role: roleControlHost, quantity: "ledger, 1% protected, 24 h", benchmark: "Memory", metric: "heap-B/entry", factor: peakRequestsPerSecond * protectedFraction * secondsPerDay * megabytesPerByte, factorText: "31 requests/s x 24 h", unit: unitMegabytes, limit: limitLedgerMegabytes},
	{role: roleControlHost, quantity: "ledger, 10% protected, 24 h", benchmark: "Memory", metric: "heap-B/entry", factor: 10 * peakRequestsPerSecond * protectedFraction * secondsPerDay * megabytesPerByte, factorText: "310 requests/s x 24 h", unit: unitMegabytes, limit: limitLedgerMegabytes},
	{role: roleControlHost, quantity: "claims with synced files", benchmark: "Ledger/log=three-synced/batch=100/callers=400", metric: "claims/s", factor: 1, factorText: "1 leader", unit: "claims/s", limit: peakRequestsPerSecond, atLeast: true},
	{role: roleFleet, quantity: "change in force at 300, slowest", benchmark: "Spread/subscribers=300", metric: "max-ms", factor: float64(subscriberCount) / 300, factorText: "1,030 of 300 subscribers", unit: "ms", limit: limitPropagationMs},
}
