package delivery

import "time"

// The control budget of one node.
const (
	// BudgetBytesPerSecond is the sustained rate; with that of first views it
	// is 2 KB a second.
	BudgetBytesPerSecond = 2000 - InitialSyncBytesPerSecond
	// BudgetBurstBytes is what a node may send at once after a quiet time.
	BudgetBurstBytes = 4000
	// FirstViewBytes is what a new subscriber gets first, apart from the budget:
	// the records of a service's hosts and of some balancers.
	FirstViewBytes = 12_000
	// InitialSyncBytesPerSecond and FirstViewsBurstBytes bound what all new
	// subscribers of a node get so: all at once after everything has started
	// anew, few on an ordinary day.
	InitialSyncBytesPerSecond = 64
	InitialSyncBurstBytes     = 30_000
	// LivenessReserveBytes stay in the bucket for heartbeats and suspicions.
	LivenessReserveBytes = 600
	// LivenessBytesPerSecond and LivenessBurstBytes bound the part of the
	// budget that heartbeats and suspicions may take, so that gossip goes on
	// while many subjects are silent.
	LivenessBytesPerSecond = 1300
	LivenessBurstBytes     = 2600
	// FrameOverheadBytes is added to each message for the sender's address, the
	// WebSocket frame and the TLS record.
	FrameOverheadBytes = 56
)

// Bucket is a token bucket in bytes. The sum of all sends in any span of time
// is at most the burst plus the rate times the span.
type Bucket struct {
	bytesPerSecond float64
	burst          float64
	tokens         float64
	filled         time.Time
	spent          uint64
	// liveness, if set, bounds what TakeLiveness may take.
	liveness *Bucket
}

// NewBudget returns the full control budget of one node.
func NewBudget(now time.Time) *Bucket {
	bu := NewBucket(BudgetBytesPerSecond, BudgetBurstBytes, now)
	bu.liveness = NewBucket(LivenessBytesPerSecond, LivenessBurstBytes, now)
	return bu
}

// NewBucket returns a full bucket.
func NewBucket(bytesPerSecond, burst int, now time.Time) *Bucket {
	return &Bucket{
		bytesPerSecond: float64(bytesPerSecond),
		burst:          float64(burst),
		tokens:         float64(burst),
		filled:         now,
	}
}

// Take spends the bytes if they are there and leave at least the reserve, and
// reports whether it did. The frame's overhead is added.
func (bu *Bucket) Take(now time.Time, bytes, reserve int) bool {
	bu.fill(now)
	cost := float64(bytes + FrameOverheadBytes)
	if bu.tokens < cost+float64(reserve) {
		return false
	}
	bu.tokens -= cost
	bu.spent += uint64(cost)
	return true
}

// TakeLiveness spends the bytes for a heartbeat or a suspicion from the budget
// and from the part of it that is meant for them.
func (bu *Bucket) TakeLiveness(now time.Time, bytes int) bool {
	if bu.liveness.Available(now, 0) < bytes || !bu.Take(now, bytes, 0) {
		return false
	}
	return bu.liveness.Take(now, bytes, 0)
}

// Available returns how many message bytes could be sent now.
func (bu *Bucket) Available(now time.Time, reserve int) int {
	bu.fill(now)
	return int(bu.tokens) - reserve - FrameOverheadBytes
}

// Spent returns the bytes taken since the start.
func (bu *Bucket) Spent() uint64 {
	return bu.spent
}

// fill adds the tokens earned since the last call.
func (bu *Bucket) fill(now time.Time) {
	if !now.After(bu.filled) {
		return
	}
	bu.tokens += bu.bytesPerSecond * now.Sub(bu.filled).Seconds()
	bu.tokens = min(bu.tokens, bu.burst)
	bu.filled = now
}
