// Package fleet connects entry hosts with control hosts. A Server on each control host
// serves the configuration document and the directory of endpoints; a Follower on each
// entry watches every control host. Entries also exchange their load through the
// control hosts. Control hosts pass on to each other which endpoints leave.
package fleet

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/throttle"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Timing of watches.
const (
	// keepAliveInterval is how often a control host sends an event while nothing
	// changes. Entries drop the watch of a host that is silent for
	// watchSilenceTimeout.
	keepAliveInterval   = 400 * time.Millisecond
	watchSilenceTimeout = 1200 * time.Millisecond
	// confirmTimeout limits one attempt to confirm the document with a quorum.
	confirmTimeout = time.Second
	expireInterval = 500 * time.Millisecond
	// maxFormationWait is how long after its start a host refuses the first document
	// for lack of voters.
	maxFormationWait = 8 * time.Second
	// operatorTimeout bounds the answer to a call of an operator, below the bound of an acknowledgement. For a change, it and
	// putTryTimeout, that of one proposal, grow by putTimePerMiB.
	operatorTimeout = 3500 * time.Millisecond
	// ignoredReportLogInterval is the least time between two log lines on reports without effect.
	ignoredReportLogInterval = time.Second
	putTryTimeout            = 1500 * time.Millisecond
	putTimePerMiB            = time.Second
	putRetryDelay            = 20 * time.Millisecond
	// eventBatchDelay gathers changes that come close together into one event.
	eventBatchDelay = 5 * time.Millisecond
)

// ReplicatedLog is the log that the control hosts share.
type ReplicatedLog interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	ReadBarrier(ctx context.Context) error
	Status() replica.Status
}

// ClusterFormingError reports that the cluster has too few voters yet to store a first
// document.
type ClusterFormingError struct {
	Voters, RequiredVoters int
}

func (e *ClusterFormingError) Error() string { return "the control hosts are still joining" }

// Server serves entries on a control host. It is safe for concurrent use.
type Server struct {
	log           ReplicatedLog
	state         StateSource
	minVoters     int
	failureDomain string
	selfURL       string
	httpClient    *http.Client
	logger        *slog.Logger
	startedAt     time.Time
	stopped       chan struct{} // closed when Run has returned

	mu          sync.Mutex
	directory   *directory.Directory
	changed     chan struct{}  // closed at the next change of directory or watchCounts
	watchCounts map[string]int // open watches, by name of the entry
	loads       *loadTable
	quarantine  *quarantineKeeper
	throttle    *throttle.Table
	streams     *streamStarts
	shares      *shareKeeper
	usage       *usageKeeper // nil if usage is not counted
	departures  *departureKeeper
	// decodeServices is nil if the services of documents are not known.
	decodeServices func(content []byte) (map[string]bool, error)
	// reportIgnoredAt is when it was last logged that a report has no effect.
	reportIgnoredAt time.Time
	shownIndex      uint64 // highest applied index of the log that an entry may have seen

	storingQuarantine atomic.Bool   // one at a time
	announcedVersion  atomic.Uint64 // the highest version of a document that was sent on a watch
}

// ServerOptions configures a Server.
type ServerOptions struct {
	Log           ReplicatedLog
	State         StateSource  // of the log
	FailureDomain string       // failure domain of the host
	SelfURL       string       // URL under which the other control hosts know this one
	MinVoters     int          // needed for the first document, until maxFormationWait is over
	HTTPClient    *http.Client // to the other control hosts
	Logger        *slog.Logger
	// DecodeServices returns the names of the services in a document. Nil if they are not known.
	DecodeServices func(content []byte) (map[string]bool, error)
	// DepartureFolder is the folder for the file of departures, "" on a host without a disk.
	DepartureFolder string
	// UsageWindow is the length of the windows in which usage is counted, 0 if it isn't.
	// UsageRetention is how long after its end a window is kept.
	UsageWindow, UsageRetention time.Duration
}

