package carriage

import (
	"net/netip"
	"time"
)

// HandleHostPacket handles a packet from the host.
func (ga *Gate) HandleHostPacket(now time.Time, pk Packet, data []byte) []Action {
	ga.actions = ga.actions[:0]
	wasSilent := ga.silent
	ga.hostHeard(now)
	if wasSilent {
		ga.announceIfChanged(now)
	}
	if pk.Returned {
		ga.handleReturned(now, pk, data)
		ga.serveQueue(now)
		return ga.actions
	}
	if ga.isTentativeReset(pk) {
		ga.handleTentativeReset(now, pk)
		ga.serveQueue(now)
		return ga.actions
	}
	ga.handleAnswer(now, pk)
	ga.actions = append(ga.actions, Action{Kind: KindReturn, Flow: pk.Flow, Data: data})
	ga.serveQueue(now)
	return ga.actions
}

// isTentativeReset reports whether the packet resets a flow of which packets were only
// delivered tentatively. The host had a former flow between the same addresses, which
// has ended, and the caller's present one may be at another host.
func (ga *Gate) isTentativeReset(pk Packet) bool {
	hf := ga.flows.peek(pk.Flow)
	return pk.Resets && hf != nil && hf.stage == stageTentative
}

// handleTentativeReset keeps the reset from the caller. Further packets of the flow are
// declined, so that its balancer searches elsewhere.
func (ga *Gate) handleTentativeReset(now time.Time, pk Packet) {
	hf := ga.flows.peek(pk.Flow)
	ga.endProgress(now, hf)
	hf.stage = stageNotHeld
	ga.actions = append(ga.actions, Action{Kind: KindDrop, Flow: pk.Flow, Reason: ReasonNotHeld})
}

// handleReturned handles a caller's packet that the host returned.
func (ga *Gate) handleReturned(now time.Time, pk Packet, data []byte) {
	hf := ga.flows.peek(pk.Flow)
	if hf == nil || pk.Opening && hf.stage == stageOpen {
		// A late copy of the opening of a flow in use tells nothing about that flow.
		ga.actions = append(ga.actions, Action{Kind: KindDrop, Flow: pk.Flow, Reason: ReasonNotHeld})
		return
	}
	if pk.Opening && hf.stage == stageAccepted {
		ga.declineReturned(hf, pk, data, ReasonHostRefused)
		return
	}
	re := ReasonNotHeld
	if hf.stage == stageOpen {
		re = ReasonHostLost
	}
	if pk.Opening {
		re = ReasonHostRefused
		ga.eject(now)
	}
	ga.endProgress(now, hf)
	hf.stage = stageNotHeld
	if re == ReasonHostLost {
		hf.stage = stageLost
	}
	if !pk.Opening {
		hf.exchange.host.start(pk.Acknowledged)
	}
	ga.declineReturned(hf, pk, data, re)
}

// declineReturned sends a packet that the host returned back to its balancer.
func (ga *Gate) declineReturned(hf *hostFlow, pk Packet, data []byte, re Reason) {
	ga.actions = append(ga.actions, Action{
		Kind: KindDecline, To: hf.balancer, Flow: pk.Flow, Data: data, Reason: re, Opening: pk.Opening,
		Acknowledged: pk.Acknowledged,
	})
}

// eject reports the host's state as zero for a while, so that it gets no new
// flows. The time doubles from minEjection to maxEjection; the next check-in ends
// it early.
func (ga *Gate) eject(now time.Time) {
	ga.ejectedUntil = now.Add(min(minEjection<<min(ga.ejections, 8), maxEjection))
	ga.ejections++
	ga.announceIfChanged(now)
}

// handleAnswer handles a packet from the host to a caller.
func (ga *Gate) handleAnswer(now time.Time, pk Packet) {
	hf, ok := ga.flows.get(now, pk.Flow)
	if !ok {
		if pk.Resets {
			return
		}
		hf = &hostFlow{flow: pk.Flow, stage: stageOpen}
		hf.exchange.host.start(pk.Sequence)
		hf.exchange.caller.start(pk.Acknowledged)
		if pk.Accepting {
			// The flow is not open yet: its caller may have opened it at another
			// host meanwhile.
			hf.stage = stagePending
		}
		ga.flows.put(now, pk.Flow, hf)
	}
	switch {
	case pk.Accepting && hf.stage == stageOpen:
		// The host answers a late copy of the opening.
		ga.confirm(hf)
	case pk.Accepting:
		hf.stage = stageAccepted
		hf.initialSequence = pk.Sequence
		hf.exchange.host.start(pk.Sequence)
		ga.confirm(hf)
	case hf.stage >= stageTentative && !pk.Resets:
		hf.stage = stageOpen
		hf.exchange.host.start(pk.Sequence)
		ga.actions = append(ga.actions, Action{Kind: KindHeld, To: hf.balancer, Flow: pk.Flow, Acknowledged: pk.Sequence, Sure: true})
	}
	ga.trackAnswer(now, pk, hf)
}

func (ga *Gate) confirm(hf *hostFlow) {
	if hf.balancer.IsValid() {
		ga.confirmTo(hf.balancer, hf.flow)
	}
}

// confirmTo tells the balancer that the host has accepted the flow.
func (ga *Gate) confirmTo(balancer netip.AddrPort, flow Flow) {
	ga.actions = append(ga.actions, Action{Kind: KindConfirm, To: balancer, Flow: flow})
}
