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
	// PageTimeout bounds the call for one page of a list of entries. The list itself
	// takes as long as its pages do.
	PageTimeout = callTimeout
)

// register writes the process's own entry. If readEntries is set it first reads
// all entries and greets their processes, and doesn't write its own entry if it is
// among them.
func (no *node) register(ctx context.Context, readEntries bool) error {
	if !readEntries {
		return no.writeEntry(ctx)
	}
	entries, err := no.store.ListEntries(ctx)
	if err != nil {
		return err
	}
	var found []members.Record
	present := false
	own := no.ownRecord()
	for _, en := range entries {
		if en.Record.Address == own.Address {
			if en.Name == no.settings.Name && en.Record.Role == own.Role {
				present = true
				no.noteOwnEntry(en)
			}
			continue
		}
		found = append(found, en.Record)
	}
	klog.InfoS("Members found in the store", "count", len(found), "self", present)
	no.greet(found)
	no.noteEntriesListed()
	if present {
		return nil
	}
	return no.writeEntry(ctx)
}

// noteEntriesListed tells the role that all entries were read and their processes greeted.
func (no *node) noteEntriesListed() {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	no.onEntriesListed(now)
	no.schedule(now)
}

// noteOwnEntry keeps the process's entry that was found in the store.
func (no *node) noteOwnEntry(en Entry) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.ownEntry = en
}

// withdrawEntry removes the process's own entry from the store, with one call within the
// given time. A balancer that starts later would otherwise take the process for a member
// that may have a host with flows, until it has been silent for long enough.
func (no *node) withdrawEntry(ctx context.Context, within time.Duration) {
	no.mu.Lock()
	no.withdrawn = true
	en := no.ownEntry
	no.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, min(within, callTimeout))
	defer cancel()
	var err error
	if en.Name != "" {
		err = no.store.RemoveEntry(ctx, en)
	} else {
		err = no.store.RemoveOwnEntry(ctx, no.settings.Name)
	}
	klog.InfoS("Own entry removed", "name", no.settings.Name, "found", en.Name != "", "err", err)
}

// isWithdrawn reports whether the process's own entry must not be written any more.
func (no *node) isWithdrawn() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.withdrawn
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
	for !no.isWithdrawn() {
		began := time.Now()
		err := no.writeEntry(ctx)
		if err == nil {
			klog.InfoS("Store entry rewritten", "failures", bo.failures)
			return
		}
		klog.ErrorS(err, "Store entry not rewritten", "failures", bo.failures)
		if !bo.wait(ctx, began, maxJoinBackoff) {
			return
		}
	}
}

// reviewOnce removes the entries of removed members and tells the members that have no
// entry to write theirs. It reports whether nothing was missing or failed. A failure
// is logged only.
func (no *node) reviewOnce(ctx context.Context) bool {
	began := time.Now()
	entries, err := no.store.ListEntries(ctx)
	if err != nil {
		klog.ErrorS(err, "Store entries not reviewed")
		no.failReview()
		return false
	}
	no.mu.Lock()
	removed := no.view.Removed()
	missing := no.membersWithoutEntry(entries)
	no.mu.Unlock()
	complete := no.removeEntriesOf(ctx, removed, entries)
	klog.InfoS("Store entries reviewed", "entries", len(entries), "missing", missing, "removed", len(removed))
	no.reportMissing(missing)
	if !complete {
		no.failReview()
		return false
	}
	no.completeReview(began, len(missing) == 0)
	return len(missing) == 0
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
