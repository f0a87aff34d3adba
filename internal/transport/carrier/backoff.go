package carrier

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// minBackoff is the backoff after the first failed call to the store, maxBackoff
	// the longest one.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff computes the pause before the next attempt. It doubles with each
// failure.
type backoff struct {
	failures int
}

// wait counts a failure and pauses for a random time between half and the whole of
// the backoff, which is at most maxPause, so that processes don't retry at the same
// time. It reports false if the context ended first.
func (bo *backoff) wait(ctx context.Context, maxPause time.Duration) bool {
	pause := min(minBackoff<<min(bo.failures, 6), maxPause)
	bo.failures++
	return sleepContext(ctx, pause/2+rand.N(pause/2))
}

// sleepContext waits for the pause. It reports false if the context ended first.
func sleepContext(ctx context.Context, pause time.Duration) bool {
	ti := time.NewTimer(pause)
	defer ti.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ti.C:
		return true
	}
}
