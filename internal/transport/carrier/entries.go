package carrier

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/members"
)

const (
	// callTimeout bounds one call to the store other than a watch. A call that
	// hangs while the store becomes available again must not delay a process that
	// starts.
	callTimeout = 700 * time.Millisecond
	// cleanInterval is the shortest time between two removals of stale entries.
	cleanInterval = 20 * time.Second
)

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

// rewriteEntry writes the process's own entry again, because the store may lack it.
// It is repeated until it succeeds, as nobody may report the entry missing again.
func (no *node) rewriteEntry(ctx context.Context) {
	var bo backoff
	for {
		err := no.writeEntry(ctx)
		if err == nil {
			break
		}
		klog.ErrorS(err, "Store entry not rewritten", "failures", bo.failures)
		if !bo.wait(ctx, maxJoinBackoff) {
			return
		}
	}
	klog.InfoS("Store entry rewritten", "failures", bo.failures)
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
