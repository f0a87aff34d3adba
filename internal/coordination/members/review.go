package members

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// ReviewInterval is the shortest time between two reviews of the entries in the
	// store.
	ReviewInterval = 20 * time.Second
	// reviewDelay is the time from the reason for a review to the review. Processes
	// that start write their entries within it.
	reviewDelay = 2 * time.Second
	// reviewStagger is how much later than the balancer before it a balancer begins. A
	// list of a few pages is read and reported within it.
	reviewStagger = 3 * time.Second
)

// Reviews decides when a balancer reviews the members' entries in the store. Each
// balancer may, because the store may turn away some of them; they begin by rank, so that
// usually the first one does it for all. It is not safe for concurrent use.
type Reviews struct {
	// since is when the first of the present doubts about the entries arose, zero if
	// there is none; latest is when the last one did.
	since, latest time.Time
	// last is when the last review ended, of this balancer or of another one.
	last time.Time
}

// Doubt notes that the store may hold entries of processes that are gone, or lack entries
// of members.
func (re *Reviews) Doubt(now time.Time) {
	if re.since.IsZero() {
		re.since = now
	}
	re.latest = now
}

// Due returns when the balancer is to begin a review, zero if there is no doubt. Rank is
// the number of balancers that have a lower address.
func (re *Reviews) Due(rank int) time.Time {
	if re.since.IsZero() {
		return time.Time{}
	}
	due := re.since.Add(reviewDelay)
	if next := re.last.Add(ReviewInterval); due.Before(next) {
		due = next
	}
	return due.Add(time.Duration(rank) * reviewStagger)
}

// Fail notes that the balancer's own review failed, so that it tries again after
// ReviewInterval. The turns of the others stay.
func (re *Reviews) Fail(now time.Time) { re.last = now }

// Complete notes that a review ended that began at the given time, of this balancer or of
// another one. If it was clean, that is found nothing missing, it settles the doubts that
// arose before it began.
func (re *Reviews) Complete(now, began time.Time, clean bool) {
	re.last = now
	switch {
	case !clean || re.since.IsZero():
	case began.Before(re.latest):
		re.since = re.latest
	default:
		re.since, re.latest = time.Time{}, time.Time{}
	}
}

// Rank returns the number of other balancers that have a lower address than the process.
func (vi *View) Rank() int {
	rank := 0
	for address, me := range vi.members {
		if me.record.Role == RoleBalancer && address.Compare(vi.self.Address) < 0 {
			rank++
		}
	}
	return rank
}

// OtherBalancers returns the addresses of the other balancers, sorted.
func (vi *View) OtherBalancers() []netip.AddrPort {
	list := vi.addresses()
	return slices.DeleteFunc(list, func(address netip.AddrPort) bool { return vi.members[address].record.Role != RoleBalancer })
}