// NewServer returns a server without endpoints; Run must be called once.
func NewServer(o ServerOptions) *Server {
	return &Server{log: o.Log, state: o.State, minVoters: o.MinVoters, failureDomain: o.FailureDomain, selfURL: o.SelfURL, httpClient: o.HTTPClient, logger: o.Logger, startedAt: time.Now(),
		stopped:   make(chan struct{}),
		directory: directory.New(), changed: make(chan struct{}), watchCounts: map[string]int{}, loads: newLoadTable(), quarantine: newQuarantineKeeper(), throttle: throttle.New(), streams: newStreamStarts(), shares: newShareKeeper(), usage: newUsageKeeper(o.UsageWindow, o.UsageRetention), departures: newDepartureKeeper(o.DepartureFolder), decodeServices: o.DecodeServices}
}

// Handler returns the handler of FleetService and its path.
func (s *Server) Handler() (path string, h http.Handler) {
	return trefoilkeelv1connect.NewFleetServiceHandler(s, connect.WithReadMaxBytes(rpc.MaxMessageBytes))
}

// NotAcknowledgedError reports that a document is not acknowledged.
type NotAcknowledgedError struct {
	MayComeIntoForce bool  // it may be stored already, or be stored yet
	Cause            error // a *DataFolderClosedError, *replica.CopyOddError, *ClusterFormingError or one of the log
}

func (e *NotAcknowledgedError) Error() string {
	if e.MayComeIntoForce {
		return "the configuration may still come into force: " + e.Cause.Error()
	}
	return "the configuration was not stored: " + e.Cause.Error()
}

func (e *NotAcknowledgedError) Unwrap() error { return e.Cause }

// PutDocument stores a validated document if its version is the highest, and returns once
// that is durable on a quorum, or operatorTimeout is over. An error is a *NotAcknowledgedError.
func (s *Server) PutDocument(ctx context.Context, version uint64, content []byte) error {
	if err := s.checkFormed(); err != nil {
		return &NotAcknowledgedError{Cause: err}
	}
	compressed, err := document.Compress(content)
	if err != nil {
		return &NotAcknowledgedError{Cause: err}
	}
	return s.proposeDocument(ctx, document.EncodeCommand(version, compressed))
}

// proposeDocument proposes a document until that has succeeded, its time is over or the data folder is closed. It may be
// proposed again although the outcome is unknown, since a known version has no effect.
func (s *Server) proposeDocument(ctx context.Context, command []byte) error {
	transfer := putTimePerMiB * time.Duration(len(command)) >> 20
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout+transfer)
	defer cancel()
	var unknown *replica.OutcomeUnknownError
	for {
		tryCtx, cancelTry := context.WithTimeout(ctx, putTryTimeout+transfer)
		_, err := s.log.Propose(tryCtx, command)
		cancelTry()
		if err == nil {
			return nil
		}
		isUnknown := errors.As(err, &unknown) // unknown keeps the one of an earlier try
		var notRecorded *replica.NotRecordedError
		if !isUnknown && !errors.As(err, &notRecorded) || !wait.For(ctx, putRetryDelay) {
			if unknown != nil {
				return &NotAcknowledgedError{MayComeIntoForce: true, Cause: unknown}
			}
			return &NotAcknowledgedError{Cause: err}
		}
		s.logger.Debug("configuration proposed again", "error", err)
	}
}

// checkFormed refuses the first document while the cluster has too few voters to lose
// a host safely.
func (s *Server) checkFormed() error {
	view := s.state.State()
	machine := view.Machine
	if machine == nil {
		return view.unavailable()
	}
	if version, _, _ := machine.Current(); version > 0 || time.Since(s.startedAt) > maxFormationWait {
		return nil
	}
	voters := 0
	for _, m := range s.log.Status().Members {
		if m.IsVoter {
			voters++
		}
	}
	if voters < s.minVoters {
		return &ClusterFormingError{Voters: voters, RequiredVoters: s.minVoters}
	}
	return nil
}

