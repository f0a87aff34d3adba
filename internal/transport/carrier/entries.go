package carrier

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// callTimeout bounds one call to the store other than a watch. A call that
	// hangs while the store becomes available again must not delay a process that
	// starts.
	callTimeout = 700 * time.Millisecond
	// reviewDelay is the time from the reason for a review of the entries to the
	// review. Processes that start write their entries within it.
	reviewDelay = 2 * time.Second
	// reviewInterval is the shortest time between two reviews.
	reviewInterval = 20 * time.Second
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
		began := time.Now()
		err := no.writeEntry(ctx)
		if err == nil {
			break
		}
		klog.ErrorS(err, "Store entry not rewritten", "failures", bo.failures)
		if !bo.wait(ctx, began, maxJoinBackoff) {
			return
		}
	}
	klog.InfoS("Store entry rewritten", "failures", bo.failures)
}

// reviewEntries compares the entries in the store with the view some time after the
// start, and whenever a member was removed or the store was restored. Only the balancer
// with the lowest address does so; the others check now and then whether they have
// become that balancer.
func (no *node) reviewEntries(ctx context.Context) error {
	// The balancer that had to review them may have ended before it did.
	afterStart := time.NewTimer(reviewInterval)
	defer afterStart.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-afterStart.C:
		case <-no.entriesDoubtful:
		}
		pause := reviewDelay
		for reviewed := false; !reviewed; pause = reviewInterval {
			if !sleepContext(ctx, pause) {
				return nil
			}
			reviewed = no.hasLowestAddress() && no.reviewOnce(ctx)
		}
		if !sleepContext(ctx, reviewInterval) {
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

// reviewOnce removes the entries of removed members and tells the members that have no
// entry to write theirs. It reports whether nothing was missing or failed. A failure
// is logged only.
func (no *node) reviewOnce(ctx context.Context) bool {
	entries, err := no.listEntries(ctx)
	if err != nil {
		klog.ErrorS(err, "Store entries not reviewed")
		return false
	}
	no.mu.Lock()
	removed := no.view.Removed()
	missing := no.membersWithoutEntry(entries)
	no.mu.Unlock()
	complete := no.removeEntriesOf(ctx, removed, entries)
	klog.InfoS("Store entries reviewed", "entries", len(entries), "missing", missing, "removed", len(removed))
	no.reportMissing(missing)
	return complete && len(missing) == 0
}

// membersWithoutEntry returns the addresses of the members, the process itself
// included, that stay and have no entry. It is called with mu held.
func (no *node) membersWithoutEntry(entries []Entry) []netip.AddrPort {
	written := make(map[netip.AddrPort]members.Role, len(entries))
	for _, en := range entries {
		written[en.Record.Address] = en.Record.Role
	}
	var missing []netip.AddrPort
	for _, re := range append(no.view.Records(), no.view.Self()) {
		// An agent of an evacuated domain counts as draining and stays.
		leaves := re.State == register.StateDraining && !no.isEvacuated(re.Domain) || re.State == register.StateGone
		if !leaves && written[re.Address] != re.Role {
			missing = append(missing, re.Address)
		}
	}
	return missing
}

// reportMissing tells the members at the addresses that their entries are missing.
func (no *node) reportMissing(missing []netip.AddrPort) {
	no.mu.Lock()
	defer no.mu.Unlock()
	if slices.Contains(missing, no.settings.Peers) {
		signal(no.entryMissing)
	}
	no.performMemberActions(time.Now(), no.view.ReportMissingEntries(missing))
}

// removeEntriesOf removes the entries of the addresses. It reports whether none failed.
func (no *node) removeEntriesOf(ctx context.Context, gone []netip.AddrPort, entries []Entry) bool {
	complete := true
	for _, en := range entries {
		if !slices.Contains(gone, en.Record.Address) {
			continue
		}
		err := no.removeEntry(ctx, en)
		complete = complete && err == nil
		klog.InfoS("Stale entry removed", "name", en.Name, "member", en.Record.Address, "err", err)
	}
	return complete
}

// removeEntry removes an entry from the store.
func (no *node) removeEntry(ctx context.Context, en Entry) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return no.store.RemoveEntry(ctx, en)
}
