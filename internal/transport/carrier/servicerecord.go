package carrier

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

var (
	// ErrRecordChanged means that another process has written the service record since it
	// was read.
	ErrRecordChanged = errors.New("service record changed since it was read")
	// ErrRecordTooLarge means that the service record doesn't fit into an object of the
	// store.
	ErrRecordTooLarge = errors.New("service record too large for the store")
)

// recordDelay is the time from a change of the routes to its record. Changes that follow
// each other are recorded together, and a process that has just started knows the other
// members by then.
const recordDelay = time.Second

// serviceRecord is what a balancer knows of the service record in the store.
type serviceRecord struct {
	// record is nil if the store has none. wasRead says that the store has answered since
	// the record was last known to have changed.
	record   *catalog.ServiceRecord
	revision uint64
	wasRead  bool
}

// readServices reads the service record unless its content is known. The services that
// addresses had by it count as former ones of the routes in force.
func (no *node) readServices(ctx context.Context) error {
	if no.store.Services == nil || no.knowsServices() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record, revision, err := no.store.Services(ctx)
	if err != nil {
		return err
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	no.recorded = serviceRecord{record: record, revision: revision, wasRead: true}
	if record == nil {
		return nil
	}
	klog.InfoS("Service record read", "version", record.Version, "addresses", len(record.Services))
	if no.routes != nil {
		now := time.Now()
		no.routes = no.former.Succeed(now, record.Routes(), no.routes)
		no.onRoutes(now, no.routes)
	}
	return nil
}

func (no *node) knowsServices() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.recorded.wasRead
}

// doubtServices has the service record read again, and written if it lacks services.
func (no *node) doubtServices() {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.recorded.wasRead = false
	signal(no.servicesChanged)
}

// recordServices keeps the service record up to date until the context ends. One balancer
// of each failure domain does so, the first that watches the store.
func (no *node) recordServices(ctx context.Context) error {
	if no.store.WriteServices == nil {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-no.servicesChanged:
		}
		if !sleepContext(ctx, recordDelay) {
			return nil
		}
		var bo backoff
		for began := time.Now(); !no.recordOnce(ctx); began = time.Now() {
			if !bo.wait(ctx, began, maxBackoff) {
				return nil
			}
		}
	}
}

// recordOnce writes the service record if it lacks services of the routes in force. It
// reports false if that is to be tried again, which a record that is too large isn't.
func (no *node) recordOnce(ctx context.Context) bool {
	if err := no.readServices(ctx); err != nil {
		klog.V(1).InfoS("Service record not read", "err", err)
		return false
	}
	record, revision := no.missingRecord()
	if record == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := no.store.WriteServices(ctx, record, revision)
	no.mu.Lock()
	defer no.mu.Unlock()
	if errors.Is(err, ErrRecordTooLarge) {
		klog.ErrorS(err, "Service record not written; former services are lost if all processes end at once")
		return true
	}
	if err != nil {
		// The call may have been done all the same.
		no.recorded.wasRead = false
		klog.V(1).InfoS("Service record not written", "version", record.Version, "err", err)
		return false
	}
	no.recorded = serviceRecord{record: record, revision: written, wasRead: true}
	no.metrics.Count("ServiceRecordsWritten", 1)
	klog.InfoS("Service record written", "version", record.Version, "addresses", len(record.Services))
	return true
}

// missingRecord returns the record to write and the revision of the one that it replaces,
// nil if none is to be written.
func (no *node) missingRecord() (*catalog.ServiceRecord, uint64) {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.routes == nil || !no.view.WatchesFirst() || no.recorded.record.Covers(no.routes) {
		return nil, 0
	}
	if no.recorded.record != nil && no.recorded.record.Version > no.routes.Version {
		return nil, 0
	}
	return catalog.NewServiceRecord(no.routes), no.recorded.revision
}
