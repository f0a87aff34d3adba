package warmup

import (
	"slices"
	"time"
)

// Window is the length of the sliding window in which openings are counted.
const Window = time.Second

// Limit returns the number of openings in one Window at the rate, zero if there is no
// limit. A rate below one a second allows one.
func Limit(perSecond float64) int {
	if !(perSecond > 0) {
		return 0
	}
	return max(int(perSecond), 1)
}

// Share returns the part of a limit that each of the balancers that share it may use, at
// least one opening in a Window.
func Share(limit, balancers int) int {
	if limit <= 0 {
		return 0
	}
	return max(limit/max(balancers, 1), 1)
}

// Limiter counts the openings of the last Window. Each method gets the limit that is in
// force, which may change; zero means none. The zero value has counted nothing. It is not
// safe for concurrent use.
type Limiter struct {
	// times are those of the last openings, the oldest first, at most as many as the
	// greatest limit.
	times []time.Time
}

// Add counts an opening, also one above the limit.
func (li *Limiter) Add(now time.Time, limit int) {
	if limit <= 0 {
		li.times = nil
		return
	}
	old := max(len(li.times)+1-limit, 0)
	for old < len(li.times) && now.Sub(li.times[old]) >= Window {
		old++
	}
	li.times = append(slices.Delete(li.times, 0, old), now)
}

// Allows reports whether an opening is below the limit now. It changes nothing.
func (li *Limiter) Allows(now time.Time, limit int) bool {
	return limit <= 0 || len(li.times) < limit || now.Sub(li.times[len(li.times)-limit]) >= Window
}

// AllowedAt returns when one more opening is below the limit, after the given number of
// others that go before it as early as the limit lets them.
func (li *Limiter) AllowedAt(now time.Time, limit, before int) time.Time {
	if limit <= 0 {
		return now
	}
	at := now.Add(time.Duration(before/limit) * Window)
	if i := len(li.times) - limit + before%limit; i >= 0 && i < len(li.times) {
		if free := li.times[i].Add(Window); free.After(now) {
			at = free.Add(time.Duration(before/limit) * Window)
		}
	}
	return at
}