// GetDocument returns the newest document, confirmed by a quorum after the call began.
// Version 0 means that there is none. Errors are *DataFolderClosedError, *replica.CopyOddError,
// *StateReplacedError or those of the log or of decompression. The answer takes operatorTimeout at most.
func (s *Server) GetDocument(ctx context.Context) (version uint64, content []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	machine := s.state.State().Machine
	if err := readBarrier(ctx, s.log, s.state, machine); err != nil {
		return 0, nil, err
	}
	version, compressed, _ := machine.Current()
	content, err = document.Decompress(compressed)
	return version, content, err
}

// UpdateEndpoint merges the report of an endpoint into the directory. It returns once a report
// that the endpoint drains may be acknowledged. Errors are *DepartureNotHeldError or that of ctx.
func (s *Server) UpdateEndpoint(ctx context.Context, e directory.Endpoint) error {
	s.mergeReportsBy((*directory.Directory).MergeDirectReport, e)
	if e.State != directory.Draining {
		s.logIgnoredReport(e)
		return nil
	}
	return s.holdDeparture(ctx, e)
}

// RemoveEndpoint marks an endpoint that leaves as gone, and returns once that may be
// acknowledged. startedUnixMS is the start of its incarnation, 0 if the endpoint did not send it.
// Errors are *DepartureNotHeldError or that of ctx.
func (s *Server) RemoveEndpoint(ctx context.Context, id string, startedUnixMS int64, now time.Time) error {
	s.mu.Lock()
	changed := s.directory.MarkGone(id, startedUnixMS, now)
	if changed {
		s.notifyWatchers()
	}
	departure := directory.Endpoint{ID: id, StartedUnixMS: startedUnixMS, State: directory.Gone, LastReportAt: now}
	if known, ok := s.directory.Get(id); ok && known.State == directory.Gone && (startedUnixMS == 0 || known.StartedUnixMS == startedUnixMS) {
		departure = known
	}
	s.mu.Unlock()
	if changed {
		s.logChange(departure)
	}
	return s.holdDeparture(ctx, departure)
}

// mergeReports merges what other hosts have passed on into the directory.
func (s *Server) mergeReports(reports ...directory.Endpoint) {
	s.mergeReportsBy((*directory.Directory).MergeReport, reports...)
}

// mergeReportsBy merges reports into the directory by one of its methods.
func (s *Server) mergeReportsBy(merge func(*directory.Directory, directory.Endpoint) (changed bool), reports ...directory.Endpoint) {
	var changed []directory.Endpoint
	s.mu.Lock()
	for _, e := range reports {
		if merge(s.directory, e) {
			changed = append(changed, e)
		}
	}
	if len(changed) > 0 {
		s.notifyWatchers()
	}
	s.mu.Unlock()
	for _, e := range changed {
		s.logChange(e)
	}
}

// logIgnoredReport logs, at most once in ignoredReportLogInterval, that a report has no effect since another endpoint or
// incarnation outranks it.
func (s *Server) logIgnoredReport(e directory.Endpoint) {
	now := time.Now()
	s.mu.Lock()
	isLogged := now.Sub(s.reportIgnoredAt) >= ignoredReportLogInterval && s.directory.IsOutranked(e)
	if isLogged {
		s.reportIgnoredAt = now
	}
	s.mu.Unlock()
	if isLogged {
		s.logger.Warn("endpoint's report has no effect, another one has its ID or address", "endpoint", e.ID, "service", e.Service,
			"address", e.Address, "born", e.StartedUnixMS, "sequence", e.Sequence)
	}
}

func (s *Server) logChange(e directory.Endpoint) {
	s.logger.Info("endpoint changed", "endpoint", e.ID, "state", e.State.String(), "service", e.Service,
		"address", e.Address, "born", e.StartedUnixMS, "sequence", e.Sequence)
}

