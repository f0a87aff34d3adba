package socket

import "time"

const (
	// idleTime is the time without a datagram after which the senders are assumed to
	// send to other processes.
	idleTime          = 500 * time.Millisecond
	idleCheckInterval = idleTime / 10
)

// WaitUntilIdle waits until no datagrams have arrived for idleTime, at most until
// the deadline, and reports whether that was the case. The function traffic returns
// the number of datagrams received so far.
func WaitUntilIdle(traffic func() int64, deadline time.Time) bool {
	last := traffic()
	idleAt := time.Now().Add(idleTime)
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if now.After(idleAt) {
			return true
		}
		if now.After(deadline) {
			return false
		}
		if count := traffic(); count != last {
			last = count
			idleAt = now.Add(idleTime)
		}
	}
	return false
}
