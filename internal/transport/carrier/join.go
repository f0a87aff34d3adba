package carrier

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/members"
)

const (
	// minBackoff is the backoff after the first failed call to the store, maxBackoff
	// the longest one.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// callTimeout bounds one call to the store other than a watch. A call that
	// hangs while the store becomes available again must not delay a process that
	// starts.
	callTimeout = 700 * time.Millisecond
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
	// maxJoinBackoff is the longest pause between two reads of the entries by a
	// process that no other member has answered.
	maxJoinBackoff = 5 * time.Second
	// seedTimeout is how long an agent waits for an answer of a seed at the first
	// start of the whole system.
	seedTimeout = 500 * time.Millisecond
	// cleanInterval is the shortest time between two removals of stale entries.
	cleanInterval = 20 * time.Second
)

// backoff computes the pause before the next attempt. It doubles with each
// failure.
type backoff struct {
	failures int
}

// wait counts a failure and pauses for a random time between half and the whole of
// the backoff, which is at most maxPause, so that processes don't retry at the same
// time. It reports false if the context ended first.
func (bo *backoff) wait(ctx context.Context, maxPause time.Duration) bool {
	pause := min(minBackoff<<min(bo.failures, 6), maxPause)
	bo.failures++
	return sleepContext(ctx, pause/2+rand.N(pause/2))
}

// sleepContext waits for the pause. It reports false if the context ended first.
func sleepContext(ctx context.Context, pause time.Duration) bool {
	ti := time.NewTimer(pause)
	defer ti.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ti.C:
		return true
	}
}

// join makes the process a member: it greets the seeds, greets the members whose
// entries it finds in the store and writes its own entry. It writes the entry
// again whenever another member may have removed it. At the first start of the
// whole system an agent that a seed answers within seedTimeout doesn't read the
// entries.
func (no *node) join(ctx context.Context) error {
	no.greet(nil)
	readEntries := !no.firstStart || !sleepContext(ctx, seedTimeout) || !no.joined()
	var bo backoff
	for {
		err := no.register(ctx, readEntries)
		if err == nil {
			break
		}
		klog.ErrorS(err, "Store unreachable; members can be found through seeds only", "failures", bo.failures)
		if !bo.wait(ctx, maxBackoff) {
			return nil
		}
	}
	no.retryUntilJoined(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-no.entryRemoved:
			no.rewriteEntry(ctx)
		}
	}
}

// retryUntilJoined reads the entries again until another member has answered,
// because processes that start together may all have read them before any was
// written.
func (no *node) retryUntilJoined(ctx context.Context) {
	var bo backoff
	for bo.wait(ctx, maxJoinBackoff) && !no.joined() {
		if err := no.register(ctx, true); err != nil {
			klog.ErrorS(err, "Store unreachable and no other member has answered", "failures", bo.failures)
		}
	}
}

// greet sends a greeting to the members found in the store and to the seeds.
func (no *node) greet(found []members.Record) {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	no.performMemberActions(now, no.view.Join(now, found, no.seeds()))
	no.schedule(now)
}

// seeds returns the addresses at which the seeds receive members' messages. All
// processes use the same port for them. It is called with mu held.
func (no *node) seeds() []netip.AddrPort {
	var list []netip.AddrPort
	for _, se := range no.settings.Seeds {
		list = append(list, netip.AddrPortFrom(se.Addr(), no.settings.Peers.Port()))
	}
	return list
}

// register writes the process's own entry. If readEntries is set it first reads
// all entries and greets their processes, and doesn't write its own entry if it is
// among them.
func (no *node) register(ctx context.Context, readEntries bool) error {
	if !readEntries {
		return no.writeEntry(ctx)
	}
	entries, err := no.listEntries(ctx)
	if err != nil {
		return err
	}
	var found []members.Record
	present := false
	own := no.ownRecord()
	for _, en := range entries {
		if en.Record.Address == own.Address {
			present = present || en.Name == no.settings.Name && en.Record.Role == own.Role
			continue
		}
		found = append(found, en.Record)
	}
	klog.InfoS("Members found in the store", "count", len(found), "self", present)
	no.greet(found)
	if present {
		return nil
	}
	return no.writeEntry(ctx)
}

