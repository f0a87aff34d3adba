package carriage

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/warmup"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// handleOpening delivers, queues or declines an opening packet.
func (ga *Gate) handleOpening(now time.Time, fp ForwardedPacket, data []byte, hf *hostFlow) {
	if ga.evacuated {
		// A copy of an opening that the host knows is declined too: its balancer places it
		// elsewhere or, if the caller's next packet acknowledges this host, searches.
		ga.decline(fp, data, ReasonEvacuated)
		return
	}
	if ga.serveQueueOfColdHost(now) {
		hf, _ = ga.flows.get(now, fp.Flow)
	}
	if hf.isInUseAt(fp) {
		// The caller has completed the handshake and needs no other answer of the host.
		ga.confirmTo(fp.From, fp.Flow)
		return
	}
	known := hf.isOpenedBy(fp)
	if !known {
		if re := ga.declineReason(now, fp); re != ReasonNone {
			// An earlier copy that waits must not be delivered: the balancer may refuse the
			// opening after this answer.
			ga.queue.withdraw(fp.Flow)
			ga.decline(fp, data, re)
			return
		}
	}
	if !ga.mayHandOver(now) {
		ga.holdBack(now, fp, data, known)
		return
	}
	if !known {
		if ga.inProgress >= ga.limit() {
			ga.enqueue(now, fp, data)
			return
		}
		hf = ga.admit(now, fp, hf)
	}
	ga.deliverOpening(now, fp, data, hf)
}

// isOpenedBy reports whether the opening packet is a copy of the one that opened the flow
// at the host. It reports false for no flow.
func (hf *hostFlow) isOpenedBy(fp ForwardedPacket) bool {
	return hf != nil && hf.stage < stageTentative && !hf.closed && hf.openingSequence == fp.Sequence
}

// isInUseAt reports whether the opening packet is a late copy of the one that opened a flow
// which the caller uses. An agent that was restarted doesn't know the number of that
// packet, and takes one near the caller's data for it. It reports false for no flow.
func (hf *hostFlow) isInUseAt(fp ForwardedPacket) bool {
	if hf == nil || hf.stage != stageOpen || hf.closed {
		return false
	}
	if hf.opened.IsZero() {
		return hf.exchange.caller.known && near(fp.Sequence, hf.exchange.caller.end)
	}
	return hf.openingSequence == fp.Sequence
}

// admit returns a new flow in place of the former one between the same addresses,
// nil if there was none.
func (ga *Gate) admit(now time.Time, fp ForwardedPacket, former *hostFlow) *hostFlow {
	if former != nil {
		ga.forget(now, former)
	}
	hf := &hostFlow{flow: fp.Flow, stage: stagePending, opened: now, openingSequence: fp.Sequence}
	hf.exchange.caller.start(fp.Sequence)
	ga.flows.put(now, fp.Flow, hf)
	ga.setWorking(now, hf, true)
	ga.expectWork(hf)
	return hf
}

// flowsPerSlot is the number of flows in progress that a host may have for each
// slot: while it works on one the next one completes its handshake.
const flowsPerSlot = 2

// limit returns the number of flows in progress at which openings are queued.
func (ga *Gate) limit() int {
	return flowsPerSlot * int(max(ga.host.Slots, 1))
}

// enqueue queues an opening and confirms it to the balancer. It declines the
// opening if the queue is full or the wait would exceed the caller's timeout.
func (ga *Gate) enqueue(now time.Time, fp ForwardedPacket, data []byte) {
	// A copy of a queued opening is confirmed as well, or its balancer would send
	// it to another host.
	if !ga.queue.contains(fp.Flow) && !ga.addToQueue(now, fp, data) {
		ga.decline(fp, data, ReasonFull)
		return
	}
	ga.confirmQueued(fp)
}

// addToQueue adds an opening to the queue, and declines those that have made room for
// it. One of which the host had got a copy isn't declined, as the host may have accepted
// it. It reports false if the queue doesn't take the opening.
func (ga *Gate) addToQueue(now time.Time, fp ForwardedPacket, data []byte) bool {
	evicted, ok := ga.queue.add(now, fp, data, ga.routeOf(fp), ga.limit())
	for _, it := range evicted {
		if !it.known {
			ga.decline(it.packet, it.data, ReasonFull)
		}
	}
	return ok
}

