package backend

import (
	"sync"
	"time"
)

// Health is the body of the health endpoint.
type Health struct {
	// Healthy is always true: the endpoint answers even when the work crawls.
	Healthy bool
	// Load is the number of requests in work and waiting, some time ago.
	Load int
}

// lagging reports an old load.
type lagging struct {
	lag time.Duration

	mu    sync.Mutex
	taken time.Time
	last  Health
}

// report returns the load as it was at the last refresh.
func (la *lagging) report(now time.Time, load int) Health {
	la.mu.Lock()
	defer la.mu.Unlock()
	old := la.last
	if now.Sub(la.taken) >= la.lag {
		la.taken = now
		la.last = Health{Healthy: true, Load: load}
	}
	old.Healthy = true
	return old
}