// joined reports whether another member has answered.
func (no *node) joined() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.view.Joined()
}

// listEntries reads all entries from the store.
func (no *node) listEntries(ctx context.Context) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return no.store.ListEntries(ctx)
}

// writeEntry writes the process's own entry to the store.
func (no *node) writeEntry(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return no.store.WriteEntry(ctx, no.settings.Name, no.ownRecord())
}

// ownRecord returns the membership record of the process.
func (no *node) ownRecord() members.Record {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.view.Self()
}

// rewriteEntry writes the process's own entry again, because another member may
// have removed it. A failure is logged only: the next attempt is made when a member
// reports again that it had removed the process.
func (no *node) rewriteEntry(ctx context.Context) {
	if err := no.writeEntry(ctx); err != nil {
		klog.ErrorS(err, "Store entry not rewritten")
		return
	}
	klog.InfoS("Store entry rewritten")
}

// followRoutes reads the routes from the store, and then watches it for newer ones
// while watchesStore reports true. It reads them again if the position to watch from
// has expired: at once the first time, after a pause if that happens again before a
// watch has succeeded.
func (no *node) followRoutes(ctx context.Context) error {
	var bo, expired backoff
	var position Position
	for ctx.Err() == nil {
		if position.Revision > 0 && !no.watchesStore() {
			sleepContext(ctx, watcherCheckInterval)
			continue
		}
		next, err := no.fetchRoutes(ctx, position)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrRevisionExpired):
			klog.InfoS("Revision expired in the store; reading the configuration again", "position", position, "reason", err)
			position = Position{}
			if expired.failures > 0 && !expired.wait(ctx, maxBackoff) {
				return nil
			}
			expired.failures++
		case err != nil:
			no.reportStoreFailure(err, &bo)
			if !bo.wait(ctx, no.retryPause()) {
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
			position = next
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
// waits for newer ones. Routes that it receives are published. It returns the
// position to watch from.
func (no *node) fetchRoutes(ctx context.Context, position Position) (Position, error) {
	if position.Revision > 0 {
		ro, next, err := no.store.Watch(ctx, position, time.Now().Add(watchTimeout))
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

// removeStaleEntries removes the store entries of members that were removed from
// the view. Only the balancer with the lowest address does so.
func (no *node) removeStaleEntries(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-no.removedMembers:
			if no.hasLowestAddress() {
				no.removeEntriesOf(ctx, address)
			}
		}
		if !sleepContext(ctx, cleanInterval) {
			return nil
		}
	}
}

// hasLowestAddress reports whether no other balancer has a lower address.
func (no *node) hasLowestAddress() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	for _, re := range no.view.Records() {
		if re.Role == members.RoleBalancer && re.Address.Compare(no.settings.Peers) < 0 {
			return false
		}
	}
	return true
}

// removeEntriesOf removes the entries of the address and of all other addresses
// that wait in removedMembers. A failure is logged only.
func (no *node) removeEntriesOf(ctx context.Context, address netip.AddrPort) {
	gone := map[netip.AddrPort]struct{}{address: {}}
	for len(no.removedMembers) > 0 {
		gone[<-no.removedMembers] = struct{}{}
	}
	entries, err := no.listEntries(ctx)
	if err != nil {
		klog.ErrorS(err, "Stale entries not removed", "count", len(gone))
		return
	}
	for _, en := range entries {
		if _, ok := gone[en.Record.Address]; !ok {
			continue
		}
		err := no.store.RemoveEntry(ctx, en)
		klog.InfoS("Stale entry removed", "name", en.Name, "member", en.Record.Address, "err", err)
	}
}
