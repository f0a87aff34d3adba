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
	// firstBackoff and lastBackoff bound the pause after a failed call to the
	// store.
	firstBackoff = 250 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// callTimeout bounds one call to the store: a call that hangs while the store
	// comes back must not hold up a process that starts.
	callTimeout = 700 * time.Millisecond
	// watchWait is the longest wait of one watch: a watch that hears nothing
	// must end well before a configuration is due in force everywhere.
	watchWait = 1800 * time.Millisecond
	// watchersInDomain is the number of balancers of a failure domain that
	// watch the store; the others hear from them.
	watchersInDomain = 2
	// watcherCheck is the time between two looks of a balancer that doesn't
	// watch whether it has to.
	watcherCheck = time.Second
	// lonelyBackoff is the longest pause of a process that knows no other between
	// two looks at the entries.
	lonelyBackoff = 5 * time.Second
	// seedPatience is how long an agent waits for an answer of the seeds.
	seedPatience = 500 * time.Millisecond
	// cleanPause is the least time between two looks for stale entries.
	cleanPause = 20 * time.Second
)

// backoff is the pause before the next try: doubled at each failure, with a
// jitter that keeps processes apart.
type backoff struct {
	failures int
}

// wait pauses. It reports false if the context ended.
func (bo *backoff) wait(ctx context.Context, most time.Duration) bool {
	pause := min(firstBackoff<<min(bo.failures, 6), most)
	bo.failures++
	return sleep(ctx, pause/2+rand.N(pause/2))
}

// sleep reports false if the context ended first.
func sleep(ctx context.Context, pause time.Duration) bool {
	ti := time.NewTimer(pause)
	defer ti.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ti.C:
		return true
	}
}

// join greets the seeds, finds the other members in the store, enters itself and
// enters itself again whenever its entry has vanished. At the first start of the
// whole system an agent that a seed has answered need not read the store.
func (no *node) join(ctx context.Context) error {
	no.greet(nil)
	list := !no.firstStart || !sleep(ctx, seedPatience) || !no.joined()
	var bo backoff
	for {
		err := no.register(ctx, list)
		if err == nil {
			break
		}
		klog.ErrorS(err, "Store not reached; members found by seeds only", "failures", bo.failures)
		if !bo.wait(ctx, lastBackoff) {
			return nil
		}
	}
	no.lookAgain(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-no.forgotten:
			no.reenter(ctx)
		}
	}
}

// lookAgain reads the entries until another member has answered: processes that
// start together may all have read them before any was written.
func (no *node) lookAgain(ctx context.Context) {
	var bo backoff
	for bo.wait(ctx, lonelyBackoff) && !no.joined() {
		if err := no.register(ctx, true); err != nil {
			klog.ErrorS(err, "Store not reached by a process that knows no other", "failures", bo.failures)
		}
	}
}

// greet greets the members found and the seeds.
func (no *node) greet(found []members.Record) {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	no.perform(now, no.view.Join(now, found, no.seeds()))
	no.schedule(now)
}

// seeds returns the addresses at which the seeds take members' messages.
func (no *node) seeds() []netip.AddrPort {
	var list []netip.AddrPort
	for _, se := range no.settings.Seeds {
		list = append(list, netip.AddrPortFrom(se.Addr(), no.settings.Peers.Port()))
	}
	return list
}

// register writes the own entry. With list it first reads all entries, greets
// their processes and leaves the own entry as it is if it is there.
func (no *node) register(ctx context.Context, list bool) error {
	if !list {
		return no.enter(ctx)
	}
	entries, err := no.entries(ctx)
	if err != nil {
		return err
	}
	var found []members.Record
	present := false
	own := no.self()
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
	return no.enter(ctx)
}

// joined reports whether another member has answered.
func (no *node) joined() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.view.Joined()
}

func (no *node) entries(ctx context.Context) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return no.store.ListEntries(ctx)
}

func (no *node) enter(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return no.store.WriteEntry(ctx, no.settings.Name, no.self())
}

func (no *node) self() members.Record {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.view.Self()
}

// reenter writes the own entry after others had removed it.
func (no *node) reenter(ctx context.Context) {
	if err := no.enter(ctx); err != nil {
		klog.ErrorS(err, "Entry not written again")
		return
	}
	klog.InfoS("Entry written again")
}

// follow keeps the routes up to date from the store.
func (no *node) follow(ctx context.Context) error {
	var bo backoff
	revision := uint64(0)
	for ctx.Err() == nil {
		if revision > 0 && !no.isWatcher() {
			sleep(ctx, watcherCheck)
			continue
		}
		next, err := no.followOnce(ctx, revision)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrRevisionExpired):
			klog.InfoS("Store has dropped its history; reading again", "revision", revision)
			revision = 0
		case err != nil:
			no.lost(err, &bo)
			if !bo.wait(ctx, no.retryPause()) {
				return nil
			}
		default:
			if bo.failures > 0 {
				klog.InfoS("Store regained", "failures", bo.failures)
			}
			bo.failures = 0
			revision = next
		}
	}
	return nil
}

// retryPause returns the longest pause before the next try: short for a process
// that can't serve without a configuration.
func (no *node) retryPause() time.Duration {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.routes == nil {
		return firstBackoff
	}
	return lastBackoff
}

func (no *node) lost(err error, bo *backoff) {
	no.board.Count("StoreFailures", 1)
	if bo.failures == 0 {
		klog.ErrorS(err, "Store lost")
	}
}

// isWatcher reports whether the process is one of the first balancers of its
// failure domain, by address. Two of them may differ about that for a while,
// which costs calls to the store only.
func (no *node) isWatcher() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	before := 0
	for _, re := range no.view.Records() {
		sameDomain := re.Role == members.RoleBalancer && re.Domain == no.settings.Domain
		if sameDomain && re.State.TakesNewWork() && re.Address.Compare(no.settings.Peers) < 0 {
			before++
		}
	}
	return before < watchersInDomain
}

// followOnce reads the routes, or waits for a change after the revision.
func (no *node) followOnce(ctx context.Context, revision uint64) (uint64, error) {
	if revision > 0 {
		ro, next, err := no.store.Watch(ctx, revision, time.Now().Add(watchWait))
		if err == nil && ro != nil {
			no.publish(ro)
		}
		return next, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ro, next, err := no.store.Routes(ctx)
	if err != nil {
		return 0, err
	}
	if ro == nil {
		return next, nil
	}
	no.publish(ro)
	return next, nil
}

// clean removes the entries of members that were removed from the view. Of all
// balancers only the one of lowest address does so.
func (no *node) clean(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-no.removed:
			if no.isCleaner() {
				no.cleanEntries(ctx, address)
			}
		}
		if !sleep(ctx, cleanPause) {
			return nil
		}
	}
}

// isCleaner reports whether the process is the balancer of lowest address.
func (no *node) isCleaner() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	for _, re := range no.view.Records() {
		if re.Role == members.RoleBalancer && re.Address.Compare(no.settings.Peers) < 0 {
			return false
		}
	}
	return true
}

// cleanEntries removes the entries of the address and of others removed since.
func (no *node) cleanEntries(ctx context.Context, address netip.AddrPort) {
	gone := map[netip.AddrPort]struct{}{address: {}}
	for len(no.removed) > 0 {
		gone[<-no.removed] = struct{}{}
	}
	entries, err := no.entries(ctx)
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
