package route

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// passage is one packet on its way through a decision.
type packetContext struct {
	Packet
	now int64
	key uint64
	// known is what the agent knew of the flow, and of whom.
	state flowState
	peer  Candidate
}

// Decide returns what to do with a packet. It allocates nothing but room for
// new flows.
func (fl *FlowTable) Decide(now time.Time, pk Packet) Decision {
	elapsed := fl.sinceStart(now)
	fl.sweepEntries(elapsed, sweepPerPacket)
	if pk.Service != fl.service {
		return drop(ReasonWrongService)
	}
	if pk.Routable {
		return fl.decideRoutable(pk)
	}
	if re := fl.validate(&pk); re != ReasonNone {
		return drop(re)
	}
	fl.recordLoadScore(elapsed, &pk)

	pc := packetContext{Packet: pk, now: elapsed, key: fl.key.flow(pk.Caller, pk.ID)}
	at, ok := fl.find(elapsed, pc.key)
	if ok {
		fw := &fl.flows[at]
		fw.deadline = elapsed + int64(FlowIdle)
		if fw.state == flowHeld {
			return Decision{Action: ActionAccept}
		}
		pc.state = fw.state
		pc.peer = fl.peers[fw.peer].Candidate
	}
	if pk.Hops >= MaxHops {
		// The pointers may form a circle; the next packet starts afresh.
		if ok {
			fl.remove(at)
		}
		return drop(ReasonHopLimit)
	}
	return fl.decideUnheld(&pc)
}

// check validates what the packet says of the receiver.
func (fl *FlowTable) validate(pk *Packet) Reason {
	ch := &pk.Chain
	if ch.Count > MaxChain || ch.HolderCount > ch.Count || pk.Index >= ch.Count {
		return ReasonMalformedChain
	}
	me := ch.Hosts[pk.Index]
	if me.Address != fl.self.Address {
		return ReasonMalformedChain
	}
	if me.shortIncarnation() != fl.self.shortIncarnation() {
		return ReasonStaleIncarnation
	}
	return ReasonNone
}

// decideRoutable handles a packet whose connection ID names a host. One of
// another host is passed on once, straight to it.
func (fl *FlowTable) decideRoutable(pk Packet) Decision {
	if pk.Target.Address == fl.self.Address {
		if pk.Target.Incarnation != fl.self.shortIncarnation() {
			return drop(ReasonStaleIncarnation)
		}
		return Decision{Action: ActionAccept}
	}
	if pk.Hops > 0 || !pk.Target.Address.IsValid() {
		return drop(ReasonUnknownTarget)
	}
	he := pk.Header
	he.Chain = Chain{Count: 1, HolderCount: 1}
	he.Chain.Hosts[0] = Candidate{Address: pk.Target.Address, Incarnation: uint64(pk.Target.Incarnation)}
	return fl.forward(he, 0, RequestAsk)
}

// decideUnheld handles a packet of a flow that the host doesn't hold.
func (fl *FlowTable) decideUnheld(pc *packetContext) Decision {
	switch pc.Request {
	case RequestAsk:
		return fl.handleAsk(pc)
	case RequestOpen, RequestTake:
		return fl.handleOpen(pc)
	case RequestOffer:
		return fl.handleOffer(pc)
	default:
		return drop(ReasonMalformedChain)
	}
}

// asked handles a packet whose sender wants to know whether the host holds the
// flow.
func (fl *FlowTable) handleAsk(pc *packetContext) Decision {
	switch pc.state {
	case flowAsked:
		if !pc.askedBefore(pc.peer) {
			return fl.askPeer(pc)
		}
		// Each of the two asked the other and neither holds the flow.
		return fl.breakTie(pc)
	case flowDelegated:
		return fl.repeatDelegation(pc)
	case flowOffered:
		return fl.send(pc, pc.peer, RequestOffer)
	default:
		return fl.askNextHolder(pc)
	}
}

// askNext asks the next candidate that isn't known to be gone; the last one
// hands the packet back to the first.
func (fl *FlowTable) askNextHolder(pc *packetContext) Decision {
	for next := pc.Index + 1; next < pc.Chain.HolderCount; next++ {
		if !fl.isGone(pc.Chain.Hosts[next]) {
			return fl.recordAndSend(pc, flowAsked, pc.Chain.Hosts[next], RequestAsk)
		}
	}
	if pc.Index == 0 {
		return fl.openOrOffer(pc)
	}
	return fl.recordAndSend(pc, flowDelegated, pc.Chain.Hosts[0], RequestOpen)
}

