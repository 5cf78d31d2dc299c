package main

// The size to design for, as stated by the project's developers.
const (
	routerCount                = 350
	agentCount                 = 680 // one beside each endpoint
	peakRequestsPerSecond      = 3_100
	peakTokensPerSecond        = 1_100_000
	configurationChangesPerDay = 3_400
	activeWorkspaces           = 1_500 // in steady use
	failureDomains             = 5     // in two regions
	hostFailuresPerDay         = 21
	hostRestartsPerDay         = 160 // including replaced hosts
	secondsPerDay              = 86_400
)

// Limits stated by the project's developers.
const (
	limitControlCorePercent    = 2.4   // of a core, for the control plane, at each node
	limitControlMegabytes      = 32    // for the control plane, at each node
	limitControlBytesPerSecond = 5_000 // for the control plane, at each node
	limitControlHosts          = 9     // hosts reserved for the control plane
	// At the 95th percentile. A ledger snapshot must also end within it, since a
	// protected claim waits while no command is applied.
	limitFirstTokenMs  = 490
	limitPropagationMs = 18_000 // from the acceptance of a ticket until it applies everywhere
)

// Limits for a control host that follow from the project's defaults and design.
const (
	limitControlHostCorePercent = 100                  // one core, since a single lock guards the aggregated usage
	limitLedgerMegabytes        = float64(1<<30) / 1e6 // the ledger's default size limit
)

// Values that follow from the size with the layout described in docs/CAPACITY.md.
const (
	subscriberCount               = routerCount + agentCount
	tokensPerSecondPerRouter      = float64(peakTokensPerSecond) / routerCount
	tokensPerSecondPerAgent       = float64(peakTokensPerSecond) / agentCount
	requestsPerSecondPerRouter    = float64(peakRequestsPerSecond) / routerCount
	subscribersPerControlHost     = float64(subscriberCount) / limitControlHosts
	routersPerControlHost         = float64(routerCount) / limitControlHosts // only routers subscribe to the directory and the loads
	configurationChangesPerSecond = float64(configurationChangesPerDay) / secondsPerDay
	logLinesPerRequest            = 2       // at a router: one for the route, one for the end of the request
	meanStreamSeconds             = 20      // stated, not measured
	limitLedgerEntries            = 400_000 // the ledger's default limit on entries
	protectedFraction             = 0.01    // stated, not measured
)
