package delivery

import "time"

// The limits on the control messages that one node sends.
const (
	// BudgetBytesPerSecond is the sustained rate. Together with the rate of
	// initial synchronization it is 2,000 bytes per second.
	BudgetBytesPerSecond = 2000 - InitialSyncBytesPerSecond
	// BudgetBurstBytes is what a node may send at once after it has sent nothing
	// for a while.
	BudgetBurstBytes = 4000
	// InitialSyncBytesPerSubscriber is what a new subscriber may be sent outside
	// the budget. It holds the records of a service's hosts and of some
	// balancers.
	InitialSyncBytesPerSubscriber = 12_000
	// InitialSyncBytesPerSecond and InitialSyncBurstBytes bound what a node sends
	// to all its new subscribers together outside the budget. After a restart of
	// the fleet all subscribers are new at once; otherwise few are.
	InitialSyncBytesPerSecond = 64
	InitialSyncBurstBytes     = 30_000
	// LivenessReserveBytes is what gossip leaves in the bucket for heartbeats and
	// suspicions.
	LivenessReserveBytes = 600
	// LivenessBytesPerSecond and LivenessBurstBytes bound the part of the
	// budget that heartbeats and suspicions may take, so that gossip continues
	// while many monitored nodes do not answer.
	LivenessBytesPerSecond = 1300
	LivenessBurstBytes     = 2600
	// FrameOverheadBytes is added to each message for the sender's address, the
	// WebSocket frame and the TLS record.
	FrameOverheadBytes = 56
)

// Bucket is a token bucket that counts bytes. In any period the bytes taken are
// at most the burst plus the rate times the length of the period.
type Bucket struct {
	bytesPerSecond float64
	burst          float64
	tokens         float64
	refilledAt     time.Time
	bytesTaken     uint64
	// liveness bounds what TakeLiveness may take; nil unless the bucket was
	// made by NewBudget.
	liveness *Bucket
}

// NewBudget returns a full bucket with the limits of one node's control
// messages.
func NewBudget(now time.Time) *Bucket {
	bu := NewBucket(BudgetBytesPerSecond, BudgetBurstBytes, now)
	bu.liveness = NewBucket(LivenessBytesPerSecond, LivenessBurstBytes, now)
	return bu
}

// NewBucket returns a full bucket; burst is in bytes. TakeLiveness must not be
// called on it.
func NewBucket(bytesPerSecond, burst int, now time.Time) *Bucket {
	return &Bucket{
		bytesPerSecond: float64(bytesPerSecond),
		burst:          float64(burst),
		tokens:         float64(burst),
		refilledAt:     now,
	}
}

// Take takes the tokens for a message of the given bytes plus
// FrameOverheadBytes if at least reserve tokens remain afterwards, and reports
// whether it did.
func (bu *Bucket) Take(now time.Time, bytes, reserve int) bool {
	bu.refill(now)
	cost := float64(bytes + FrameOverheadBytes)
	if bu.tokens < cost+float64(reserve) {
		return false
	}
	bu.tokens -= cost
	bu.bytesTaken += uint64(cost)
	return true
}

// TakeLiveness takes the tokens for a heartbeat or a suspicion of the given
// bytes, both from the budget and from the part of it for such messages, and
// reports whether it did.
func (bu *Bucket) TakeLiveness(now time.Time, bytes int) bool {
	if bu.liveness.Available(now, 0) < bytes || !bu.Take(now, bytes, 0) {
		return false
	}
	return bu.liveness.Take(now, bytes, 0)
}

// Available returns the size in bytes of the largest message that Take would
// admit now with this reserve; it can be negative.
func (bu *Bucket) Available(now time.Time, reserve int) int {
	bu.refill(now)
	return int(bu.tokens) - reserve - FrameOverheadBytes
}

// BytesTaken returns the bytes taken since the bucket was made, frame overhead
// included.
func (bu *Bucket) BytesTaken() uint64 {
	return bu.bytesTaken
}

// refill adds the tokens that accrued since the last call.
func (bu *Bucket) refill(now time.Time) {
	if !now.After(bu.refilledAt) {
		return
	}
	bu.tokens += bu.bytesPerSecond * now.Sub(bu.refilledAt).Seconds()
	bu.tokens = min(bu.tokens, bu.burst)
	bu.refilledAt = now
}
