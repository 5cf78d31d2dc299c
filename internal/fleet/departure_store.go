package fleet

import (
	"context"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/departures"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// departureOpenRetryInterval is the time between two tries to open the file of departures.
const departureOpenRetryInterval = time.Second

// departureStore writes departures to the file of this host, all that wait for it at once. The Server's lock guards
// it, but the file, which only its writer uses. Without a folder departures are held in memory only.
type departureStore struct {
	folder string
	next   *storeBatch              // to be written
	stored map[string]heldDeparture // by ID of the endpoint
	wake   chan struct{}
	// isOpen reports that the departures of the file are in the directory, and wasComplete that these are all that
	// this host held before.
	isOpen, wasComplete bool
}

// storeBatch holds departures that are written together.
type storeBatch struct {
	departures map[string]directory.Endpoint // by ID
	done       chan struct{}                 // closed once err is known
	err        error
}

func newDepartureStore(folder string) *departureStore {
	return &departureStore{folder: folder, next: newStoreBatch(), stored: map[string]heldDeparture{}, wake: make(chan struct{}, 1)}
}

func newStoreBatch() *storeBatch {
	return &storeBatch{departures: map[string]directory.Endpoint{}, done: make(chan struct{})}
}

// add adds the departures that are not stored to the next batch. It returns the batch, nil if nothing is to be written.
// The caller holds the lock.
func (d *departureStore) add(departed ...directory.Endpoint) *storeBatch {
	if d.folder == "" {
		return nil
	}
	added := false
	for _, e := range departed {
		if stored, ok := d.stored[e.ID]; !ok || !stored.covers(e) {
			d.next.departures[e.ID] = e
			added = true
		}
	}
	if !added {
		return nil
	}
	d.wakeWriter()
	return d.next
}

// wakeWriter makes the writer write the next batch.
func (d *departureStore) wakeWriter() {
	select {
	case d.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// wait waits until the batch is written or ctx ends. No batch is one that is written.
func (b *storeBatch) wait(ctx context.Context) error {
	if b == nil {
		return nil
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// storeDepartures reads back the departures that this host held before its start, and writes those that are added until
// ctx ends.
func (s *Server) storeDepartures(ctx context.Context) {
	if s.departures.store.folder == "" {
		return
	}
	file := s.openDepartures(ctx)
	if file == nil {
		s.refuseDepartures(context.Cause(ctx))
		return
	}
	defer func() {
		if err := file.Close(); err != nil {
			s.logger.Warn("file of departures not closed", "error", err)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			s.writeDepartures(file) // of calls that are being answered
			s.refuseDepartures(context.Cause(ctx))
			return
		case <-s.departures.store.wake:
			s.writeDepartures(file)
		}
	}
}

// openDepartures opens the file, and merges its departures into the directory. It tries until that succeeds; nil means
// that ctx has ended.
func (s *Server) openDepartures(ctx context.Context) *departures.File {
	store := s.departures.store
	for {
		file, content, err := departures.Open(store.folder, s.isDeparted)
		if err == nil {
			s.restoreDepartures(content)
			return file
		}
		s.logger.Error("file of departures not opened, departures are refused", "error", err)
		if !wait.For(ctx, departureOpenRetryInterval) {
			return nil
		}
	}
}

// restoreDepartures merges the departures that the file held.
func (s *Server) restoreDepartures(content departures.Content) {
	now := time.Now()
	var restored []directory.Endpoint
	for _, record := range content.Departures {
		e, err := departureFromRecord(record, now)
		if err != nil {
			s.logger.Warn("stored departure left out", "endpoint", record.Departure.Id, "error", err)
			continue
		}
		restored = append(restored, e)
	}
	s.mergeReports(restored...)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range restored {
		s.departures.store.stored[e.ID] = heldAs(e)
	}
	s.departures.store.isOpen, s.departures.store.wasComplete = true, content.Complete
	s.departures.settle(s.log.Status().Members, s.selfURL, now.Sub(s.startedAt))
	s.departures.store.wakeWriter()
	s.logger.Info("departures read back", "departures", len(restored), "complete", content.Complete, "unreadable", content.UnreadableRecords)
}

// writeDepartures writes the next batch. Once this host has what others held, the file is complete.
func (s *Server) writeDepartures(file *departures.File) {
	s.mu.Lock()
	store, now := s.departures.store, time.Now()
	batch, settled := store.next, s.departures.isSettled
	store.next = newStoreBatch()
	s.mu.Unlock()
	var records []*pb.StoredDeparture
	for _, e := range batch.departures {
		records = append(records, &pb.StoredDeparture{Departure: endpointToProto(e, now), DepartedUnixMs: e.LastReportAt.UnixMilli()})
	}
	startedAt := time.Now()
	batch.err = file.Append(records, settled)
	close(batch.done)
	if batch.err != nil {
		s.logger.Error("departures not stored", "departures", len(records), "took_ms", time.Since(startedAt).Milliseconds(), "error", batch.err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range batch.departures {
		store.stored[e.ID] = heldAs(e)
	}
}

// refuseDepartures lets all further batches fail.
func (s *Server) refuseDepartures(reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departures.store.next.err = reason
	close(s.departures.store.next.done)
}

// isDeparted reports whether the directory has a departure of an endpoint.
func (s *Server) isDeparted(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.directory.Get(id)
	return known && e.HasDeparted()
}

// departureFromRecord returns a departure with its age. The clock of the host may have been set while no process ran: an age below 0, or
// of RemovalTimeout and more, says nothing. The departure is then held as if it were new, unless it does
// not say of which start it is: it would also be one of a later incarnation.
func departureFromRecord(record *pb.StoredDeparture, now time.Time) (directory.Endpoint, error) {
	e, err := endpointFromProto(record.Departure, now)
	if err != nil {
		return e, err
	}
	age := now.Sub(time.UnixMilli(record.DepartedUnixMs))
	e.LastReportAt = now.Add(-age)
	if age >= 0 && age < directory.RemovalTimeout || e.StartedUnixMS == 0 {
		return e, nil
	}
	e.State, e.LastReportAt = directory.Gone, now
	return e, nil
}
