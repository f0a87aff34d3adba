package carriage

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// opening handles an opening packet.
func (ga *Gate) opening(now time.Time, of ForwardedPacket, data []byte, ho *holding) {
	if ho == nil || ho.stage >= stageTried {
		if re := ga.refusal(now, of); re != ReasonNone {
			ga.decline(of, data, re)
			return
		}
		if ga.progress >= ga.limit() {
			ga.enqueue(now, of, data)
			return
		}
		ho = &holding{flow: of.Flow, stage: stageOffered, opened: now}
		ga.flows.put(now, of.Flow, ho)
		ga.setWorking(ho, true)
	}
	ga.handOver(now, of, data, ho)
}

// overlap is the number of flows for each slot that the host may have at once:
// while one is worked on the next one ends its handshake.
const overlap = 2

// limit returns the number of flows in progress above which openings wait.
func (ga *Gate) limit() int {
	return overlap * int(max(ga.host.Slots, 1))
}

// enqueue lets an opening wait for the host.
func (ga *Gate) enqueue(now time.Time, of ForwardedPacket, data []byte) {
	var route catalog.Route
	if ga.routes != nil {
		route = ga.routes.Addresses[of.Service]
	}
	// A copy of an opening that waits is confirmed as well, or its balancer would
	// take it to another host.
	if !ga.queue.contains(of.Flow) && !ga.queue.add(now, of, data, route, ga.limit()) {
		ga.decline(of, data, ReasonFull)
		return
	}
	ga.out = append(ga.out, Action{
		Kind: KindConfirm, To: of.From, Flow: of.Flow, Reason: ReasonBusy, InProgress: float64(ga.InProgress()),
	})
}

// serveQueue hands waiting openings over while the host has room, and declines
// them if it takes no more.
func (ga *Gate) serveQueue(now time.Time) {
	ga.endHandshakes(now)
	if len(ga.queue.items) == 0 {
		return
	}
	for _, it := range ga.queue.expired(now) {
		ga.out = append(ga.out, Action{Kind: KindDrop, Flow: it.offer.Flow, Reason: ReasonUnconfirmed, Opening: true})
	}
	if st := ga.state(now); !st.TakesNewWork() {
		for _, it := range ga.queue.drain() {
			ga.decline(it.offer, it.data, ReasonDraining)
		}
		return
	}
	for ga.progress < ga.limit() {
		it, ok := ga.queue.next(now)
		if !ok {
			return
		}
		ho := &holding{flow: it.offer.Flow, stage: stageOffered, opened: now}
		ga.flows.put(now, it.offer.Flow, ho)
		ga.setWorking(ho, true)
		ga.handOver(now, it.offer, it.data, ho)
	}
}

// endHandshakes frees the slots of callers that did not end the handshake.
func (ga *Gate) endHandshakes(now time.Time) {
	for len(ga.handshakes) > 0 {
		ho := ga.handshakes[0]
		if ho.stage <= stageAccepted && now.Sub(ho.opened) < handshakeTimeout {
			return
		}
		if ho.stage <= stageAccepted {
			ga.setWorking(ho, false)
		}
		ga.handshakes = ga.handshakes[1:]
	}
}

// handOver gives an opening to the host.
func (ga *Gate) handOver(now time.Time, of ForwardedPacket, data []byte, ho *holding) {
	ho.balancer = of.From
	if ho.stage == stageOffered {
		ga.handshakes = append(ga.handshakes, ho)
		if ga.unanswered == 0 {
			ga.waitingSince = now
		}
		ga.unanswered++
	}
	ga.deliver(of.Flow, data, true)
}

// refusal returns why the host doesn't take a new flow.
func (ga *Gate) refusal(now time.Time, of ForwardedPacket) Reason {
	st := ga.state(now)
	switch {
	case ga.gone:
		return ReasonDraining
	case (ga.leaving || ga.host.Draining) && !ga.mayTakeLate(now, of):
		return ReasonDraining
	case st == 0 && (!ga.known || of.Mode != UrgencyTake):
		return ReasonHostUnknown
	case of.ServiceHash != serviceTag(ga.host.Service):
		return ReasonWrongService
	case ga.dropped(of):
		return ReasonNoRoute
	case of.Mode == UrgencyOffer && ga.progress >= int(max(ga.host.Slots, 1)):
		return ReasonBusy
	default:
		return ReasonNone
	}
}

// mayTakeLate reports whether a leaving host takes a flow that no other takes.
func (ga *Gate) mayTakeLate(now time.Time, of ForwardedPacket) bool {
	return of.Mode == UrgencyTake && ga.host.Draining && !ga.leaving && now.Sub(ga.drainedAt) < drainGrace
}

// dropped reports whether the agent's configuration is the newer one and has no
// such route.
func (ga *Gate) dropped(of ForwardedPacket) bool {
	if ga.routes == nil || ga.routes.Version < of.Version {
		return false
	}
	return !ga.routes.Addresses[of.Service].Services.Contains(ga.host.Service)
}
