package route

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// passage is one packet on its way through a decision.
type passage struct {
	Packet
	now int64
	key uint64
	// known is what the agent knew of the flow, and of whom.
	known knowledge
	peer  Candidate
}

// Decide returns what to do with a packet. It allocates nothing but room for
// new flows.
func (fl *FlowTable) Decide(now time.Time, pk Packet) Decision {
	instant := fl.instant(now)
	fl.sweepSome(instant, sweepStep)
	if pk.Service != fl.service {
		return drop(ReasonWrongService)
	}
	if pk.Routable {
		return fl.decideRoutable(pk)
	}
	if re := fl.check(&pk); re != ReasonNone {
		return drop(re)
	}
	fl.learnPressure(instant, &pk)

	pa := passage{Packet: pk, now: instant, key: fl.key.flow(pk.Caller, pk.ID)}
	at, ok := fl.find(instant, pa.key)
	if ok {
		fw := &fl.flows[at]
		fw.deadline = instant + int64(FlowIdle)
		if fw.knowledge == held {
			return Decision{Action: ActionAccept}
		}
		pa.known = fw.knowledge
		pa.peer = fl.peers[fw.peer].Candidate
	}
	if pk.Hops >= MaxHops {
		// The pointers may form a circle; the next packet starts afresh.
		if ok {
			fl.remove(at)
		}
		return drop(ReasonHopLimit)
	}
	return fl.decideUnheld(&pa)
}

// check validates what the packet says of the receiver.
func (fl *FlowTable) check(pk *Packet) Reason {
	ch := &pk.Chain
	if ch.Count > MaxChain || ch.HolderCount > ch.Count || pk.Index >= ch.Count {
		return ReasonMalformedChain
	}
	me := ch.Hosts[pk.Index]
	if me.Address != fl.self.Address {
		return ReasonMalformedChain
	}
	if me.tag() != fl.self.tag() {
		return ReasonStaleIncarnation
	}
	return ReasonNone
}

