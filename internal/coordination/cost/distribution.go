package cost

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of buckets of a distribution. With bucketRatio
	// between their bounds they reach from firstBound to 11 s, longer than any caller
	// waits.
	bucketCount = 24
	bucketRatio = 1.5
	// firstBound is the upper bound of the first bucket, the least service time that
	// matters beside a round trip.
	firstBound = time.Millisecond
	// halfLife is the time in which the weight of a service time halves. At 17
	// requests a second to a host, 3% of which are long, some 7 long ones then have
	// weight.
	halfLife = 10 * time.Second
	// priorWeight is the weight of the expectation without data, in requests.
	priorWeight = 0.5
)

// distribution is a distribution of service times in exponential buckets.
type distribution struct {
	last time.Time
	// weight holds the decayed number of service times of each bucket, sum their
	// decayed sum in milliseconds.
	weight, sum [bucketCount]float32
}

// milliseconds returns the duration in milliseconds.
func milliseconds(du time.Duration) float64 { return float64(du) / float64(time.Millisecond) }

// duration returns the duration of a number of milliseconds.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// bounds holds the upper bounds of the buckets in milliseconds. The last bucket also
// takes what is above its bound.
var bounds = func() (list [bucketCount]float64) {
	for i := range list {
		list[i] = milliseconds(firstBound) * math.Pow(bucketRatio, float64(i))
	}
	return list
}()

// bucketOf returns the bucket of a number of milliseconds.
func bucketOf(ms float64) int {
	for i, bound := range bounds[:bucketCount-1] {
		if ms <= bound {
			return i
		}
	}
	return bucketCount - 1
}

// decay returns the factor by which weights change from one time to another.
func decay(from, to time.Time, half time.Duration) float64 {
	if from.IsZero() || !to.After(from) {
		return 1
	}
	return math.Exp2(-float64(to.Sub(from)) / float64(half))
}

// add adds a service time.
func (di *distribution) add(now time.Time, took time.Duration) {
	if factor := float32(decay(di.last, now, halfLife)); factor != 1 {
		for i := range di.weight {
			di.weight[i] *= factor
			di.sum[i] *= factor
		}
	}
	if now.After(di.last) {
		di.last = now
	}
	bucket := bucketOf(milliseconds(took))
	di.weight[bucket]++
	di.sum[bucket] += float32(milliseconds(took))
}

// total returns the decayed number and sum of all service times.
func (di *distribution) total() (weight, sum float64) {
	for i := range di.weight {
		weight += float64(di.weight[i])
		sum += float64(di.sum[i])
	}
	return weight, sum
}

// above returns the decayed number of service times above the age and the decayed sum
// of what is left of them after it. Within the bucket of the age they are taken to be
// spread evenly.
func (di *distribution) above(age float64) (weight, rest float64) {
	at := bucketOf(age)
	low, high := 0.0, bounds[at]
	if at > 0 {
		low = bounds[at-1]
	}
	if age < high {
		weight = float64(di.weight[at]) * (high - age) / (high - low)
		rest = weight * (high - age) / 2
	}
	for i := at + 1; i < bucketCount; i++ {
		weight += float64(di.weight[i])
		rest += float64(di.sum[i]) - age*float64(di.weight[i])
	}
	return weight, rest
}
