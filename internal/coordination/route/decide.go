package route

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// packetContext holds a packet and what the table knows of its flow while the
// agent decides on it.
type packetContext struct {
	Packet
	// now is in nanoseconds since the table's start.
	now int64
	// key is the flow's key in the table.
	key uint64
	// state is the flow's state before the packet. Unless the flow is unknown,
	// peer is the host to which its packets went.
	state flowState
	peer  Candidate
}

// Decide returns what to do with a packet and updates the table. It allocates
// memory only to grow the table.
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
		// The forwarding entries of several agents may form a loop. Once this entry
		// is removed, the flow's next packet is handled as that of an unknown flow.
		if ok {
			fl.remove(at)
		}
		return drop(ReasonHopLimit)
	}
	return fl.decideUnheld(&pc)
}

// validate checks the chain's bounds and that the chain names this incarnation
// of the host at the packet's index. It returns ReasonNone for a valid packet.
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

// decideRoutable handles a packet whose connection ID names a host. A packet for
// another host is forwarded directly to it, unless an agent has forwarded it
// already.
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

// handleAsk handles RequestAsk: the sender, a balancer or an agent, looks for the
// host that holds the flow.
func (fl *FlowTable) handleAsk(pc *packetContext) Decision {
	switch pc.state {
	case flowAsked:
		if !pc.askedBefore(pc.peer) {
			return fl.askPeer(pc)
		}
		// Both hosts asked each other and neither holds the flow.
		return fl.breakTie(pc)
	case flowDelegated:
		return fl.repeatDelegation(pc)
	case flowOffered:
		return fl.send(pc, pc.peer, RequestOffer)
	default:
		return fl.askNextHolder(pc)
	}
}

// askNextHolder forwards the packet to the next possible holder that isn't known
// to be gone. If there is none, the first host of the chain opens the flow.
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

// handleOpen handles RequestOpen and RequestTake: the sender wants this host to
// open the flow.
func (fl *FlowTable) handleOpen(pc *packetContext) Decision {
	switch pc.state {
	case flowDelegated:
		if pc.Request == RequestTake && pc.refusedBy(pc.peer) {
			return fl.openOrOffer(pc)
		}
		if pc.Sender == pc.peer.Address {
			// Both hosts delegated the flow to each other.
			return fl.breakTie(pc)
		}
		return fl.repeatDelegation(pc)
	case flowOffered:
		if pc.Sender == pc.peer.Address {
			// The peer refused the offer.
			return fl.openHere(pc)
		}
		return fl.send(pc, pc.peer, RequestOffer)
	default:
		return fl.openOrOffer(pc)
	}
}

// handleOffer handles RequestOffer: the sender opens the flow itself if this host
// refuses.
func (fl *FlowTable) handleOffer(pc *packetContext) Decision {
	fromPeer := pc.Sender == pc.peer.Address
	switch {
	case pc.state == flowAsked && !fromPeer:
		return fl.askPeer(pc)
	case pc.state == flowDelegated:
		return fl.send(pc, pc.peer, RequestOpen)
	case pc.state == flowOffered && fromPeer:
		// Both hosts offered the flow to each other.
		return fl.breakTie(pc)
	case pc.state == flowOffered:
		return fl.send(pc, pc.peer, RequestOffer)
	case fl.draining || fl.LoadScore() >= pc.LoadScore:
		return fl.recordAndSend(pc, flowDelegated, pc.Chain.Hosts[0], RequestOpen)
	default:
		return fl.openHere(pc)
	}
}

// repeatDelegation asks the peer again to open the flow that was delegated to it.
func (fl *FlowTable) repeatDelegation(pc *packetContext) Decision {
	if fl.draining {
		return fl.send(pc, pc.peer, RequestTake)
	}
	return fl.send(pc, pc.peer, RequestOpen)
}

// isGone reports whether the candidate's incarnation is known to be gone.
func (fl *FlowTable) isGone(ca Candidate) bool {
	i, ok := fl.peerIndex[ca.Address]
	return ok && fl.peers[i].sameIncarnation(ca) && fl.peers[i].state == register.StateGone
}

// breakTie decides which of two hosts opens a flow: the one with the lower
// address.
func (fl *FlowTable) breakTie(pc *packetContext) Decision {
	if fl.self.Address.Compare(pc.peer.Address) < 0 {
		return fl.openOrOffer(pc)
	}
	return fl.recordAndSend(pc, flowDelegated, pc.peer, RequestOpen)
}

// openOrOffer opens a flow on this host, offers it to the second choice of the
// chain, or delegates it if the host drains. Only the first host of the chain
// offers.
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

// openHere opens a flow on this host, or delegates it if the host drains.
func (fl *FlowTable) openHere(pc *packetContext) Decision {
	if fl.draining {
		return fl.delegate(pc)
	}
	if !fl.put(pc.now, pc.key, flowHeld, 0) {
		return drop(ReasonFull)
	}
	return Decision{Action: ActionOpen}
}

// delegate forwards a new flow of a draining host to a host that takes new work.
// It prefers, in this order: the host to which the flow was delegated before, the
// second choice, the other candidates of the chain, any other host of the service
// that is known to take new work.
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

// mayTake reports whether a flow may be delegated to a candidate. A candidate
// whose state isn't known may take it. This host, the sender of a RequestTake and
// a host that is known to take no new work may not.
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