// decideRoutable handles a packet whose connection ID names a host. One of
// another host is passed on once, straight to it.
func (fl *FlowTable) decideRoutable(pk Packet) Decision {
	if pk.Target.Address == fl.self.Address {
		if pk.Target.Incarnation != fl.self.tag() {
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
	return fl.pass(he, 0, RequestAsk)
}

// decideUnheld handles a packet of a flow that the host doesn't hold.
func (fl *FlowTable) decideUnheld(pa *passage) Decision {
	switch pa.Request {
	case RequestAsk:
		return fl.asked(pa)
	case RequestOpen, RequestTake:
		return fl.told(pa)
	case RequestOffer:
		return fl.offered(pa)
	default:
		return drop(ReasonMalformedChain)
	}
}

// asked handles a packet whose sender wants to know whether the host holds the
// flow.
func (fl *FlowTable) asked(pa *passage) Decision {
	switch pa.known {
	case asked:
		if !pa.visited(pa.peer) {
			return fl.follow(pa)
		}
		// Each of the two asked the other and neither holds the flow.
		return fl.breakTie(pa)
	case promised:
		return fl.leave(pa)
	case offered:
		return fl.send(pa, pa.peer, RequestOffer)
	default:
		return fl.askNext(pa)
	}
}

// askNext asks the next candidate that isn't known to be gone; the last one
// hands the packet back to the first.
func (fl *FlowTable) askNext(pa *passage) Decision {
	for next := pa.Index + 1; next < pa.Chain.HolderCount; next++ {
		if !fl.isGone(pa.Chain.Hosts[next]) {
			return fl.point(pa, asked, pa.Chain.Hosts[next], RequestAsk)
		}
	}
	if pa.Index == 0 {
		return fl.open(pa)
	}
	return fl.point(pa, promised, pa.Chain.Hosts[0], RequestOpen)
}

// told handles a packet whose sender leaves the flow to this host.
func (fl *FlowTable) told(pa *passage) Decision {
	switch pa.known {
	case promised:
		if pa.Request == RequestTake && pa.refusedBy(pa.peer) {
			return fl.open(pa)
		}
		if pa.Sender == pa.peer.Address {
			return fl.breakTie(pa)
		}
		return fl.leave(pa)
	case offered:
		if pa.Sender == pa.peer.Address {
			return fl.hold(pa)
		}
		return fl.send(pa, pa.peer, RequestOffer)
	default:
		return fl.open(pa)
	}
}

// offered handles a packet whose sender would open the flow if this host won't.
func (fl *FlowTable) offered(pa *passage) Decision {
	fromPeer := pa.Sender == pa.peer.Address
	switch {
	case pa.known == asked && !fromPeer:
		return fl.follow(pa)
	case pa.known == promised:
		return fl.send(pa, pa.peer, RequestOpen)
	case pa.known == offered && fromPeer:
		return fl.breakTie(pa)
	case pa.known == offered:
		return fl.send(pa, pa.peer, RequestOffer)
	case fl.draining || fl.Pressure() >= pa.LoadScore:
		return fl.point(pa, promised, pa.Chain.Hosts[0], RequestOpen)
	default:
		return fl.hold(pa)
	}
}

// leave repeats that the flow is left to the peer.
func (fl *FlowTable) leave(pa *passage) Decision {
	if fl.draining {
		return fl.send(pa, pa.peer, RequestTake)
	}
	return fl.send(pa, pa.peer, RequestOpen)
}

// isGone reports whether the candidate is known to have left.
func (fl *FlowTable) isGone(ca Candidate) bool {
	i, ok := fl.peerIndex[ca.Address]
	return ok && fl.peers[i].same(ca) && fl.peers[i].state == register.StateGone
}

// breakTie settles which of two hosts opens a flow: the one of lower address.
func (fl *FlowTable) breakTie(pa *passage) Decision {
	if fl.self.Address.Compare(pa.peer.Address) < 0 {
		return fl.open(pa)
	}
	return fl.point(pa, promised, pa.peer, RequestOpen)
}

// open opens a flow, unless the host drains or offers it to its second choice.
func (fl *FlowTable) open(pa *passage) Decision {
	if fl.draining {
		return fl.handOver(pa)
	}
	second, ok := pa.Chain.alternate()
	if ok && pa.Index == 0 && fl.wantsOffer(pa.now, second) {
		return fl.point(pa, offered, second, RequestOffer)
	}
	return fl.hold(pa)
}

// hold opens a flow.
func (fl *FlowTable) hold(pa *passage) Decision {
	if fl.draining {
		return fl.handOver(pa)
	}
	if !fl.put(pa.now, pa.key, held, 0) {
		return drop(ReasonFull)
	}
	return Decision{Action: ActionOpen}
}

// handOver passes a new flow to a host that takes new work. A choice that was
// made for the flow stays.
func (fl *FlowTable) handOver(pa *passage) Decision {
	if pa.known == promised && fl.mayTake(pa, pa.peer) {
		return fl.send(pa, pa.peer, RequestTake)
	}
	if second, ok := pa.Chain.alternate(); ok && fl.mayTake(pa, second) {
		return fl.point(pa, promised, second, RequestTake)
	}
	for _, ca := range pa.Chain.candidates() {
		if fl.mayTake(pa, ca) {
			return fl.point(pa, promised, ca, RequestTake)
		}
	}
	for i := range fl.peers {
		pe := &fl.peers[i]
		if pe.state.TakesNewWork() && fl.mayTake(pa, pe.Candidate) {
			return fl.point(pa, promised, pe.Candidate, RequestTake)
		}
	}
	return drop(ReasonDraining)
}

// mayTake reports whether a candidate may take new work, as far as is known.
func (fl *FlowTable) mayTake(pa *passage, ca Candidate) bool {
	if ca.Address == fl.self.Address {
		return false
	}
	if pa.Request == RequestTake && ca.Address == pa.Sender {
		return false
	}
	i, ok := fl.peerIndex[ca.Address]
	return !ok || fl.peers[i].state == 0 || fl.peers[i].state.TakesNewWork()
}
