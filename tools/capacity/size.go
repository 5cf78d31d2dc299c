package main

// The size to design for, as the developers' page states it.
const (
	nodes             = 350       // routers
	workers           = 680       // agents, one beside each endpoint
	requestsPerSecond = 3_100     // at the peak
	tokensPerSecond   = 1_100_000 // at the peak
	changesPerDay     = 3_400     // of configuration
	workspacesInUse   = 1_500     // steady
	failureDomains    = 5         // in two regions
	failuresPerDay    = 21        // hosts
	restartsPerDay    = 160       // hosts restarted or replaced
	secondsPerDay     = 86_400
)

// Limits that the developers' page sets.
const (
	limitCorePercent  = 2.4    // of a core, for control, each node
	limitMegabytes    = 32     // for control, each node
	limitBytes        = 5_000  // a second, for control, each node
	limitHosts        = 9      // set aside for control
	limitFirstTokenMs = 490    // for 95 in 100; a protected claim waits while nothing is applied
	limitSpreadMs     = 18_000 // ticket accepted to in force everywhere
)

// Limits that follow from the project's own settings, for a control host.
const (
	hostCorePercent = 100                  // one core, since one lock guards the sums
	hostMegabytes   = float64(1<<30) / 1e6 // the ledger's default bound on its bytes
)

// What the layout that docs/CAPACITY.md describes makes of the size.
const (
	subscribers        = nodes + workers
	routerTokens       = float64(tokensPerSecond) / nodes   // a second at one router
	agentTokens        = float64(tokensPerSecond) / workers // a second at one agent
	routerRequests     = float64(requestsPerSecond) / nodes // a second at one router
	subscribersPerHost = float64(subscribers) / limitHosts
	routersPerHost     = float64(nodes) / limitHosts // only routers follow the directory and loads
	changesPerSecond   = float64(changesPerDay) / secondsPerDay
	logLinesPerRequest = 2       // at a router: the route and the end
	answerSeconds      = 20      // stated: how long an answer streams, mean
	ledgerEntries      = 400_000 // default bound of the ledger
	protectedShare     = 0.01    // stated: share of requests that are protected
)
