package carriage

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// viewSettled is how long after its list of the members' entries a balancer's view
// is complete: a process whose entry was just being written has greeted it by then.
const viewSettled = time.Second

// haveAnswered reports whether all of the agents that aren't silent have answered. One of
// a former build answers only if its host may hold the flow. An agent that was asked once
// and hasn't answered isn't silent: the question or the answer was lost, and the next round
// or the flow's next packet asks it again.
func (pl *Placer) haveAnswered(now time.Time, se *search, list []*agent) bool {
	for _, ag := range list {
		silent := ag.suspect || ag.outbox.former || ag.outbox.isSilent(now) || ag.report.State == register.StateGone
		if !silent && !se.absent.Has(ag.number) && !se.answered.Has(ag.number) {
			return false
		}
	}
	return true
}

// resetIfAbsent resets the caller if it is proved that no host holds the flow, and
// forgets the flow.
func (pl *Placer) resetIfAbsent(now time.Time, tf *trackedFlow) bool {
	agents, proved := pl.provedAbsent(now, tf)
	if !proved {
		return false
	}
	pl.actions = append(pl.actions, Action{
		Kind: KindReset, Flow: tf.flow, Reason: ReasonNotHeld, Acknowledged: tf.search.acknowledged, Agents: agents,
	})
	pl.forget(tf)
	return true
}

// provedAbsent reports whether it is proved that no host holds the flow. An agent whose
// host has checked out need not answer. One that does, and doesn't say Absent, has a host
// that has started since. It returns the number of agents of which that was proved.
func (pl *Placer) provedAbsent(now time.Time, tf *trackedFlow) (agents int, proved bool) {
	if !pl.viewComplete(now) || pl.awaitsConfirmation(now, tf) {
		return 0, false
	}
	list := pl.mayHold(now, tf)
	for _, ag := range list {
		// A check-out may have been another writer's, so that early checks ask the agent.
		gone := ag.report.State == register.StateGone && !tf.search.early && !tf.search.answered.Has(ag.number)
		if !tf.search.absent.Has(ag.number) && !gone {
			return 0, false
		}
	}
	return len(list), len(list) > 0
}

// isProvedAbsent is provedAbsent without the number.
func (pl *Placer) isProvedAbsent(now time.Time, tf *trackedFlow) bool {
	_, proved := pl.provedAbsent(now, tf)
	return proved
}

// MembersListed notes that the balancer has itself read the members' entries from the
// store.
func (pl *Placer) MembersListed(now time.Time) {
	if pl.listed.IsZero() {
		pl.listed = now
	}
}

// settleView resets, once the view is complete, the callers of flows whose absence was
// proved before.
func (pl *Placer) settleView(now time.Time) {
	if pl.settled || !pl.viewComplete(now) {
		return
	}
	pl.settled = true
	for el := pl.flows.order.Front(); el != nil; {
		next := el.Next()
		if tf := el.Value.(*recentEntry[*trackedFlow]).value; tf.phase == phaseLost {
			pl.resetIfAbsent(now, tf)
		}
		el = next
	}
}

// settlesAt returns when the view will be complete, zero if it is or no list was read.
func (pl *Placer) settlesAt() time.Time {
	if pl.settled || pl.listed.IsZero() || pl.routes == nil {
		return time.Time{}
	}
	return pl.listed.Add(viewSettled)
}

// viewComplete reports whether the balancer knows all agents that may have hosts with
// flows. With older routes than an agent's it may not know that an address was given to
// another service, whose hosts hold flows by now.
func (pl *Placer) viewComplete(now time.Time) bool {
	return !pl.listed.IsZero() && now.Sub(pl.listed) >= viewSettled && pl.routes != nil && pl.routes.Version >= pl.newestVersion
}

// mayHold returns the agents whose hosts may hold the flow, as far as the balancer knows
// without their answers.
func (pl *Placer) mayHold(now time.Time, tf *trackedFlow) []*agent {
	local, remote := pl.possibleAgents(tf.flow)
	return append(append(local, remote...), pl.agentsOfOtherServices(now, tf)...)
}

// possibleAgents returns the agents whose hosts may hold the flow, those of the
// balancer's own failure domain apart: the agents of the services of its address and those
// whose service isn't known yet, or all agents if none is known for the address.
func (pl *Placer) possibleAgents(flow Flow) (local, remote []*agent) {
	var list []*agent
	if pl.routes != nil {
		for _, ws := range pl.routes.Addresses[flow.Service].Services {
			list = append(list, pl.pools[ws.Service]...)
		}
	}
	if len(list) == 0 {
		for _, pool := range pl.pools {
			list = append(list, pool...)
		}
		sortByAddress(list)
	} else {
		// An agent that has just started doesn't know its host's service.
		list = append(list, pl.pools[""]...)
	}
	for _, ag := range list {
		if ag.domain == pl.domain {
			local = append(local, ag)
		} else {
			remote = append(remote, ag)
		}
	}
	return local, remote
}

// agentsOfOtherServices returns the agents of the services that the flow's address is not
// known to have had, while the balancer runs for less than a flow's lifetime, has missed a
// version of the routes within it, or may not have the version yet under which the flow was
// opened. It returns none if the address has no route, as possibleAgents returns all then.
func (pl *Placer) agentsOfOtherServices(now time.Time, tf *trackedFlow) []*agent {
	if pl.routes == nil {
		return nil
	}
	if pl.knowsFormerServices(now) && (pl.isConfirmed(tf) || pl.awaitsConfirmation(now, tf)) {
		return nil
	}
	ro, ok := pl.routes.Addresses[tf.flow.Service]
	if !ok {
		return nil
	}
	var list []*agent
	for service, pool := range pl.pools {
		if service != "" && !ro.Services.Names(service) {
			list = append(list, pool...)
		}
	}
	sortByAddress(list)
	return list
}

// knowsFormerServices reports whether the routes name all services that an address has had
// for a flow's lifetime, up to their version.
func (pl *Placer) knowsFormerServices(now time.Time) bool {
	return now.Sub(pl.started) >= pl.lifetime && pl.routes.IsComplete(now)
}

// isConfirmed reports whether the routes are known to have been the newest since the search
// for the flow began. Before that a version may exist that the balancer doesn't have yet,
// and the flow may have been opened under it.
func (pl *Placer) isConfirmed(tf *trackedFlow) bool {
	return pl.confirmed == nil || tf.search == nil || !pl.confirmed().Before(tf.search.began)
}

// awaitsConfirmation reports whether the absence of the flow can't be proved before the
// routes are confirmed, as there are too many agents of other services to ask all of them
// only for the time until then.
func (pl *Placer) awaitsConfirmation(now time.Time, tf *trackedFlow) bool {
	if pl.isConfirmed(tf) || !pl.knowsFormerServices(now) {
		return false
	}
	others := len(pl.agents)
	for _, ws := range pl.routes.Addresses[tf.flow.Service].Services {
		others -= len(pl.pools[ws.Service])
	}
	return others > maxAskedAtOnce
}

// sortByAddress sorts agents of several services, which are collected in the random order
// of a map.
func sortByAddress(list []*agent) {
	slices.SortFunc(list, func(a, b *agent) int { return a.address.Compare(b.address) })
}
