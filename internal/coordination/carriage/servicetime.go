package carriage

import (
	"slices"
	"time"
)

const (
	// firstServiceTime is taken for the time of a request until some were seen.
	firstServiceTime = 30 * time.Millisecond
	// serviceTimeMemory is the time in which an average loses its meaning.
	serviceTimeMemory = time.Second
	// leastServiceTimeShare and mostServiceTimeShare bound the share of the newest
	// time in the average, which grows with the time since the one before.
	leastServiceTimeShare = 0.1
	mostServiceTimeShare  = 0.5
	// slowRatio is how many times the typical service time a host takes that is
	// placed as a slow one. Hosts that are alike differ by less.
	slowRatio = 2
	// slowRetry is the time between two flows that all balancers together give to
	// a slow host to learn whether it still is.
	slowRetry = 500 * time.Millisecond
	// serviceTimeAnnounce is the least time between two announcements of an
	// agent that only tell a new service time.
	serviceTimeAnnounce = 2 * time.Second
	// typicalRefresh is how long a typical service time is used.
	typicalRefresh = 100 * time.Millisecond
)

// serviceTime is a moving average of how long a host takes from the opening of a
// flow to the end of its answer. The zero value has seen none.
type serviceTime struct {
	mean time.Duration
	last time.Time
}

// add takes the time of one request.
func (st *serviceTime) add(now time.Time, took time.Duration) {
	share := 1.0
	if !st.last.IsZero() {
		gap := float64(now.Sub(st.last)) / float64(serviceTimeMemory)
		share = min(max(gap, leastServiceTimeShare), mostServiceTimeShare)
	}
	st.mean += time.Duration(share * float64(took-st.mean))
	st.last = now
}

// value returns the average, firstServiceTime before the first request.
func (st *serviceTime) value() time.Duration {
	if st.last.IsZero() {
		return firstServiceTime
	}
	return st.mean
}

// changed reports whether a service time is at least twice or at most half of
// one that was told before.
func changed(told, current time.Duration) bool {
	if told == 0 {
		told = firstServiceTime
	}
	return current >= slowRatio*told || told >= slowRatio*current
}

// typical is the median of the service times of a service's hosts.
type typical struct {
	time    time.Duration
	expires time.Time
}

// typicalOf returns the median of what the hosts of the service take for a
// request, zero while too few are known to tell.
func (pl *Placer) typicalOf(now time.Time, service string) time.Duration {
	if ty, ok := pl.typical[service]; ok && now.Before(ty.expires) {
		return ty.time
	}
	var times []time.Duration
	for _, ag := range pl.pools[service] {
		if ag.report.ServiceTime > 0 {
			times = append(times, ag.report.ServiceTime)
		}
	}
	ty := typical{expires: now.Add(typicalRefresh)}
	if len(times) > 1 {
		slices.Sort(times)
		ty.time = times[(len(times)-1)/2]
	}
	pl.typical[service] = ty
	return ty.time
}

// slowness returns how many times the usual service time the host takes, 1 if
// it isn't slow. It answers hosts that turn slow while others have room: a flow
// there costs its caller more than a short wait elsewhere. A slow host counts as
// usual once in a while, or nobody would learn that it has recovered.
func (ag *agent) slowness(now time.Time, usual time.Duration) float64 {
	if usual == 0 || ag.report.ServiceTime < slowRatio*usual || !now.Before(ag.retrySlow) {
		return 1
	}
	return float64(ag.report.ServiceTime) / float64(usual)
}

// noteSlow puts the next flow to learn from off, after one was sent to the host.
func (pl *Placer) noteSlow(now time.Time, ag *agent) {
	ag.retrySlow = now.Add(slowRetry * time.Duration(pl.others+1))
}
