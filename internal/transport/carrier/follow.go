package carrier

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// routesWatch is the state of followRoutes: that of its reading, the history of the last
// answer, and whether the store is watched.
type routesWatch struct {
	reading
	history History
	// coverage is that of the versions that were read up to the position without skipping
	// one, the zero value if none was read.
	coverage catalog.Coverage
	watching bool
}

// followRoutes reads the routes from the store, and then watches it for newer ones
// while watchesStore reports true. After a failure a watch doesn't wait for a change,
// so that it ends early where the store doesn't answer.
func (no *node) followRoutes(ctx context.Context) error {
	var rw routesWatch
	for ctx.Err() == nil {
		if watches, next := no.checkWatch(&rw); !watches && rw.position.Revision > 0 {
			rw.rest()
			sleepContext(ctx, time.Until(next))
			continue
		}
		began := time.Now()
		next, err := no.fetchRoutes(ctx, &rw, no.watchDeadline(&rw, began))
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrRevisionExpired):
			klog.InfoS("Revision expired in the store; reading the configuration again", "position", rw.position,
				"inARow", rw.expired.failures+1, "reason", err)
			rw.expire(ctx, began)
		case err != nil:
			no.reportStoreFailure(err, &rw.failed)
			rw.failed.wait(ctx, began, no.retryPause())
		default:
			no.advancePosition(&rw, next)
		}
	}
	return nil
}

// watchDeadline returns until when a watch that begins now is to wait for a change.
func (no *node) watchDeadline(rw *routesWatch, now time.Time) time.Time {
	if rw.failed.failures > 0 {
		return now
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.view.WatchDeadline(now)
}

// advancePosition takes over the position of an answer. If it belongs to another
// history than the last, the entries and the service record in the store may have changed.
func (no *node) advancePosition(rw *routesWatch, next Position) {
	if rw.failed.failures > 0 {
		klog.InfoS("Store regained", "failures", rw.failed.failures, "before", rw.position, "now", next)
	}
	if rw.history != next.History && rw.history != (History{}) {
		signal(no.entriesDoubtful)
		no.doubtServices()
	}
	rw.advance(next)
	rw.history = next.History
}

// retryPause returns the longest pause before the next attempt. It is short while
// the process has no configuration, without which it can't serve.
func (no *node) retryPause() time.Duration {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.routes == nil {
		return minBackoff
	}
	return maxBackoff
}

// reportStoreFailure counts a failed call and logs the first of a series.
func (no *node) reportStoreFailure(err error, bo *backoff) {
	no.metrics.Count("StoreFailures", 1)
	if bo.failures == 0 {
		klog.ErrorS(err, "Store lost")
	}
}

// checkWatch reports whether the balancer is to watch the store now, and when it is to
// check again otherwise. Then other balancers watch, and one of them is asked for a
// confirmation of the configuration if the last one is old.
func (no *node) checkWatch(rw *routesWatch) (watches bool, next time.Time) {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	no.performMemberActions(now, no.view.AskConfirmation(now))
	watches = no.view.WatchesStore(now)
	if watches != rw.watching {
		klog.InfoS("Store watch decided", "watches", watches, "before", rw.watching,
			"confirmed", reportAge(now, no.view.Confirmed()), "version", no.view.Version())
	}
	rw.watching = watches
	return watches, no.view.NextWatchCheck()
}

// fetchRoutes reads the routes if nothing was read before the position, and otherwise
// waits for newer ones until the deadline. Routes that it receives are published. It
// returns the position to watch from.
func (no *node) fetchRoutes(ctx context.Context, rw *routesWatch, deadline time.Time) (Position, error) {
	var list []*catalog.Routes
	var next Position
	var err error
	if rw.position.Revision > 0 {
		list, next, err = no.store.Watch(ctx, rw.position, deadline)
	} else {
		rw.coverage = catalog.Coverage{}
		list, next, err = no.listRoutes(ctx)
	}
	if err != nil {
		return next, err
	}
	if len(list) > 0 {
		no.publish(no.covering(rw, list))
	}
	no.confirm(deadline)
	return next, nil
}

// listRoutes reads the newest routes, of which there are none if the store has no
// configuration, and before them the service record unless its content is known.
func (no *node) listRoutes(ctx context.Context) ([]*catalog.Routes, Position, error) {
	if err := no.readServices(ctx); err != nil {
		// The configuration is needed more; the record is read again later.
		klog.ErrorS(err, "Service record not read; former services may be unknown")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ro, position, err := no.store.Routes(ctx)
	if err != nil || ro == nil {
		return nil, position, err
	}
	return []*catalog.Routes{ro}, position, nil
}

// covering returns the routes that were read, the oldest first, with their coverage.
func (no *node) covering(rw *routesWatch, list []*catalog.Routes) []*catalog.Routes {
	if rw.coverage == (catalog.Coverage{}) {
		no.mu.Lock()
		rw.coverage = no.former.Begin(time.Now(), list[0].Version)
		no.mu.Unlock()
	}
	covering := make([]*catalog.Routes, len(list))
	for i, ro := range list {
		covering[i] = ro.WithCoverage(rw.coverage)
	}
	return covering
}

// confirm notes that the store has answered a watch with the deadline: it has no newer
// configuration now, or had none at the deadline if the answer took longer.
func (no *node) confirm(deadline time.Time) {
	no.mu.Lock()
	defer no.mu.Unlock()
	at := time.Now()
	if deadline.Before(at) {
		at = deadline
	}
	no.view.Confirm(at)
}
