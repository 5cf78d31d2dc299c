package main

// runs are the measurements, one after the other.
var runs = []run{
	{bench: "Subscriber", benchtime: "1x", pkg: "./internal/control"},
	{bench: "Usage|Aggregate", benchtime: "20x", pkg: "./internal/control"},
	{bench: "Spread", benchtime: "20x", pkg: "./internal/control"},
	{bench: "Memory", benchtime: "1x", pkg: "./internal/ledger"},
	{bench: "BookFull", benchtime: "1x", pkg: "./internal/ticket"},
	{bench: "Idle", benchtime: "1x", pkg: "./internal/replica"},
	{bench: "Ledger/log=three-synced/batch=100/callers=400", benchtime: "4000x", pkg: "./internal/control"},
	{bench: "Choose", benchtime: "2000x", pkg: "./internal/routing"},
	{bench: "Line", benchtime: "1s", pkg: "./internal/logging"},
	{bench: "RelayedToken|StreamMemory", benchtime: "1x", pkg: "./internal/daemon"},
}

// Roles of the table.
const (
	router   = "router"
	agent    = "agent"
	host     = "control host"
	leader   = "control leader"
	everyone = "whole fleet"
)

// Names of benchmarks and units of their figures that several rows share.
const (
	subscriber = "Subscriber"
	percent    = "% of a core"
	perSecond  = "B/s"
	megabytes  = "MB"
)

// Factors between units.
const (
	percentPerNs = 100 / 1e9 // ns a second, as % of a core
	percentPerUs = 100 / 1e6 // us a second, as % of a core
	mbPerKiB     = 1024 / 1e6
	mbPerByte    = 1 / 1e6
)

// row works out one figure: slope x factor.
type row struct {
	role, figure     string
	benchmark, slope string  // where the slope is measured and its unit
	factor           float64 // from the slope to the result
	times            string  // the factor in words
	unit             string  // of result and limit
	limit            float64 // 0 where the size sets none
	atLeast          bool    // the result must reach the limit
}