// notifyWatchers makes every watch send the next event. The caller holds the lock.
func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Run expires silent endpoints, polls the load of the other failure domains, exchanges departures
// with the other control hosts, decides on quarantines and records the versions that serve until
// ctx ends, and then ends the watches.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.stopped)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.pollPeers(ctx); return nil })
	group.Go(func() error { s.storeDepartures(ctx); return nil })
	group.Go(func() error { s.passDepartures(ctx); return nil })
	group.Go(func() error { s.fetchDepartures(ctx); return nil })
	group.Go(func() error { s.keepQuarantine(ctx); return nil })
	group.Go(func() error { s.keepServedVersions(ctx); return nil })
	group.Go(func() error { wait.Every(ctx, expireInterval, s.expireEndpoints); return nil })
	group.Go(func() error { s.followAppliedVersions(ctx); return nil })
	return group.Wait()
}

// followAppliedVersions logs each version of the document that this host has applied, and takes its services, until ctx ends.
func (s *Server) followAppliedVersions(ctx context.Context) {
	logged := uint64(0)
	for {
		view := s.state.State()
		var changed <-chan struct{}
		if view.Machine != nil {
			var version uint64
			version, _, changed = view.Machine.Current()
			if version != logged {
				s.logger.Info("configuration applied", "version", version, "index", s.log.Status().AppliedIndex)
				logged = version
				s.updateServices(view.Machine)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-view.Replaced:
		}
	}
}

// updateServices takes the services of the newest document that this host has applied. One that can't be decoded changes
// nothing.
func (s *Server) updateServices(machine *document.StateMachine) {
	version, compressed, _ := machine.Current()
	if s.decodeServices == nil || version == 0 {
		return
	}
	content, err := document.Decompress(compressed)
	var services map[string]bool
	if err == nil {
		services, err = s.decodeServices(content)
	}
	if err != nil {
		s.logger.Error("services of the configuration not read", "version", version, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.SetServices(services)
}

// expireEndpoints applies the timeouts of the directory, of limits and of usage, and notifies watches if an
// endpoint has become silent.
func (s *Server) expireEndpoints() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle.Expire(time.Now())
	s.expireUsage()
	s.departures.expire(s.directory)
	if s.directory.Expire(time.Now()) {
		s.notifyWatchers()
	}
}

// EndpointCount returns the number of endpoints in the directory.
func (s *Server) EndpointCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Len()
}

// watchState records what has been sent to one watch.
type watchState struct {
	machine           *document.StateMachine // that the watch reads
	confirmed         bool                   // machine is up to date, as of the watch's own read barrier
	awaitConfirmed    chan struct{}          // closed once machine is up to date
	stopAwaiting      context.CancelFunc
	version           uint64 // of the document, the highest that was sent
	directoryRevision uint64
	entryCount        int
	controlURLs       []string
	quarantineSent    bool
	servedSent        bool
	served            []origin.Origin
	voters            []uint64
	counts            bool
	quarantined       []uint64
}

// Watch sends everything that this host knows, then every change.
func (s *Server) Watch(ctx context.Context, req *connect.Request[pb.WatchFleetRequest], stream *connect.ServerStream[pb.FleetEvent]) error {
	s.addWatches(req.Msg.Entry, 1)
	defer s.addWatches(req.Msg.Entry, -1)
	w := &watchState{stopAwaiting: func() {}}
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		view := s.state.State()
		s.readFrom(ctx, w, view.Machine)
		var documentChanged <-chan struct{}
		if w.machine != nil {
			_, _, documentChanged = w.machine.Current()
		}
		event, changed := s.nextEvent(w)
		if err := stream.Send(event); err != nil {
			return err
		}
		pendingConfirm := w.awaitConfirmed
		if w.confirmed {
			pendingConfirm = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.stopped:
			return nil
		case <-ticker.C:
		case <-changed:
			time.Sleep(eventBatchDelay)
		case <-view.Replaced:
		case <-documentChanged:
		case <-pendingConfirm:
			w.confirmed = true
		}
	}
}

