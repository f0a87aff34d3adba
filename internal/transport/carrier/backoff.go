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

// backoff computes the pause between two attempts. It doubles with each failure.
type backoff struct {
	failures int
}

// wait counts a failure of the attempt that began at the given time. It waits until a
// random time between half and the whole of the pause has passed since then, so that
// processes don't retry at the same time; the pause is at most maxPause. It reports
// false if the context ended first.
func (bo *backoff) wait(ctx context.Context, began time.Time, maxPause time.Duration) bool {
	pause := min(minBackoff<<min(bo.failures, 6), maxPause)
	bo.failures++
	return sleepContext(ctx, pause/2+rand.N(pause/2)-time.Since(began))
}

// waitAfterFirst counts a failure like wait, and doesn't wait after the first one.
func (bo *backoff) waitAfterFirst(ctx context.Context, began time.Time, maxPause time.Duration) {
	if bo.failures > 0 {
		bo.wait(ctx, began, maxPause)
		return
	}
	bo.failures++
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
