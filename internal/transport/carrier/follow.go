package carrier

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/members"
)

const (
	// watchTimeout bounds the wait of one watch. A watch that receives nothing must
	// end well before the time by which a configuration has to be in force
	// everywhere.
	watchTimeout = 1800 * time.Millisecond
	// watchersPerDomain is the number of balancers of a failure domain that watch
	// the store. The others receive the configuration from them.
	watchersPerDomain = 2
	// watcherCheckInterval is the time after which a balancer that doesn't watch the
	// store checks again whether it has to.
	watcherCheckInterval = time.Second
)

// routesWatch is the state of followRoutes: the position to watch from, the history of
// the last answer, and the failures since then.
type routesWatch struct {
	position        Position
	history         History
	failed, expired backoff
}

// followRoutes reads the routes from the store, and then watches it for newer ones
// while watchesStore reports true. After a failure a watch doesn't wait for a change,
// so that it ends early where the store doesn't answer.
func (no *node) followRoutes(ctx context.Context) error {
	var rw routesWatch
	for ctx.Err() == nil {
		if rw.position.Revision > 0 && !no.watchesStore() {
			sleepContext(ctx, watcherCheckInterval)
			continue
		}
		began := time.Now()
		deadline := began
		if rw.failed.failures == 0 {
			deadline = began.Add(watchTimeout)
		}
		next, err := no.fetchRoutes(ctx, rw.position, deadline)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrRevisionExpired):
			no.expirePosition(ctx, &rw, began, err)
		case err != nil:
			no.reportStoreFailure(err, &rw.failed)
			rw.failed.wait(ctx, began, no.retryPause())
		default:
			no.advancePosition(&rw, next)
		}
	}
	return nil
}

// expirePosition makes followRoutes read the routes again: at once the first time,
// after a pause if the position expires again before a watch has succeeded.
func (no *node) expirePosition(ctx context.Context, rw *routesWatch, began time.Time, reason error) {
	klog.InfoS("Revision expired in the store; reading the configuration again", "position", rw.position, "reason", reason)
	rw.position = Position{}
	if rw.expired.failures > 0 {
		rw.expired.wait(ctx, began, maxBackoff)
		return
	}
	rw.expired.failures++
}

// advancePosition takes over the position of an answer. If it belongs to another
// history than the last, the entries in the store may have changed.
func (no *node) advancePosition(rw *routesWatch, next Position) {
	if rw.failed.failures > 0 {
		klog.InfoS("Store regained", "failures", rw.failed.failures, "before", rw.position, "now", next)
	}
	if rw.position.Revision > 0 {
		rw.expired.failures = 0
	}
	if rw.history != next.History && rw.history != (History{}) {
		signal(no.entriesDoubtful)
	}
	rw.failed.failures = 0
	rw.position, rw.history = next, next.History
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

// watchesStore reports whether fewer than watchersPerDomain balancers of the same
// failure domain that take new work have a lower address. While some views
// lack such a balancer, more balancers watch, which only costs additional calls to
// the store. While views still hold one that failed, fewer watch.
func (no *node) watchesStore() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	before := 0
	for _, re := range no.view.Records() {
		sameDomain := re.Role == members.RoleBalancer && re.Domain == no.settings.Domain
		if sameDomain && re.State.TakesNewWork() && re.Address.Compare(no.settings.Peers) < 0 {
			before++
		}
	}
	return before < watchersPerDomain
}

// fetchRoutes reads the routes if nothing was read before the position, and otherwise
// waits for newer ones until the deadline. Routes that it receives are published. It
// returns the position to watch from.
func (no *node) fetchRoutes(ctx context.Context, position Position, deadline time.Time) (Position, error) {
	if position.Revision > 0 {
		ro, next, err := no.store.Watch(ctx, position, deadline)
		if err == nil && ro != nil {
			no.publish(ro)
		}
		return next, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ro, next, err := no.store.Routes(ctx)
	if err == nil && ro != nil {
		no.publish(ro)
	}
	return next, err
}
