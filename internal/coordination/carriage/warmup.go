package carriage

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/warmup"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// warmUp returns the warm-up limit of the host's service, zero if it has none.
func (ga *Gate) warmUp() catalog.WarmUp {
	if ga.routes == nil {
		return catalog.WarmUp{}
	}
	return ga.routes.WarmUps[ga.service]
}

// presumeCold takes the host for cold for its warm-up time. It is called when an evacuation
// ends, as the host may have been replaced shortly before, and for a host that is presumed
// to be healthy, as it may have started with the agent. The next check-in says whether it
// is cold.
func (ga *Gate) presumeCold(now time.Time) {
	if wu := ga.warmUp(); wu.PerSecond > 0 {
		ga.presumedCold = now.Add(wu.Duration)
	}
}

// coldUntil returns the end of the time in which the host is cold, by its last check-in or
// by presumption.
func (ga *Gate) coldUntil() time.Time {
	if ga.presumedCold.After(ga.host.WarmAt) {
		return ga.presumedCold
	}
	return ga.host.WarmAt
}

// openingLimit returns the number of openings that the host may get within a second, zero
// if there is no limit: the service has none, or the host is warm.
func (ga *Gate) openingLimit(now time.Time) int {
	if !now.Before(ga.coldUntil()) {
		return 0
	}
	return warmup.Limit(ga.warmUp().PerSecond)
}

// mayHandOver reports whether the host may get an opening now.
func (ga *Gate) mayHandOver(now time.Time) bool {
	return ga.handedOver.Allows(now, ga.openingLimit(now))
}

// holdBack queues and confirms an opening above the warm-up limit. It declines the opening
// if it can't be served here in time. A copy of an opening that the host knows is
// confirmed in any case: its balancer would open the flow at another host.
func (ga *Gate) holdBack(now time.Time, fp ForwardedPacket, data []byte, known bool) {
	if !ga.queue.contains(fp.Flow) && !ga.enqueueCold(now, fp, data, known) && !known {
		ga.decline(fp, data, ReasonWarming)
		return
	}
	ga.confirmQueued(fp)
}

// enqueueCold queues an opening above the warm-up limit. It reports false if the opening
// can't be served in time: within its latency target while its balancer offers it to other
// hosts too, else before its caller gives it up. All openings that wait are taken to go
// before it, so that the host isn't promised to more callers than it can serve.
func (ga *Gate) enqueueCold(now time.Time, fp ForwardedPacket, data []byte, known bool) bool {
	limit, ro := ga.openingLimit(now), ga.routeOf(fp)
	at := ga.handedOver.AllowedAt(now, limit, len(ga.queue.items))
	if end := ga.coldUntil(); end.Before(at) {
		at = end
	}
	latest := fp.Started.Add(ga.queue.openingTimeout - callerRoundTrip)
	if fp.Mode == DeliverIfFree {
		latest = fp.Started.Add(ro.LatencyTarget - callerRoundTrip)
	}
	if at.Add(ga.queue.service.value()).After(latest) || !ga.addToQueue(now, fp, data) {
		return false
	}
	ga.queue.items[len(ga.queue.items)-1].known = known
	ga.tickForColdHost(now)
	return true
}

// tickForColdHost brings the next tick forward to when the limit allows the next opening
// that waits, or the caller of one gives up: a refusal that is sent a busyTickInterval
// later doesn't reach the caller any more. It does nothing for services without a limit.
func (ga *Gate) tickForColdHost(now time.Time) {
	if len(ga.queue.items) == 0 || ga.warmUp().PerSecond <= 0 {
		return
	}
	next := ga.handedOver.AllowedAt(now, ga.openingLimit(now), 0)
	if !next.After(now) {
		next = ga.nextTick
	}
	for i := range ga.queue.items {
		// An opening expires after its time, not at it.
		if at := ga.queue.items[i].expires.Add(1); at.Before(next) {
			next = at
		}
	}
	if next.Before(ga.nextTick) {
		ga.nextTick = next
	}
}

// serveQueueOfColdHost delivers queued openings before another one is handled, as the limit
// allows them with time alone: the other one may be a copy of one of them. It reports
// false and does nothing if none waits or the service has no limit.
func (ga *Gate) serveQueueOfColdHost(now time.Time) bool {
	if len(ga.queue.items) == 0 || ga.warmUp().PerSecond <= 0 {
		return false
	}
	ga.serveQueue(now)
	return true
}

// SetSharingBalancers sets the number of other balancers that take new work. They share
// the warm-up limits of the hosts with this one.
func (pl *Placer) SetSharingBalancers(count int) { pl.sharing = count }

// coldShare returns the number of openings that the balancer may send to a cold host of
// the service within a second, zero if there is no limit.
func (pl *Placer) coldShare(service string) int {
	if pl.routes == nil || len(pl.routes.WarmUps) == 0 {
		return 0
	}
	return warmup.Share(warmup.Limit(pl.routes.WarmUps[service].PerSecond), 1+pl.sharing)
}

// presumeCold takes the host of a domain whose evacuation has ended for cold until its
// agent reports.
func (pl *Placer) presumeCold(now time.Time, ag *agent) {
	if pl.coldShare(ag.service) > 0 {
		ag.presumedCold = now.Add(pl.routes.WarmUps[ag.service].Duration)
	}
}

// isCold reports whether the agent's host takes new flows and is cold, by its last report
// or by presumption.
func (ag *agent) isCold(now time.Time) bool {
	st := ag.report.State
	return st == register.StateWarming || st == register.StateReady && now.Before(ag.presumedCold)
}

// isAtWarmUpLimit reports whether the balancer has sent its share of openings to the cold
// host within the last second.
func (ag *agent) isAtWarmUpLimit(now time.Time, share int) bool {
	return share > 0 && ag.isCold(now) && !ag.sentCold.Allows(now, share)
}

// noteWarming notes that the agent declined the opening as its host is cold and can't serve
// it in time. One that was asked to queue it isn't asked again.
func (tf *trackedFlow) noteWarming(ag *agent) {
	if tf.mode == DeliverIfFree {
		tf.busy = append(tf.busy, ag.address)
		return
	}
	tf.warming = append(tf.warming, ag.address)
}

// hasDeclinedToQueue reports whether the agent was asked to queue the opening and declined
// it, as its host is cold.
func (tf *trackedFlow) hasDeclinedToQueue(ag *agent) bool {
	return slices.Contains(tf.warming, ag.address)
}
