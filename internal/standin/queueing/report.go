package queueing

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
)

// Latencies are percentiles of the time from a request's first attempt to its
// answer. Only answers before the deadline count.
type Latencies struct {
	P50  time.Duration
	P99  time.Duration
	P999 time.Duration
}

// Report holds the results of a run. The warm-up is left out unless noted.
type Report struct {
	Urgent     Latencies
	Deferrable Latencies
	// Imbalance is the most work that any host executed, divided by the mean over
	// all hosts. For PolicyCentral, Imbalance and Moved tell nothing about the
	// policy: each execution counts for the host that the flow is hashed to.
	Imbalance float64
	// Goodput is the work of requests answered before their deadline as a share of
	// the capacity of all slots.
	Goodput float64
	// UrgentRefused and DeferrableRefused are the shares of a class's requests that
	// were refused or answered after their deadline. A request that is pending when
	// the run ends counts as neither refused nor answered.
	UrgentRefused     float64
	DeferrableRefused float64
	// Recovery is the time from the end of the brown-out to the end of the last
	// disturbed bucket, as defined by slowRatio and refusedShare; zero without a
	// brown-out.
	Recovery time.Duration
	// Moved is the share of requests that were executed by another host than the
	// one that their flow is hashed to.
	Moved float64
	// Messages is the number of messages between agents, those of the warm-up
	// included, divided by the number of requests that arrived after it.
	Messages float64
}

// The criteria by which a bucket of urgent requests counts as disturbed by a
// brown-out.
const (
	// bucketSpan is the time over which a bucket collects requests.
	bucketSpan = 500 * time.Millisecond
	// slowRatio: the 90th percentile of a disturbed bucket's latencies is above
	// this multiple of the one before the brown-out.
	slowRatio = 2
	// refusedShare: more than this share of a disturbed bucket's requests was
	// refused.
	refusedShare = 0.02
)

// bucket holds the results of the urgent requests that arrived within one
// bucketSpan.
type bucket struct {
	latencies []time.Duration
	refused   int
}

// recorder collects the results of a run. Arrays of two are indexed by
// dispatch.Class.
type recorder struct {
	workload   Workload
	latencies  [2][]time.Duration
	refused    [2]int
	arrived    [2]int
	workByHost []time.Duration
	goodWork   time.Duration
	buckets    []bucket
	moved      int
	messages   int
}

// newRecorder returns an empty recorder.
func newRecorder(wl Workload) *recorder {
	return &recorder{
		workload:   wl,
		workByHost: make([]time.Duration, wl.Hosts),
		buckets:    make([]bucket, (warmUp+wl.MeasuredTime)/bucketSpan+1),
	}
}

// isMeasured reports whether the time is after the warm-up.
func (rc *recorder) isMeasured(at time.Time) bool {
	return !at.Before(epoch.Add(warmUp))
}

// arrivalBucket returns the bucket of the request's first attempt.
func (rc *recorder) arrivalBucket(ca *callerRequest) *bucket {
	at := int(ca.firstAttempt.Sub(epoch) / bucketSpan)
	return &rc.buckets[min(at, len(rc.buckets)-1)]
}

// recordArrival counts an arrived request.
func (rc *recorder) recordArrival(ca *callerRequest) {
	if rc.isMeasured(ca.arrival) {
		rc.arrived[ca.class]++
	}
}

// recordExecution records that the host executes the request from now on.
func (rc *recorder) recordExecution(now time.Time, ca *callerRequest, host int) {
	if !rc.isMeasured(now) {
		return
	}
	rc.workByHost[host] += ca.serviceTime
	if host != ca.host {
		rc.moved++
	}
}

// recordAnswer records that an answer reaches the caller. An answer after the
// deadline counts as a refusal.
func (rc *recorder) recordAnswer(now time.Time, ca *callerRequest) {
	if !rc.isMeasured(now) || now.After(ca.deadline) {
		rc.recordRefusal(ca)
		return
	}
	took := now.Sub(ca.firstAttempt)
	rc.goodWork += ca.serviceTime
	rc.latencies[ca.class] = append(rc.latencies[ca.class], took)
	if ca.class == dispatch.ClassUrgent {
		bu := rc.arrivalBucket(ca)
		bu.latencies = append(bu.latencies, took)
	}
}

// recordRefusal counts a request that got no answer before its deadline.
func (rc *recorder) recordRefusal(ca *callerRequest) {
	if !rc.isMeasured(ca.arrival) {
		return
	}
	rc.refused[ca.class]++
	if ca.class == dispatch.ClassUrgent {
		rc.arrivalBucket(ca).refused++
	}
}

// report computes the results of the run.
func (rc *recorder) report() Report {
	capacity := float64(rc.workload.MeasuredTime) * float64(rc.workload.Hosts*rc.workload.Slots)
	arrived := max(1, rc.arrived[0]+rc.arrived[1])
	re := Report{
		Urgent:            latencies(rc.latencies[dispatch.ClassUrgent]),
		Deferrable:        latencies(rc.latencies[dispatch.ClassDeferrable]),
		Goodput:           float64(rc.goodWork) / capacity,
		UrgentRefused:     share(rc.refused[dispatch.ClassUrgent], rc.arrived[dispatch.ClassUrgent]),
		DeferrableRefused: share(rc.refused[dispatch.ClassDeferrable], rc.arrived[dispatch.ClassDeferrable]),
		Moved:             share(rc.moved, arrived),
		Messages:          share(rc.messages, arrived),
	}
	var sum, most time.Duration
	for _, wo := range rc.workByHost {
		sum += wo
		most = max(most, wo)
	}
	if sum > 0 {
		re.Imbalance = float64(most) * float64(len(rc.workByHost)) / float64(sum)
	}
	if rc.workload.BrownOutFactor > 1 {
		re.Recovery = rc.recovery()
	}
	return re
}

// recovery returns the time from the end of the brown-out to the end of the last
// disturbed bucket. If none is disturbed it returns zero, or a negative time of
// less than bucketSpan if BrownOutEnd is not a multiple of bucketSpan.
func (rc *recorder) recovery() time.Duration {
	first := int(warmUp / bucketSpan)
	begin := int(rc.workload.BrownOutStart / bucketSpan)
	end := int(rc.workload.BrownOutEnd / bucketSpan)
	var before []time.Duration
	for _, bu := range rc.buckets[first:begin] {
		before = append(before, bu.latencies...)
	}
	limit := slowRatio * percentile(before, 0.9)
	last := end
	for at := end; at < len(rc.buckets)-1; at++ {
		bu := rc.buckets[at]
		total := len(bu.latencies) + bu.refused
		if percentile(bu.latencies, 0.9) > limit || share(bu.refused, total) > refusedShare {
			last = at + 1
		}
	}
	return time.Duration(last)*bucketSpan - rc.workload.BrownOutEnd
}

// latencies returns the percentiles of the times.
func latencies(times []time.Duration) Latencies {
	return Latencies{
		P50:  percentile(times, 0.5),
		P99:  percentile(times, 0.99),
		P999: percentile(times, 0.999),
	}
}

// percentile returns the element at the given share, from 0 to 1, of the sorted
// times, zero if there are none. It sorts the times in place.
func percentile(times []time.Duration, at float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(at*float64(len(times))), len(times)-1)]
}

// share returns the part divided by the whole, zero if the whole is zero.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
