package carriage

import (
	"math"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// skipReason is the reason why a host of the pool isn't considered for an opening.
type skipReason uint8

const (
	skipNone skipReason = iota
	// skipTried is a host that the opening was sent to before.
	skipTried
	// skipSuspected is a host whose agent is suspected.
	skipSuspected
	// skipState is a host that takes no new flows in its state. A draining host
	// isn't skipped: it takes flows during drainGrace if no other host does.
	skipState
	// skipEvacuated is a host whose failure domain is evacuated.
	skipEvacuated
	// skipWarming is a cold host that has got the balancer's share of its warm-up limit.
	// It isn't skipped if no other host takes new flows: it is asked to queue the opening.
	skipWarming

	// skipReasonCount is the number of reasons.
	skipReasonCount
)

// evaluation is the evaluation of one host for one opening.
type evaluation struct {
	agent *agent
	skip  skipReason
	// candidate and cost are set only if the host isn't skipped. Of those hosts the
	// one with the lowest cost is chosen.
	candidate bool
	cost      float64
}

// ranking evaluates the hosts of a service for one opening. It changes neither the
// placer nor the flow. It is used by value, because one is made for each opening.
type ranking struct {
	placer *Placer
	now    time.Time
	flow   *trackedFlow
	pool   pool
	// preferred are the flow's candidates; basis is what the hosts are ranked by.
	preferred candidates
	basis     basis
	// first is the position in the pool of the host that is evaluated first. It
	// depends on the flow, so that hosts of equal cost get equal shares.
	first int
	// share is the balancer's share of the warm-up limit by which hosts are skipped, zero
	// if none are.
	share int
}

// rank returns the ranking of the hosts of the flow's service, given their median
// service time.
func (pl *Placer) rank(now time.Time, tf *trackedFlow, median time.Duration) ranking {
	ra := ranking{placer: pl, now: now, flow: tf, pool: pl.pools[tf.service], basis: pl.basisOf(tf.flow, tf.service, median)}
	if len(ra.pool) > 0 {
		ra.preferred = pl.candidatesOf(tf.flow, tf.service)
		ra.first = int(tf.flow.Hash() % uint64(len(ra.pool)))
		ra.share = pl.coldShare(tf.service)
		if ra.share > 0 && !ra.hasHostBelowLimit() {
			ra.share = 0
		}
	}
	return ra
}

// hasHostBelowLimit reports whether a host that takes new flows isn't skipped.
func (ra *ranking) hasHostBelowLimit() bool {
	for _, ag := range ra.pool {
		if ag.takesNewFlows() && ra.skipReasonOf(ag) == skipNone {
			return true
		}
	}
	return false
}

// hostAt evaluates the i-th host in the order of the flow.
func (ra *ranking) hostAt(i int) evaluation {
	ag := ra.pool[(ra.first+i)%len(ra.pool)]
	ev := evaluation{agent: ag, skip: ra.skipReasonOf(ag)}
	if ev.skip == skipNone {
		ev.candidate = ra.preferred.contains(ag)
		ev.cost = ra.costOf(ag, ev.candidate)
	}
	return ev
}

// skipReasonOf returns why the host isn't considered, skipNone if it is.
func (ra *ranking) skipReasonOf(ag *agent) skipReason {
	switch {
	case ra.flow.hasTried(ag):
		return skipTried
	case ag.suspect:
		return skipSuspected
	case ag.evacuated:
		return skipEvacuated
	case !ag.report.State.TakesNewWork() && ag.report.State != register.StateDraining:
		return skipState
	case ag.isAtWarmUpLimit(ra.now, ra.share):
		return skipWarming
	default:
		return skipNone
	}
}

// costOf returns the cost of the host for the opening.
func (ra *ranking) costOf(ag *agent, candidate bool) float64 {
	cost := ra.placer.cost(ra.now, ag, ra.basis) + ag.extraCost()
	if !candidate {
		cost += nonCandidateCost
	}
	return cost
}

// best returns the host with the lowest cost, nil if all are skipped. Of hosts of
// equal cost it is the first in the order of the flow.
func (ra *ranking) best() *agent {
	var best *agent
	least := math.Inf(1)
	for i := range ra.pool {
		if ev := ra.hostAt(i); ev.skip == skipNone && ev.cost < least {
			best, least = ev.agent, ev.cost
		}
	}
	return best
}

// choose returns the agent with the lowest cost for a new flow among those that
// were not tried, nil if none is left. Agents of draining hosts come last.
func (pl *Placer) choose(now time.Time, tf *trackedFlow) *agent {
	if len(pl.pools[tf.service]) == 0 {
		return nil
	}
	ra := pl.rank(now, tf, pl.medianOf(now, tf.service))
	return ra.best()
}