// told handles a packet whose sender leaves the flow to this host.
func (fl *FlowTable) handleOpen(pc *packetContext) Decision {
	switch pc.state {
	case flowDelegated:
		if pc.Request == RequestTake && pc.refusedBy(pc.peer) {
			return fl.openOrOffer(pc)
		}
		if pc.Sender == pc.peer.Address {
			return fl.breakTie(pc)
		}
		return fl.repeatDelegation(pc)
	case flowOffered:
		if pc.Sender == pc.peer.Address {
			return fl.openHere(pc)
		}
		return fl.send(pc, pc.peer, RequestOffer)
	default:
		return fl.openOrOffer(pc)
	}
}

// offered handles a packet whose sender would open the flow if this host won't.
func (fl *FlowTable) handleOffer(pc *packetContext) Decision {
	fromPeer := pc.Sender == pc.peer.Address
	switch {
	case pc.state == flowAsked && !fromPeer:
		return fl.askPeer(pc)
	case pc.state == flowDelegated:
		return fl.send(pc, pc.peer, RequestOpen)
	case pc.state == flowOffered && fromPeer:
		return fl.breakTie(pc)
	case pc.state == flowOffered:
		return fl.send(pc, pc.peer, RequestOffer)
	case fl.draining || fl.LoadScore() >= pc.LoadScore:
		return fl.recordAndSend(pc, flowDelegated, pc.Chain.Hosts[0], RequestOpen)
	default:
		return fl.openHere(pc)
	}
}

// leave repeats that the flow is left to the peer.
func (fl *FlowTable) repeatDelegation(pc *packetContext) Decision {
	if fl.draining {
		return fl.send(pc, pc.peer, RequestTake)
	}
	return fl.send(pc, pc.peer, RequestOpen)
}

// isGone reports whether the candidate is known to have left.
func (fl *FlowTable) isGone(ca Candidate) bool {
	i, ok := fl.peerIndex[ca.Address]
	return ok && fl.peers[i].sameIncarnation(ca) && fl.peers[i].state == register.StateGone
}

// breakTie settles which of two hosts opens a flow: the one of lower address.
func (fl *FlowTable) breakTie(pc *packetContext) Decision {
	if fl.self.Address.Compare(pc.peer.Address) < 0 {
		return fl.openOrOffer(pc)
	}
	return fl.recordAndSend(pc, flowDelegated, pc.peer, RequestOpen)
}

// open opens a flow, unless the host drains or offers it to its second choice.
func (fl *FlowTable) openOrOffer(pc *packetContext) Decision {
	if fl.draining {
		return fl.delegate(pc)
	}
	second, ok := pc.Chain.secondChoice()
	if ok && pc.Index == 0 && fl.shouldOffer(pc.now, second) {
		return fl.recordAndSend(pc, flowOffered, second, RequestOffer)
	}
	return fl.openHere(pc)
}

// hold opens a flow.
func (fl *FlowTable) openHere(pc *packetContext) Decision {
	if fl.draining {
		return fl.delegate(pc)
	}
	if !fl.put(pc.now, pc.key, flowHeld, 0) {
		return drop(ReasonFull)
	}
	return Decision{Action: ActionOpen}
}

// handOver passes a new flow to a host that takes new work. A choice that was
// made for the flow stays.
func (fl *FlowTable) delegate(pc *packetContext) Decision {
	if pc.state == flowDelegated && fl.mayTake(pc, pc.peer) {
		return fl.send(pc, pc.peer, RequestTake)
	}
	if second, ok := pc.Chain.secondChoice(); ok && fl.mayTake(pc, second) {
		return fl.recordAndSend(pc, flowDelegated, second, RequestTake)
	}
	for _, ca := range pc.Chain.candidates() {
		if fl.mayTake(pc, ca) {
			return fl.recordAndSend(pc, flowDelegated, ca, RequestTake)
		}
	}
	for i := range fl.peers {
		pe := &fl.peers[i]
		if pe.state.TakesNewWork() && fl.mayTake(pc, pe.Candidate) {
			return fl.recordAndSend(pc, flowDelegated, pe.Candidate, RequestTake)
		}
	}
	return drop(ReasonDraining)
}

// mayTake reports whether a candidate may take new work, as far as is known.
func (fl *FlowTable) mayTake(pc *packetContext, ca Candidate) bool {
	if ca.Address == fl.self.Address {
		return false
	}
	if pc.Request == RequestTake && ca.Address == pc.Sender {
		return false
	}
	i, ok := fl.peerIndex[ca.Address]
	return !ok || fl.peers[i].state == 0 || fl.peers[i].state.TakesNewWork()
}
