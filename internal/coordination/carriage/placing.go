package carriage

import (
	"net/netip"
	"time"
)

// handleOpening handles an opening packet or a copy of one.
func (pl *Placer) handleOpening(now time.Time, pk Packet, data []byte, tf *trackedFlow) {
	if pk.Wait+copyAge(pk.Copy) >= pl.parking.openingTimeout {
		// The caller has given up, or has opened the flow with a later copy.
		pl.drop(pk.Flow, ReasonUnconfirmed, true)
		return
	}
	if tf != nil && tf.isReopenedBy(now, pk) {
		pl.forget(tf)
		tf = nil
	}
	if tf != nil {
		tf.noteCopy(pk.Copy)
	}
	if tf != nil && (tf.phase == phaseOpening || tf.phase == phaseParked) {
		// An earlier copy is being confirmed by an agent or waits for a host.
		return
	}
	if tf != nil && tf.phase == phaseLocated && tf.agent.takesNewFlows() {
		tf.phase = phaseOpening
		tf.opening = append(tf.opening[:0], data...)
		tf.tried = append(tf.tried[:0], tf.agent.address)
		pl.sendOpening(now, tf, tf.agent, DeliverOrQueue)
		return
	}
	service, re := pl.serviceOf(pk.Flow)
	if re != ReasonNone && pl.routes != nil {
		pl.refuse(pk.Flow, pk.Copy, re)
		return
	}
	if tf != nil {
		pl.forget(tf)
	}
	tf = &trackedFlow{
		flow: pk.Flow, phase: phaseOpening, opened: now.Add(-pk.Wait), service: service,
		copyNumber: pk.Copy, openingSequence: pk.Sequence, number: pk.Sequence,
		opening: append([]byte(nil), data...), unconfirmed: pk.Copy > 0, index: -1,
	}
	tf.noteCopy(pk.Copy)
	pl.flows.put(now, pk.Flow, tf)
	switch {
	case !pl.informed():
		pl.park(now, tf)
	case pl.isolated(now):
		pl.refuseOpening(now, tf, ReasonIsolated)
	default:
		pl.place(now, tf)
	}
}

// serviceOf returns the service that a new flow goes to.
func (pl *Placer) serviceOf(flow Flow) (string, Reason) {
	if pl.routes == nil {
		return "", ReasonNoRoute
	}
	de, ok := pl.routes.Addresses[flow.Service]
	if !ok {
		return "", ReasonNoRoute
	}
	service := de.Services.Pick(flow.Hash())
	if service == "" {
		return "", ReasonNoRoute
	}
	return service, ReasonNone
}

// place sends the opening packet to the agent with the lowest cost that wasn't
// tried. The packet is sent as DeliverIfFree while the host is estimated to have a
// free slot and fewer than maxOffers hosts have declined the opening as busy, else
// as DeliverOrQueue. If no agent is left or the opening was sent maxAttempts times,
// it is parked or refused.
func (pl *Placer) place(now time.Time, tf *trackedFlow) {
	ag := pl.choose(now, tf)
	if ag == nil || len(tf.tried) >= maxAttempts {
		pl.parkOrRefuse(now, tf)
		return
	}
	pl.attempt(now, tf, ag, pl.modeAt(now, tf, ag))
}

// modeAt returns the mode in which the opening is sent to the agent. A cold host at its
// warm-up limit is asked to queue it, as it is chosen only if no other host is left.
func (pl *Placer) modeAt(now time.Time, tf *trackedFlow, ag *agent) DeliveryMode {
	if ag.isAtWarmUpLimit(now, pl.coldShare(ag.service)) {
		return DeliverOrQueue
	}
	if len(tf.busy) < maxOffers && ag.takesNewFlows() && ag.estimate(now) < float64(ag.report.Slots) {
		return DeliverIfFree
	}
	return DeliverOrQueue
}

// attempt sends the opening packet to the agent and notes the agent as tried.
func (pl *Placer) attempt(now time.Time, tf *trackedFlow, ag *agent, mode DeliveryMode) {
	tf.tried = append(tf.tried, ag.address)
	pl.sendOpening(now, tf, ag, mode)
}

// sendOpening sends the opening packet to the agent and sets the deadline of the
// confirmation.
func (pl *Placer) sendOpening(now time.Time, tf *trackedFlow, ag *agent, mode DeliveryMode) {
	tf.agent = ag
	tf.extended = false
	tf.mode = mode
	ag.sent++
	ag.sentCold.Add(now, pl.coldShare(ag.service))
	load, byWork := pl.addSentLoad(now, tf, ag)
	pl.postponeSlowRetry(now, ag)
	pl.forward(ag, tf.flow, tf.opening, Action{
		Mode: mode, ServiceHash: serviceHash(tf.service), Opening: true, Attempt: len(tf.tried),
		InProgress: ag.estimate(now), ServiceTime: ag.report.ServiceTime, Reported: ag.reported, Started: tf.started(),
		ByWork: byWork, Load: load,
	})
	pl.setDeadline(tf, now.Add(ConfirmTimeout))
}

// handleConfirmTimeout suspects the agent that has not confirmed an opening in
// time and places the opening again.
func (pl *Placer) handleConfirmTimeout(now time.Time, tf *trackedFlow) {
	tf.unconfirmed = true
	pl.suspectAgent(now, tf.agent)
	pl.place(now, tf)
}

// refuse answers an opening packet with a reset. A later copy (copyNumber > 0) is
// dropped instead, as an earlier one may have been accepted meanwhile, and so is
// any copy while the routes are unknown, and for want of a host while the evacuations are.
func (pl *Placer) refuse(flow Flow, copyNumber uint32, re Reason) {
	if copyNumber > 0 || pl.routes == nil || re == ReasonNoHost && !pl.informed() {
		pl.drop(flow, re, true)
		return
	}
	pl.actions = append(pl.actions, Action{Kind: KindReset, Flow: flow, Reason: re, Opening: true})
}

// HandleConfirmation handles an agent's confirmation that its host has accepted
// the flow, or that the opening waits in the agent's queue.
func (pl *Placer) HandleConfirmation(now time.Time, from netip.AddrPort, flow Flow, re Report) []Action {
	pl.actions = pl.actions[:0]
	ag := pl.applyReport(now, from, re)
	tf, ok := pl.flows.get(now, flow)
	if !ok || ag == nil || tf.phase != phaseOpening {
		return pl.actions
	}
	pl.noteRouteCost(flow, re.Work)
	pl.clearDeadline(tf)
	tf.phase = phaseLocated
	tf.agent = ag
	tf.opening = nil
	pl.actions = append(pl.actions, Action{Kind: KindServed, To: from, Flow: flow, Started: tf.opened})
	return pl.actions
}
