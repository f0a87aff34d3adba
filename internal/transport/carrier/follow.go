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

// followRoutes reads the routes from the store, and then watches it for newer ones
// while watchesStore reports true. It reads them again if the position to watch from
// has expired: at once the first time, after a pause if that happens again before a
// watch has succeeded. After a failure a watch doesn't wait for a change, so that it
// ends early where the store doesn't answer.
func (no *node) followRoutes(ctx context.Context) error {
	var bo, expired backoff
	var position Position
	var history History
	for ctx.Err() == nil {
		if position.Revision > 0 && !no.watchesStore() {
			sleepContext(ctx, watcherCheckInterval)
			continue
		}
		began := time.Now()
		deadline := began
		if bo.failures == 0 {
			deadline = began.Add(watchTimeout)
		}
		next, err := no.fetchRoutes(ctx, position, deadline)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrRevisionExpired):
			klog.InfoS("Revision expired in the store; reading the configuration again", "position", position, "reason", err)
			position = Position{}
			if expired.failures > 0 && !expired.wait(ctx, began, maxBackoff) {
				return nil
			}
			expired.failures++
		case err != nil:
			no.reportStoreFailure(err, &bo)
			if !bo.wait(ctx, began, no.retryPause()) {
				return nil
			}
		default:
			if bo.failures > 0 {
				klog.InfoS("Store regained", "failures", bo.failures, "before", position, "now", next)
			}
			bo.failures = 0
			if position.Revision > 0 {
				expired.failures = 0
			}
			if history != next.History && history != (History{}) {
				signal(no.entriesDoubtful)
			}
			position, history = next, next.History
		}
	}
	return nil
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
	if err != nil {
		return Position{}, err
	}
	if ro == nil {
		return next, nil
	}
	no.publish(ro)
	return next, nil
}
