package queueing

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
)

// Latencies are percentiles of the time from arrival to answer.
type Latencies struct {
	P50  time.Duration
	P99  time.Duration
	P999 time.Duration
}

// Report is what a run measured.
type Report struct {
	Urgent     Latencies
	Deferrable Latencies
	// Imbalance is the largest work of a host over the mean.
	Imbalance float64
	// Goodput is the answered work as a share of the slots' capacity.
	Goodput float64
	// UrgentRefused and DeferrableRefused are shares of the requests.
	UrgentRefused     float64
	DeferrableRefused float64
	// Recovery is the time from the end of a brown-out until urgent requests
	// are as fast as before and not refused.
	Recovery time.Duration
	// Moved is the share of requests that ran at a peer.
	Moved float64
	// Messages is the number of messages between agents for each request.
	Messages float64
}

// The judgement of recovery.
const (
	bucketSpan = 500 * time.Millisecond
	// slowRatio is the growth of the 90th percentile that counts as disturbed.
	slowRatio = 2
	// refusedShare is the share of refused requests that counts as disturbed.
	refusedShare = 0.02
)

// bucket holds the urgent requests that arrived within one span.
type bucket struct {
	latencies []time.Duration
	refused   int
}

// ledger of what happened in a run.
type book struct {
	workload  Workload
	latencies [2][]time.Duration
	refused   [2]int
	arrived   [2]int
	work      []time.Duration
	good      time.Duration
	buckets   []bucket
	moved     int
	messages  int
}

// newBook returns an empty book.
func newBook(wl Workload) *book {
	return &book{
		workload: wl,
		work:     make([]time.Duration, wl.Hosts),
		buckets:  make([]bucket, (warmUp+wl.Span)/bucketSpan+1),
	}
}

// measured reports whether the time counts.
func (bo *book) measured(at time.Time) bool {
	return !at.Before(epoch.Add(warmUp))
}

// bucket returns the bucket of a request that arrived at the time.
func (bo *book) bucket(ca *call) *bucket {
	at := int(ca.first.Sub(epoch) / bucketSpan)
	return &bo.buckets[min(at, len(bo.buckets)-1)]
}

// arrive enters a request.
func (bo *book) arrive(ca *call) {
	if bo.measured(ca.arrival) {
		bo.arrived[ca.class]++
	}
}

// run enters the execution of a request at the host.
func (bo *book) run(now time.Time, ca *call, host int) {
	if !bo.measured(now) {
		return
	}
	bo.work[host] += ca.service
	if host != ca.host {
		bo.moved++
	}
}

// answer enters an answer that reaches the caller.
func (bo *book) answer(now time.Time, ca *call) {
	if !bo.measured(now) || now.After(ca.deadline) {
		bo.refuse(ca)
		return
	}
	took := now.Sub(ca.first)
	bo.good += ca.service
	bo.latencies[ca.class] = append(bo.latencies[ca.class], took)
	if ca.class == dispatch.ClassUrgent {
		bu := bo.bucket(ca)
		bu.latencies = append(bu.latencies, took)
	}
}

// refuse enters a request that got no answer in time.
func (bo *book) refuse(ca *call) {
	if !bo.measured(ca.arrival) {
		return
	}
	bo.refused[ca.class]++
	if ca.class == dispatch.ClassUrgent {
		bo.bucket(ca).refused++
	}
}

// report sums the book up.
func (bo *book) report() Report {
	capacity := float64(bo.workload.Span) * float64(bo.workload.Hosts*bo.workload.Slots)
	arrived := max(1, bo.arrived[0]+bo.arrived[1])
	re := Report{
		Urgent:            latencies(bo.latencies[dispatch.ClassUrgent]),
		Deferrable:        latencies(bo.latencies[dispatch.ClassDeferrable]),
		Goodput:           float64(bo.good) / capacity,
		UrgentRefused:     share(bo.refused[dispatch.ClassUrgent], bo.arrived[dispatch.ClassUrgent]),
		DeferrableRefused: share(bo.refused[dispatch.ClassDeferrable], bo.arrived[dispatch.ClassDeferrable]),
		Moved:             share(bo.moved, arrived),
		Messages:          share(bo.messages, arrived),
	}
	var sum, most time.Duration
	for _, wo := range bo.work {
		sum += wo
		most = max(most, wo)
	}
	if sum > 0 {
		re.Imbalance = float64(most) * float64(len(bo.work)) / float64(sum)
	}
	if bo.workload.BrownOut > 1 {
		re.Recovery = bo.recovery()
	}
	return re
}

// recovery returns the time to the end of the last disturbed bucket.
func (bo *book) recovery() time.Duration {
	first := int(warmUp / bucketSpan)
	begin := int(bo.workload.BrownOutStart / bucketSpan)
	end := int(bo.workload.BrownOutEnd / bucketSpan)
	var before []time.Duration
	for _, bu := range bo.buckets[first:begin] {
		before = append(before, bu.latencies...)
	}
	limit := slowRatio * percentile(before, 0.9)
	last := end
	for at := end; at < len(bo.buckets)-1; at++ {
		bu := bo.buckets[at]
		total := len(bu.latencies) + bu.refused
		if percentile(bu.latencies, 0.9) > limit || share(bu.refused, total) > refusedShare {
			last = at + 1
		}
	}
	return time.Duration(last)*bucketSpan - bo.workload.BrownOutEnd
}

// latencies returns the percentiles of the times.
func latencies(times []time.Duration) Latencies {
	return Latencies{
		P50:  percentile(times, 0.5),
		P99:  percentile(times, 0.99),
		P999: percentile(times, 0.999),
	}
}

// percentile returns the time that the share of the times does not exceed. It
// sorts the times.
func percentile(times []time.Duration, at float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(at*float64(len(times))), len(times)-1)]
}

// share returns the part over the whole.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
