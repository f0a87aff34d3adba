package absence

import "time"

const (
	// BytesPerSecond limits the questions of all searches of one balancer together. It is
	// a fifth of the narrowest link (10 Mbit/s): without a limit the questions about
	// thousands of flows after a loss of power filled such links, and confirmations and
	// pings were lost.
	BytesPerSecond = 250_000
	// burstBytes is how much may be sent at once: 50 ms of the rate, or 10 ms of the
	// narrowest link.
	burstBytes = 12_500
)

// Budget is a token bucket of bytes. Once it is empty it stays closed until it is full
// again: searches then ask together, and their questions to one agent share a datagram.
// The zero value is full.
type Budget struct {
	// spent is the number of bytes above the rate, as of the time.
	spent  float64
	at     time.Time
	closed bool
}

// settle counts the bytes as of now.
func (bu *Budget) settle(now time.Time) {
	if now.After(bu.at) {
		bu.spent = max(bu.spent-now.Sub(bu.at).Seconds()*BytesPerSecond, 0)
		bu.at = now
	}
	bu.closed = bu.spent >= burstBytes || bu.closed && bu.spent > 0
}

// Open reports whether the next search may ask.
func (bu *Budget) Open(now time.Time) bool {
	bu.settle(now)
	return !bu.closed
}

// Charge takes the bytes, also more than the bucket holds.
func (bu *Budget) Charge(now time.Time, bytes int) {
	bu.settle(now)
	bu.spent += float64(bytes)
	bu.settle(now)
}

// NextTurn returns the time from which Open reports true.
func (bu *Budget) NextTurn() time.Time {
	if !bu.closed && bu.spent < burstBytes {
		return bu.at
	}
	// The extra microsecond makes up for rounding.
	return bu.at.Add(time.Duration(bu.spent/BytesPerSecond*float64(time.Second)) + time.Microsecond)
}
