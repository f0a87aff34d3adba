package socket

import "time"

const (
	// quietTime is how long no datagram may arrive before the senders are
	// taken to have turned elsewhere.
	quietTime = 500 * time.Millisecond
	quietStep = quietTime / 10
)

// WaitUntilIdle waits until the count of datagrams has stood still for a while, at
// most until the deadline. It reports whether it has.
func WaitUntilIdle(traffic func() int64, deadline time.Time) bool {
	last := traffic()
	quietAt := time.Now().Add(quietTime)
	ticker := time.NewTicker(quietStep)
	defer ticker.Stop()
	for now := range ticker.C {
		if now.After(quietAt) {
			return true
		}
		if now.After(deadline) {
			return false
		}
		if count := traffic(); count != last {
			last = count
			quietAt = now.Add(quietTime)
		}
	}
	return false
}