// rows are the table, in order.
var rows = []row{
	{role: router, figure: "configuration and loads", benchmark: subscriber, slope: "loads-B/s", factor: 1, times: "1 subscription", unit: perSecond, limit: limitBytes},
	{role: router, figure: "changes of configuration", benchmark: subscriber, slope: "change-B", factor: changesPerSecond, times: "3,400 changes a day", unit: perSecond, limit: limitBytes},
	{role: router, figure: "loads, both ends", benchmark: subscriber, slope: "loads-cpu-%", factor: 1, times: "1 subscription", unit: percent, limit: limitCorePercent},
	{role: router, figure: "changes, both ends", benchmark: subscriber, slope: "change-cpu-us", factor: changesPerSecond * percentPerUs, times: "3,400 changes a day", unit: percent, limit: limitCorePercent},
	{role: router, figure: "subscription, both ends", benchmark: subscriber, slope: "heap-KB/subscriber", factor: mbPerKiB, times: "1 subscription", unit: megabytes, limit: limitMegabytes},
	{role: router, figure: "choices", benchmark: "Choose/endpoints=680", slope: "ns/op", factor: routerRequests * percentPerNs, times: "8.9 requests/s", unit: percent, limit: limitCorePercent},
	{role: router, figure: "log lines", benchmark: "Line", slope: "ns/op", factor: routerRequests * logLinesPerRequest * percentPerNs, times: "8.9 requests/s x 2 lines", unit: percent, limit: limitCorePercent},
	{role: router, figure: "relayed tokens, with the agent's part", benchmark: "RelayedToken", slope: "added-us/token", factor: routerTokens * percentPerUs, times: "3,143 tokens/s", unit: percent},
	{role: router, figure: "open streams, with the agent's part", benchmark: "StreamMemory", slope: "added-KiB/stream", factor: routerRequests * answerSeconds * mbPerKiB, times: "8.9 requests/s x 20 s", unit: megabytes},
	{role: router, figure: "usage, 18 workspaces changed", benchmark: "Usage/workspaces=18", slope: "report-B", factor: 1, times: "1 report/s", unit: perSecond, limit: limitBytes},
	{role: router, figure: "usage, all workspaces in one second", benchmark: "Usage/workspaces=1500", slope: "report-B", factor: 1, times: "in a burst", unit: "B"},
	{role: agent, figure: "idle subscription", benchmark: subscriber, slope: "idle-B/s", factor: 1, times: "1 subscription", unit: perSecond, limit: limitBytes},
	{role: agent, figure: "heartbeats, message alone", benchmark: "Aggregate", slope: "heartbeat-B", factor: 1, times: "1 heartbeat/s", unit: perSecond, limit: limitBytes},
	{role: agent, figure: "changes of configuration", benchmark: subscriber, slope: "change-B", factor: changesPerSecond, times: "3,400 changes a day", unit: perSecond, limit: limitBytes},
	{role: agent, figure: "changes, both ends", benchmark: subscriber, slope: "change-cpu-us", factor: changesPerSecond * percentPerUs, times: "3,400 changes a day", unit: percent, limit: limitCorePercent},
	{role: agent, figure: "subscription, both ends", benchmark: subscriber, slope: "heap-KB/subscriber", factor: mbPerKiB, times: "1 subscription", unit: megabytes, limit: limitMegabytes},
	{role: agent, figure: "relayed tokens, with the router's part", benchmark: "RelayedToken", slope: "added-us/token", factor: agentTokens * percentPerUs, times: "1,618 tokens/s", unit: percent},
	{role: host, figure: "loads, both ends", benchmark: subscriber, slope: "loads-cpu-%", factor: routersPerHost, times: "350 routers on 9 hosts", unit: percent},
	{role: host, figure: "loads sent", benchmark: subscriber, slope: "loads-B/s", factor: routersPerHost, times: "350 routers on 9 hosts", unit: perSecond},
	{role: host, figure: "subscriptions, both ends", benchmark: subscriber, slope: "heap-KB/subscriber", factor: subscribersPerHost * mbPerKiB, times: "1,030 subscribers on 9 hosts", unit: megabytes},
	{role: host, figure: "first states after a restart of all", benchmark: subscriber, slope: "first-KB/subscriber", factor: subscribersPerHost * mbPerKiB, times: "1,030 subscribers on 9 hosts", unit: megabytes},
	{role: leader, figure: "usage, 18 workspaces changed", benchmark: "Usage/workspaces=18", slope: "ns/op", factor: nodes * percentPerNs, times: "350 reports/s", unit: percent},
	{role: leader, figure: "usage, all workspaces in one second", benchmark: "Usage/workspaces=1500", slope: "ns/op", factor: 1e-6, times: "one report", unit: "ms"},
	{role: leader, figure: "aggregates in", benchmark: "Aggregate", slope: "aggregate-B", factor: limitHosts - 1, times: "8 followers", unit: perSecond},
	{role: leader, figure: "answers to them", benchmark: "Aggregate", slope: "answer-B", factor: limitHosts - 1, times: "8 followers", unit: perSecond},
	{role: host, figure: "agreement, idle", benchmark: "Idle", slope: "%core/host", factor: 1, times: "1 host of 3", unit: percent},
	{role: host, figure: "agreement, idle", benchmark: "Idle", slope: "bytes/s/host", factor: 1, times: "1 host of 3", unit: perSecond},
	{role: host, figure: "book with every table full", benchmark: "BookFull", slope: "heap-bytes", factor: mbPerByte, times: "1 book", unit: megabytes},
	{role: host, figure: "ledger, full", benchmark: "Memory", slope: "heap-B/entry", factor: ledgerEntries * mbPerByte, times: "400,000 entries", unit: megabytes},
	{role: host, figure: "snapshot of a full ledger", benchmark: "Memory", slope: "snapshot-ns/entry", factor: ledgerEntries / 1e6, times: "400,000 entries", unit: "ms", limit: limitFirstTokenMs},
	{role: host, figure: "ledger, 1% protected, 24 h", benchmark: "Memory", slope: "heap-B/entry", factor: requestsPerSecond * protectedShare * secondsPerDay * mbPerByte, times: "31 requests/s x 24 h", unit: megabytes, limit: hostMegabytes},
	{role: host, figure: "ledger, 10% protected, 24 h", benchmark: "Memory", slope: "heap-B/entry", factor: 10 * requestsPerSecond * protectedShare * secondsPerDay * mbPerByte, times: "310 requests/s x 24 h", unit: megabytes, limit: hostMegabytes},
	{role: host, figure: "claims with synced files", benchmark: "Ledger/log=three-synced/batch=100/callers=400", slope: "claims/s", factor: 1, times: "1 leader", unit: "claims/s", limit: requestsPerSecond, atLeast: true},
	{role: everyone, figure: "change in force at 300, slowest", benchmark: "Spread/subscribers=300", slope: "max-ms", factor: float64(subscribers) / 300, times: "1,030 of 300 subscribers", unit: "ms", limit: limitSpreadMs},
}