// confirmQueued confirms an opening that waits to its balancer.
func (ga *Gate) confirmQueued(fp ForwardedPacket) {
	ga.actions = append(ga.actions, Action{
		Kind: KindConfirm, To: fp.From, Flow: fp.Flow, Reason: ReasonBusy, InProgress: float64(ga.InProgress()),
	})
}

// routeOf returns the route of the packet's address, zero if it is unknown.
func (ga *Gate) routeOf(fp ForwardedPacket) catalog.Route {
	if ga.routes == nil {
		return catalog.Route{}
	}
	return ga.routes.Addresses[fp.Service]
}

// serveQueue delivers queued openings while the host has room. It declines those
// whose callers are about to give up, and all if the host takes no new flows.
func (ga *Gate) serveQueue(now time.Time) {
	ga.endHandshakes(now)
	if len(ga.queue.items) == 0 {
		return
	}
	for _, it := range ga.queue.expired(now) {
		ga.decline(it.packet, it.data, ReasonFull)
	}
	if st := ga.state(now); !st.TakesNewWork() {
		for _, it := range ga.queue.drain() {
			ga.decline(it.packet, it.data, ga.reasonForEmptyQueue())
		}
		return
	}
	for ga.inProgress < ga.limit() && ga.mayHandOver(now) {
		it, ok := ga.queue.next(now)
		if !ok {
			return
		}
		former, _ := ga.flows.get(now, it.packet.Flow)
		switch {
		case !it.known:
			ga.deliverOpening(now, it.packet, it.data, ga.admit(now, it.packet, former))
		case former.isOpenedBy(it.packet):
			ga.deliverOpening(now, it.packet, it.data, former)
		}
	}
}

// endHandshakes removes completed and expired handshakes from the list. A flow
// whose caller has not completed the handshake within handshakeTimeout no longer
// counts as in progress.
func (ga *Gate) endHandshakes(now time.Time) {
	for len(ga.handshakes) > 0 {
		hf := ga.handshakes[0]
		if hf.stage <= stageAccepted && now.Sub(hf.opened) < handshakeTimeout {
			return
		}
		if hf.stage <= stageAccepted {
			ga.setWorking(now, hf, false)
		}
		ga.handshakes = ga.handshakes[1:]
	}
}

// deliverOpening delivers an opening to the host.
func (ga *Gate) deliverOpening(now time.Time, fp ForwardedPacket, data []byte, hf *hostFlow) {
	hf.balancer = fp.From
	ga.handedOver.Add(now, warmup.Limit(ga.warmUp().PerSecond))
	if hf.stage == stagePending {
		ga.handshakes = append(ga.handshakes, hf)
		if ga.unanswered == 0 {
			ga.unansweredSince = now
		}
		ga.unanswered++
	}
	ga.deliver(fp.Flow, data, true)
}

// declineReason returns why the host doesn't take a new flow, or ReasonNone.
func (ga *Gate) declineReason(now time.Time, fp ForwardedPacket) Reason {
	st := ga.state(now)
	switch {
	case ga.gone:
		return ReasonDraining
	case (ga.agentDraining || ga.host.Draining) && !ga.takesWhileDraining(now, fp):
		return ReasonDraining
	case st == 0 && (!ga.known || fp.Mode != DeliverOrQueue):
		return ReasonHostUnknown
	case fp.ServiceHash != serviceHash(ga.host.Service):
		return ReasonWrongService
	case ga.routeRemoved(fp):
		return ReasonNoRoute
	case fp.Mode == DeliverIfFree && ga.inProgress >= int(max(ga.host.Slots, 1)):
		return ReasonBusy
	default:
		return ReasonNone
	}
}

// takesWhileDraining reports whether a draining host takes a flow that no other
// host takes. It does so within drainGrace.
func (ga *Gate) takesWhileDraining(now time.Time, fp ForwardedPacket) bool {
	return fp.Mode == DeliverOrQueue && ga.host.Draining && !ga.agentDraining && now.Sub(ga.drainStart) < drainGrace
}

// routeRemoved reports whether the agent's configuration is at least as new as
// the balancer's and has no route from the flow's address to the host's service.
func (ga *Gate) routeRemoved(fp ForwardedPacket) bool {
	if ga.routes == nil || ga.routes.Version < fp.Version {
		return false
	}
	return !ga.routes.Addresses[fp.Service].Services.Contains(ga.host.Service)
}