// readFrom makes a watch read a state machine, nil while there is none. One of another opening of the
// data folder must be confirmed anew. No state is confirmed before this host holds the departures that
// were acknowledged before its start.
func (s *Server) readFrom(ctx context.Context, w *watchState, machine *document.StateMachine) {
	if w.machine == machine {
		return
	}
	w.stopAwaiting()
	w.machine, w.confirmed, w.awaitConfirmed, w.stopAwaiting = machine, false, nil, func() {}
	if machine == nil {
		return
	}
	confirmed := make(chan struct{})
	ctx, w.stopAwaiting = context.WithCancel(ctx)
	go func() {
		s.awaitDepartures(ctx)
		if retryBarrier(ctx, func(ctx context.Context) error { return readBarrier(ctx, s.log, s.state, machine) }) {
			close(confirmed)
		}
	}()
	w.awaitConfirmed = confirmed
}

// addWatches adjusts the number of open watches of an entry.
func (s *Server) addWatches(entry string, delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watchCounts[entry] += delta; s.watchCounts[entry] <= 0 {
		delete(s.watchCounts, entry)
	}
	s.notifyWatchers()
}

// nextEvent returns what a watch has not been sent yet, and a channel that is closed at
// the next change. It includes the version of the document only once that is confirmed, and never a
// lower one than before.
func (s *Server) nextEvent(w *watchState) (*pb.FleetEvent, <-chan struct{}) {
	out := &pb.FleetEvent{Confirmed: w.confirmed, FailureDomain: s.failureDomain}
	if w.confirmed {
		version, _, _ := w.machine.Current()
		w.version = max(w.version, version)
		s.announce(w.version)
	}
	out.Version = w.version
	if urls := s.controlURLs(); !slices.Equal(urls, w.controlURLs) {
		w.controlURLs = urls
		out.ControlUrls = urls
	}
	stored := s.storedQuarantine()
	if w.confirmed {
		out.Served = s.servedUpdate(w)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if parts := s.quarantine.quarantined(stored); !w.quarantineSent || !slices.Equal(parts, w.quarantined) {
		w.quarantineSent, w.quarantined = true, parts
		out.Quarantine = &pb.QuarantinedParts{Parts: parts}
	}
	if len(s.watchCounts) != w.entryCount {
		w.entryCount = len(s.watchCounts)
		out.Entries = uint32(w.entryCount)
	}
	var endpoints []directory.Endpoint
	endpoints, w.directoryRevision = s.directory.ChangedSince(w.directoryRevision)
	now := time.Now()
	for _, e := range endpoints {
		out.Endpoints = append(out.Endpoints, endpointToProto(e, now))
	}
	return out, s.changed
}

// controlURLs returns the URLs of all control hosts.
func (s *Server) controlURLs() (urls []string) {
	for _, m := range s.log.Status().Members {
		urls = append(urls, m.URL)
	}
	return urls
}

// announce records a version of the document that is sent on a watch.
func (s *Server) announce(version uint64) {
	for known := s.announcedVersion.Load(); known < version; known = s.announcedVersion.Load() {
		if s.announcedVersion.CompareAndSwap(known, version) {
			s.logger.Info("configuration announced", "version", version)
			return
		}
	}
}

// Document returns the newest document that this host has applied, unless it has sent the version of a newer one on a watch.
func (s *Server) Document(context.Context, *connect.Request[pb.DocumentRequest]) (*connect.Response[pb.DocumentResponse], error) {
	view := s.state.State()
	machine := view.Machine
	if machine == nil {
		return nil, connect.NewError(connect.CodeUnavailable, view.unavailable())
	}
	version, content, _ := machine.Current()
	if announced := s.announcedVersion.Load(); version < announced {
		return nil, connect.NewError(connect.CodeUnavailable, &StateOutdatedError{Version: version, RequiredVersion: announced})
	}
	return connect.NewResponse(&pb.DocumentResponse{Version: version, Content: content}), nil
}
