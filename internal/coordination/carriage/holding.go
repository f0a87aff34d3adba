package carriage

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
)

// handleUnknownFlow handles a packet of a flow that the agent doesn't know. The
// packet is delivered if the host may hold the flow: after a restart of the agent
// a balancer still sends the flows here that an earlier process confirmed to it.
func (ga *Gate) handleUnknownFlow(now time.Time, fp ForwardedPacket, data []byte) {
	located := fp.Mode == DeliverOrQueue
	if !ga.mayHold(now) || !located && ga.servedElsewhere(fp.Flow) {
		ga.decline(fp, data, ReasonNotHeld)
		return
	}
	hf := &hostFlow{flow: fp.Flow, stage: stageTentative, balancer: fp.From, located: located}
	hf.exchange.host.start(fp.Acknowledged)
	hf.exchange.caller.start(fp.Sequence)
	ga.flows.put(now, fp.Flow, hf)
	ga.trackRequest(now, fp.Packet, hf)
	ga.deliver(fp.Flow, data, false)
}

// handleKnownFlow handles a packet of a flow that the agent knows.
func (ga *Gate) handleKnownFlow(now time.Time, fp ForwardedPacket, data []byte, hf *hostFlow) {
	if hf.stage >= stageOpen && !hf.isOf(fp.Acknowledged) {
		ga.handleOtherFlow(now, fp, data, hf)
		return
	}
	switch hf.stage {
	case stagePending:
		// This host has not accepted the flow: the caller completes a handshake with
		// another one, or the packet is a late one of an earlier flow.
		ga.decline(fp, data, ReasonNotHeld)
		return
	case stageAccepted:
		if !fp.Resets && !hf.isOf(fp.Acknowledged) {
			ga.handleOtherFlow(now, fp, data, hf)
			return
		}
		hf.stage = stageOpen
		ga.setWorking(now, hf, true)
	case stageTentative:
		if fp.Mode != DeliverTentatively && !hf.located {
			ga.decline(fp, data, ReasonNotHeld)
			return
		}
	case stageNotHeld:
		ga.decline(fp, data, ReasonNotHeld)
		return
	case stageLost:
		ga.decline(fp, data, ReasonHostLost)
		return
	}
	hf.balancer = fp.From
	ga.trackRequest(now, fp.Packet, hf)
	ga.deliver(fp.Flow, data, false)
}

// handleOtherFlow handles a packet of another flow than the known one between the same
// addresses. The host doesn't hold it beside a flow that it has accepted from this
// agent process; otherwise it may.
func (ga *Gate) handleOtherFlow(now time.Time, fp ForwardedPacket, data []byte, hf *hostFlow) {
	if hf.stage == stageOpen || !ga.mayHold(now) {
		ga.decline(fp, data, ReasonNotHeld)
		return
	}
	ga.endProgress(now, hf)
	ga.handleUnknownFlow(now, fp, data)
}

// acknowledges reports whether an acknowledgement number belongs to the
// acceptance with the given initial sequence number. Before a flow is open the
// host sends nothing else, so a caller can't acknowledge a later byte; a wider
// window could match the acknowledgement of another host's acceptance.
func acknowledges(number, initialSequence uint32) bool {
	return number-initialSequence <= 1
}

// HandleFind answers a balancer of a former build that searches for the agent of a flow.
// It returns no action if the host doesn't hold the flow. The question of a balancer that
// understands numbered answers gets one.
func (ga *Gate) HandleFind(now time.Time, from netip.AddrPort, fr FindRequest) []Action {
	if fr.Number != 0 {
		return ga.HandleFindHolders(now, from, fr.Number, []Question{fr.question()})
	}
	ga.actions = ga.actions[:0]
	switch ga.answer(now, fr.question()) {
	case absence.Held:
		ga.actions = append(ga.actions, Action{Kind: KindHeld, To: from, Flow: fr.Flow, Acknowledged: fr.Acknowledged, Sure: true})
	case absence.Possible:
		hf := ga.flows.peek(fr.Flow)
		if fr.Possible && (hf == nil || hf.stage >= stageTentative && !hf.isOf(fr.Acknowledged)) {
			ga.actions = append(ga.actions, Action{Kind: KindHeld, To: from, Flow: fr.Flow, Acknowledged: fr.Acknowledged})
		}
	}
	return ga.actions
}

// HandleFindHolders answers the questions of a balancer that searches for the agents of
// flows, one answer for each question.
func (ga *Gate) HandleFindHolders(now time.Time, from netip.AddrPort, number uint32, list []Question) []Action {
	ga.actions = ga.actions[:0]
	answers := make([]absence.Answer, len(list))
	for i, qu := range list {
		answers[i] = ga.answer(now, qu)
	}
	ga.actions = append(ga.actions, Action{Kind: KindHolders, To: from, Number: number, Questions: list, Answers: answers})
	return ga.actions
}

// answer tells whether the host holds the flow of a caller's packet.
func (ga *Gate) answer(now time.Time, qu Question) absence.Answer {
	hf := ga.flows.peek(qu.Flow)
	switch {
	case hf != nil && hf.isKnownHolder() && hf.isOf(qu.Acknowledged):
		return absence.Held
	case hf != nil && hf.hasReturned(qu.Acknowledged) || ga.Gone():
		return absence.Absent
	case hf != nil && hf.mayBecomeOf(qu.Acknowledged):
		return absence.Possible
	case hf != nil && hf.isKnownHolder() && (hf.stage == stageOpen || !ga.mayHold(now)):
		// A host doesn't hold two flows between the same addresses.
		return absence.Reused
	case !ga.mayHold(now) && !ga.certainty.Repeated(now):
		return absence.Provisional
	case !ga.mayHold(now):
		return absence.Absent
	case ga.servedElsewhere(qu.Flow):
		// The routes are no proof: the address may have had the host's service before.
		return absence.Unknown
	case !ga.hostOlder:
		return absence.Unlikely
	default:
		return absence.Possible
	}
}

// mayHold reports whether the host may hold flows that the agent doesn't know.
func (ga *Gate) mayHold(now time.Time) bool { return !ga.Gone() && !ga.certainty.Certain(now) }

// servedElsewhere reports whether the flow's address may have belonged only to other
// services than the host's, for as long as a flow may last. Agents of other services are
// asked too, by a balancer that doesn't know the present or the former routes.
func (ga *Gate) servedElsewhere(flow Flow) bool {
	if ga.routes == nil {
		return true
	}
	ro, ok := ga.routes.Addresses[flow.Service]
	return ok && !ro.Services.Names(ga.service)
}
