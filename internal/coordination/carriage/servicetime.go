package carriage

import (
	"slices"
	"time"
)

const (
	// defaultServiceTime is assumed for a request until the first one was seen.
	defaultServiceTime = 30 * time.Millisecond
	// serviceTimeWindow determines the share of a new value in the average: the time
	// since the previous value, divided by serviceTimeWindow.
	serviceTimeWindow = time.Second
	// minServiceTimeShare and maxServiceTimeShare bound that share.
	minServiceTimeShare = 0.1
	maxServiceTimeShare = 0.5
	// slowRatio is the ratio of a host's service time to the median of its service
	// from which the host counts as slow. Hosts of equal speed differ by less. It is
	// also the change in service time that an agent announces.
	slowRatio = 2
	// slowRetry is the average interval at which all balancers together send a flow
	// to a slow host to find out whether it still is slow.
	slowRetry = 500 * time.Millisecond
	// serviceTimeAnnounce is the least time from any announcement of an agent to
	// one that is made only because the service time has changed.
	serviceTimeAnnounce = 2 * time.Second
	// medianRefresh is how long a cached median service time is used.
	medianRefresh = 100 * time.Millisecond
)

// serviceTime is a moving average of how long a host takes from the delivery of
// an opening to the end of its answer. The zero value is an average without
// values.
type serviceTime struct {
	mean time.Duration
	last time.Time
}

// add adds the time of one request.
func (st *serviceTime) add(now time.Time, took time.Duration) {
	share := 1.0
	if !st.last.IsZero() {
		gap := float64(now.Sub(st.last)) / float64(serviceTimeWindow)
		share = min(max(gap, minServiceTimeShare), maxServiceTimeShare)
	}
	st.mean += time.Duration(share * float64(took-st.mean))
	st.last = now
}

// value returns the average, defaultServiceTime before the first request.
func (st *serviceTime) value() time.Duration {
	if st.last.IsZero() {
		return defaultServiceTime
	}
	return st.mean
}

// serviceTimeChanged reports whether the current service time is at least slowRatio
// times the announced one, or at most 1/slowRatio of it.
func serviceTimeChanged(announced, current time.Duration) bool {
	if announced == 0 {
		announced = defaultServiceTime
	}
	return current >= slowRatio*announced || announced >= slowRatio*current
}

// medianTime is a cached median of the service times of a service's hosts.
type medianTime struct {
	time    time.Duration
	expires time.Time
}

// medianOf returns the median service time of the service's hosts and caches it
// for medianRefresh.
func (pl *Placer) medianOf(now time.Time, service string) time.Duration {
	if mt, ok := pl.cachedMedian(now, service); ok {
		return mt
	}
	mt := pl.pools[service].median()
	pl.medians[service] = medianTime{time: mt, expires: now.Add(medianRefresh)}
	return mt
}

// cachedMedian returns the median that medianOf has cached for the service, false
// if it has none or that has expired.
func (pl *Placer) cachedMedian(now time.Time, service string) (time.Duration, bool) {
	mt, ok := pl.medians[service]
	return mt.time, ok && now.Before(mt.expires)
}

// median returns the median of the service times that the hosts report, which is
// the lower of the two middle ones if their number is even. It is zero while less
// than two hosts report one.
func (po pool) median() time.Duration {
	var times []time.Duration
	for _, ag := range po {
		if ag.report.ServiceTime > 0 {
			times = append(times, ag.report.ServiceTime)
		}
	}
	if len(times) < 2 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// slowness returns the ratio of the host's service time to the median, 1 if the
// host isn't slow. It keeps flows away from hosts that become slow while others
// have room: a slow host costs the caller more time than a short wait for another.
// From retrySlow on it returns 1 also for a slow host, or the balancers would not
// find out that it has recovered.
func (ag *agent) slowness(now time.Time, median time.Duration) float64 {
	if median == 0 || ag.report.ServiceTime < slowRatio*median || !now.Before(ag.retrySlow) {
		return 1
	}
	return float64(ag.report.ServiceTime) / float64(median)
}

// postponeSlowRetry sets retrySlow after an opening was sent to the host. The time
// grows with the number of balancers, which all retry.
func (pl *Placer) postponeSlowRetry(now time.Time, ag *agent) {
	ag.retrySlow = now.Add(slowRetry * time.Duration(pl.otherBalancers+1))
}
