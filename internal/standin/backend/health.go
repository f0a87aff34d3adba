package backend

import (
	"sync"
	"time"
)

// Health is the body of the health endpoint.
type Health struct {
	// Healthy is always true, also when executions are slow.
	Healthy bool
	// Load is the number of requests that were executed or waited for a slot
	// when the sample was taken.
	Load int
}

// delayedLoad reports the load with a delay. It is safe for concurrent use.
type delayedLoad struct {
	interval time.Duration

	mu        sync.Mutex
	sampledAt time.Time
	sample    Health
}

// report returns the newest sample of the load, then replaces it by the given
// load if it is at least one interval old. The first report is of zero load.
func (dl *delayedLoad) report(now time.Time, load int) Health {
	dl.mu.Lock()
	defer dl.mu.Unlock()
	reported := dl.sample
	if now.Sub(dl.sampledAt) >= dl.interval {
		dl.sampledAt = now
		dl.sample = Health{Healthy: true, Load: load}
	}
	reported.Healthy = true
	return reported
}
