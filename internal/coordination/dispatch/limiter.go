package dispatch

import (
	"slices"
	"time"
)

// The behaviour of the limiter.
const (
	// limiterSamples is the number of service times in one comparison.
	limiterSamples = 32
	// judgeSamples is the number of service times that judge a lower limit.
	judgeSamples = 12
	// keepTime is how long a lower limit that proved better is kept before all
	// slots are tried again.
	keepTime = time.Second
	// longestKeep bounds the doubling of keepTime.
	longestKeep = 16 * time.Second
	// adoptWeight is the inverse weight of a lasting slowness in the ordinary
	// service time.
	adoptWeight = 8
	// slowFactor is the growth of the median service time that counts as slow.
	slowFactor = 3
	// contentionFactor is the share of the slow median that a lower limit must
	// reach to be kept, in percent.
	contentionFactor = 60
	// trialPause is the time after a trial of a lower limit that did not help.
	trialPause = 5 * time.Second
	// warmSamples is the number of service times in each of the two groups that
	// tell whether a cold server still becomes faster.
	warmSamples = 8
	// warmFactor is the median of the latter group, in percent of the former's,
	// from which on a server counts as warm.
	warmFactor = 70
	// rampTime is how long a started backend server runs below its slots at the
	// most.
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
	// keep is how long the next lower limit is kept if it helps.
	keep time.Duration
}

// NewLimiter returns a limiter of a backend server that starts now.
func NewLimiter(now time.Time, slots int) *Limiter {
	return &Limiter{
		slots:   slots,
		limit:   slots,
		rampEnd: now.Add(rampTime),
		mean:    firstEstimate,
		keep:    keepTime,
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
	if now.Before(li.rampEnd) {
		li.warm(now)
		return
	}
	if len(li.samples) < li.needed() {
		return
	}
	slices.Sort(li.samples)
	median := li.samples[len(li.samples)/2]
	li.samples = li.samples[:0]
	li.compare(now, median)
}

// warm ends the ramp early once service times no longer fall.
func (li *Limiter) warm(now time.Time) {
	if len(li.samples) < 2*warmSamples {
		return
	}
	former, latter := li.samples[:warmSamples], li.samples[warmSamples:]
	slices.Sort(former)
	slices.Sort(latter)
	if latter[warmSamples/2]*100 >= former[warmSamples/2]*warmFactor {
		li.rampEnd = now
	}
	li.samples = li.samples[:0]
}

// needed returns the number of samples in the next comparison.
func (li *Limiter) needed() int {
	if li.limit < li.slots {
		return judgeSamples
	}
	return limiterSamples
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
	if median < li.best*slowFactor {
		li.best += (median - li.best) / limiterSamples
		li.keep = keepTime
		return
	}
	if now.Before(li.trialAt) || li.slots == 1 {
		return
	}
	li.slow = median
	li.limit--
	li.keepEnd = now.Add(li.keep)
}

// judge decides whether a lowered limit stays. One that helps is kept twice as
// long the next time.
func (li *Limiter) judge(now time.Time, median time.Duration) {
	helped := median*100 <= li.slow*contentionFactor
	if helped && now.Before(li.keepEnd) {
		return
	}
	li.limit = li.slots
	if helped {
		li.keep = min(2*li.keep, longestKeep)
		return
	}
	li.trialAt = now.Add(trialPause)
	li.best += (median - li.best) / adoptWeight
}
