package dispatch

import (
	"slices"
	"time"
)

// The parameters of the limiter.
const (
	// baselineSamples is the number of service times per median at the full
	// limit. Its inverse is also the weight in the baseline of a median that is
	// not slow.
	baselineSamples = 32
	// trialSamples is the number of service times per median at a reduced limit.
	trialSamples = 12
	// firstReducedTime is how long a reduced limit that helps is kept at first
	// before all slots are used again.
	firstReducedTime = time.Second
	// maxReducedTime bounds the doubling of that time.
	maxReducedTime = 16 * time.Second
	// baselineWeight is the inverse weight in the baseline of the median at a
	// reduced limit that did not help.
	baselineWeight = 8
	// slowFactor is how many times the baseline a median must reach to count as
	// slow.
	slowFactor = 3
	// contentionPercent is how many percent of the slow median the median at a
	// reduced limit may reach at most for the reduction to count as helpful.
	contentionPercent = 60
	// failedTrialPause is how long no limit is reduced after a reduction that did
	// not help.
	failedTrialPause = 5 * time.Second
	// warmSamples is the number of service times in each of the two consecutive
	// groups that are compared during slow start.
	warmSamples = 8
	// warmPercent is how many percent of the earlier group's median the later
	// group's must at least be for the server to count as warm.
	warmPercent = 70
	// slowStartTime is how long slow start lasts at most.
	slowStartTime = 2 * time.Second
	// initialMean is the mean service time that is assumed before any sample.
	initialMean = 20 * time.Millisecond
	// meanWeight is the inverse weight of a sample in the mean service time.
	meanWeight = 16
)

// Limiter adapts the number of concurrent executions to the observed service
// times. When their median reaches slowFactor times the baseline, it reduces the
// limit by one slot, and keeps the lower limit for a while only if the backend
// server then runs faster. That distinguishes contention from a server that is
// slow at any concurrency. A
// backend server that was just started gets half of its slots at first, at
// least one (slow start).
type Limiter struct {
	// slots is the limit when it is not reduced.
	slots int
	limit int
	// slowStartEnd is when slow start ends.
	slowStartEnd time.Time
	// mean is the moving average of the service times.
	mean time.Duration
	// baseline is the usual median service time, a moving average of medians; it
	// is zero before the first.
	baseline time.Duration
	// slowMedian is the median that caused the reduction.
	slowMedian time.Duration
	// samples are the service times since the last comparison.
	samples []time.Duration
	// nextTrial is the earliest time of the next reduction.
	nextTrial time.Time
	// reducedEnd is when the reduction ends even if it helps.
	reducedEnd time.Time
	// reducedTime is how long the next reduction lasts if it helps.
	reducedTime time.Duration
}

// NewLimiter returns the limiter of a backend server that starts now.
func NewLimiter(now time.Time, slots int) *Limiter {
	return &Limiter{
		slots:        slots,
		limit:        slots,
		slowStartEnd: now.Add(slowStartTime),
		mean:         initialMean,
		reducedTime:  firstReducedTime,
	}
}

// Limit returns the number of executions that may run at once.
func (li *Limiter) Limit(now time.Time) int {
	if now.Before(li.slowStartEnd) {
		return max(1, min(li.limit, li.slots/2))
	}
	return li.limit
}

// SlowStartEnd returns when slow start ends.
func (li *Limiter) SlowStartEnd() time.Time {
	return li.slowStartEnd
}

// Restart begins slow start anew for a backend server that works again.
func (li *Limiter) Restart(now time.Time) {
	li.slowStartEnd = now.Add(slowStartTime)
	li.limit = li.slots
	li.samples = li.samples[:0]
}

// Mean returns the moving average of the service times.
func (li *Limiter) Mean() time.Duration {
	return li.mean
}

// Observe records the service time of a complete response.
func (li *Limiter) Observe(now time.Time, took time.Duration) {
	li.mean += (took - li.mean) / meanWeight
	li.samples = append(li.samples, took)
	if now.Before(li.slowStartEnd) {
		li.checkWarm(now)
		return
	}
	if len(li.samples) < li.samplesNeeded() {
		return
	}
	slices.Sort(li.samples)
	median := li.samples[len(li.samples)/2]
	li.samples = li.samples[:0]
	li.adjust(now, median)
}

// checkWarm ends slow start early once service times no longer fall.
func (li *Limiter) checkWarm(now time.Time) {
	if len(li.samples) < 2*warmSamples {
		return
	}
	former, latter := li.samples[:warmSamples], li.samples[warmSamples:]
	slices.Sort(former)
	slices.Sort(latter)
	if latter[warmSamples/2]*100 >= former[warmSamples/2]*warmPercent {
		li.slowStartEnd = now
	}
	li.samples = li.samples[:0]
}

// samplesNeeded returns the number of samples for the next median.
func (li *Limiter) samplesNeeded() int {
	if li.limit < li.slots {
		return trialSamples
	}
	return baselineSamples
}

// adjust changes the limit according to the median of the latest samples.
func (li *Limiter) adjust(now time.Time, median time.Duration) {
	if li.limit < li.slots {
		li.evaluateReduction(now, median)
		return
	}
	if li.baseline == 0 || median < li.baseline {
		li.baseline = median
	}
	if median < li.baseline*slowFactor {
		li.baseline += (median - li.baseline) / baselineSamples
		li.reducedTime = firstReducedTime
		return
	}
	if now.Before(li.nextTrial) || li.slots == 1 {
		return
	}
	li.slowMedian = median
	li.limit--
	li.reducedEnd = now.Add(li.reducedTime)
}

// evaluateReduction decides whether a reduced limit stays. A reduction that
// helps until its end lasts twice as long the next time.
func (li *Limiter) evaluateReduction(now time.Time, median time.Duration) {
	helped := median*100 <= li.slowMedian*contentionPercent
	if helped && now.Before(li.reducedEnd) {
		return
	}
	li.limit = li.slots
	if helped {
		li.reducedTime = min(2*li.reducedTime, maxReducedTime)
		return
	}
	li.nextTrial = now.Add(failedTrialPause)
	li.baseline += (median - li.baseline) / baselineWeight
}
