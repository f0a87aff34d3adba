package carrier

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
)

// reviewEntries compares the entries in the store with the view some time after the
// start, and whenever a member was removed or the store was restored, at the time that
// members.Reviews decides.
func (no *node) reviewEntries(ctx context.Context) error {
	// The balancer that reviewed the entries before may have ended without it.
	afterStart := time.NewTimer(members.ReviewInterval)
	defer afterStart.Stop()
	due := time.NewTimer(math.MaxInt64)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-afterStart.C:
			no.doubtEntries()
		case <-no.entriesDoubtful:
			no.doubtEntries()
		case <-no.reviewsChanged:
		case <-due.C:
		}
		next := no.reviewDue()
		if !next.IsZero() && !time.Now().Before(next) {
			no.reviewOnce(ctx)
			next = no.reviewDue()
		}
		due.Stop()
		if !next.IsZero() {
			due.Reset(time.Until(next))
		}
	}
}

// doubtEntries notes a reason for a review.
func (no *node) doubtEntries() {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.reviews.Doubt(time.Now())
}

// reviewDue returns when the process is to begin a review, zero if there is no reason for one.
func (no *node) reviewDue() time.Time {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.reviews.Due(no.view.Rank())
}

// failReview notes that the process's own review failed. The other balancers aren't told
// and begin their own when it is their turn.
func (no *node) failReview() {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.reviews.Fail(time.Now())
}

// completeReview notes the process's own review and tells the other balancers. It is
// clean if it found nothing missing.
func (no *node) completeReview(began time.Time, clean bool) {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	no.reviews.Complete(now, began, clean)
	no.scratch = waybill.AppendEntriesReviewed(no.scratch[:0], clean, now.Sub(began))
	for _, address := range no.view.OtherBalancers() {
		no.send(address, no.scratch)
	}
}

// handleEntriesReviewed notes the review of another balancer. The message of a process that
// isn't known as a balancer is ignored. It is called with mu held.
func (no *node) handleEntriesReviewed(now time.Time, from netip.AddrPort, clean bool, ago time.Duration) {
	if !slices.Contains(no.view.OtherBalancers(), from) {
		no.metrics.Count("MessagesRefused", 1)
		klog.V(1).InfoS("Review of a process that is no known balancer refused", "from", from)
		return
	}
	klog.InfoS("Store entries reviewed by another balancer", "balancer", from, "clean", clean, "began", ago)
	no.reviews.Complete(now, now.Add(-ago), clean)
	signal(no.reviewsChanged)
}
