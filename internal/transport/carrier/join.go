package carrier

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/members"
)

const (
	// maxJoinBackoff is the longest pause between two reads of the entries by a
	// process that no other member has answered.
	maxJoinBackoff = 5 * time.Second
	// seedTimeout is how long an agent waits for an answer of a seed at the first
	// start of the whole system.
	seedTimeout = 500 * time.Millisecond
)

// join makes the process a member: it greets the seeds, greets the members whose
// entries it finds in the store and writes its own entry. It writes the entry
// again whenever another member says that it may be missing. At the first start of the
// whole system an agent that a seed answers within seedTimeout doesn't read the
// entries.
func (no *node) join(ctx context.Context) error {
	no.greet(nil)
	readEntries := !no.firstStart || !sleepContext(ctx, seedTimeout) || !no.joined()
	var bo backoff
	for {
		began := time.Now()
		err := no.register(ctx, readEntries)
		if err == nil {
			break
		}
		klog.ErrorS(err, "Store unreachable; members can be found through seeds only", "failures", bo.failures)
		if !bo.wait(ctx, began, maxBackoff) {
			return nil
		}
	}
	no.retryUntilJoined(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-no.entryMissing:
			no.rewriteEntry(ctx)
		}
	}
}

// retryUntilJoined reads the entries again until another member has answered,
// because processes that start together may all have read them before any was
// written.
func (no *node) retryUntilJoined(ctx context.Context) {
	var bo backoff
	for bo.wait(ctx, time.Now(), maxJoinBackoff) && !no.joined() {
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

// joined reports whether another member has answered.
func (no *node) joined() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.view.Joined()
}
