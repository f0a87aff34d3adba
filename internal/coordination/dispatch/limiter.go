package dispatch

import (
	"slices"
	"time"
)

// The behaviour of the limiter.
const (
	// limiterSamples is the number of service times in one comparison.
	limiterSamples = 32
	// slowFactor is the growth of the median service time that counts as slow.
	slowFactor = 3
	// contentionFactor is the share of the slow median that a lower limit must
	// reach to be kept, in percent.
	contentionFactor = 60
	// trialPause is the time between two trials of a lower limit.
	trialPause = 5 * time.Second
	// rampTime is how long a started backend server runs below its slots.
	rampTime = 2 * time.Second
	// firstEstimate is the service time that is assumed before any sample.
	firstEstimate = 20 * time.Millisecond
	// meanWeight is the inverse weight of a sample in the mean service time.
	meanWeight = 16
)

// Limiter adapts the number of concurrent executions to the service times that
// the agent sees. When the median grows, it tries one slot fewer and keeps the
// lower limit only if the backend server then runs faster, which tells
// contention apart from a server that is slow at any concurrency.
type Limiter struct {
	slots   int
	limit   int
	rampEnd time.Time
	mean    time.Duration
	best    time.Duration
	slow    time.Duration
	samples []time.Duration
	trialAt time.Time
	keepEnd time.Time
}

// NewLimiter returns a limiter of a backend server that starts now.
func NewLimiter(now time.Time, slots int) *Limiter {
	return &Limiter{
		slots:   slots,
		limit:   slots,
		rampEnd: now.Add(rampTime),
		mean:    firstEstimate,
	}
}

// Limit returns the number of executions that may run at once.
func (li *Limiter) Limit(now time.Time) int {
	if now.Before(li.rampEnd) {
		return max(1, min(li.limit, li.slots/2))
	}
	return li.limit
}

// RampEnd returns when the backend server may use all of its slots.
func (li *Limiter) RampEnd() time.Time {
	return li.rampEnd
}

// Restart begins the ramp of a backend server that came back.
func (li *Limiter) Restart(now time.Time) {
	li.rampEnd = now.Add(rampTime)
	li.limit = li.slots
	li.samples = li.samples[:0]
}

// Mean returns the recent mean service time.
func (li *Limiter) Mean() time.Duration {
	return li.mean
}

// Observe takes the service time of a whole answer.
func (li *Limiter) Observe(now time.Time, took time.Duration) {
	li.mean += (took - li.mean) / meanWeight
	li.samples = append(li.samples, took)
	if len(li.samples) < limiterSamples {
		return
	}
	slices.Sort(li.samples)
	median := li.samples[len(li.samples)/2]
	li.samples = li.samples[:0]
	li.compare(now, median)
}

// compare adjusts the limit to the median of the latest samples.
func (li *Limiter) compare(now time.Time, median time.Duration) {
	if li.limit < li.slots {
		li.judge(now, median)
		return
	}
	if li.best == 0 || median < li.best {
		li.best = median
	}
	li.best += (median - li.best) / limiterSamples
	if median < li.best*slowFactor || now.Before(li.trialAt) || li.slots == 1 {
		return
	}
	li.slow = median
	li.limit--
	li.keepEnd = now.Add(trialPause)
}

// judge decides whether a lowered limit stays.
func (li *Limiter) judge(now time.Time, median time.Duration) {
	if median*100 <= li.slow*contentionFactor && now.Before(li.keepEnd) {
		return
	}
	li.limit = li.slots
	li.trialAt = now.Add(trialPause)
}
