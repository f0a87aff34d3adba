package carriage

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/evacuation"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// SetEvacuations replaces the set of evacuated failure domains, whose agents get no
// openings, and then places openings that wait.
func (pl *Placer) SetEvacuations(now time.Time, set evacuation.Set) []Action {
	pl.actions = pl.actions[:0]
	pl.evacuations = set
	pl.awaitsEvacuations = false
	for _, ag := range pl.agents {
		ag.evacuated = set.Contains(ag.domain)
	}
	pl.unpark(now)
	return pl.actions
}

// informed reports whether the placer knows what it needs to place openings: the routes
// and, unless evacuation is off, the evacuated domains.
func (pl *Placer) informed() bool { return pl.routes != nil && !pl.awaitsEvacuations }

// reasonNoHost returns why no host takes the opening: hosts of its service are evacuated
// and none is left elsewhere, or there is no host.
func (pl *Placer) reasonNoHost(tf *trackedFlow) Reason {
	evacuated := len(tf.evacuated) > 0
	for _, ag := range pl.pools[tf.service] {
		if ag.takesNewFlows() && !slices.Contains(tf.evacuated, ag.domain) {
			return ReasonNoHost
		}
		evacuated = evacuated || ag.evacuated
	}
	if evacuated {
		return ReasonEvacuated
	}
	return ReasonNoHost
}

// SetEvacuated says whether the failure domain of the agent is evacuated. While it is,
// openings are declined, those that wait included, and the flows that the host has
// accepted go on.
func (ga *Gate) SetEvacuated(now time.Time, evacuated bool) []Action {
	ga.actions = ga.actions[:0]
	if ga.evacuated == evacuated {
		return ga.actions
	}
	ga.evacuated = evacuated
	ga.announceIfChanged(now)
	ga.serveQueue(now)
	return ga.actions
}

// state returns the state of the host to report to balancers: that of the host, and
// draining in place of a state in which it would take new flows while it is evacuated.
func (ga *Gate) state(now time.Time) register.State {
	st := ga.HostState(now)
	if ga.evacuated && st.TakesNewWork() {
		return register.StateDraining
	}
	return st
}

// reasonForEmptyQueue returns the reason with which openings that wait are declined when
// the host takes no new flows.
func (ga *Gate) reasonForEmptyQueue() Reason {
	if ga.evacuated {
		return ReasonEvacuated
	}
	return ReasonDraining
}
