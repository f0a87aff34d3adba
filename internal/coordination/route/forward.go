package route

// visited reports whether the candidate was asked before this host.
func (pc *packetContext) askedBefore(ca Candidate) bool {
	for i := range pc.Index {
		if pc.Chain.Hosts[i].Address == ca.Address {
			return true
		}
	}
	return false
}

// refusedBy reports whether the candidate drains: it has passed on the flow
// that was left to it.
func (pc *packetContext) refusedBy(ca Candidate) bool {
	return pc.Sender == ca.Address || pc.Chain.Hosts[0].Address == ca.Address
}

// point keeps a pointer to the peer and sends the packet there.
func (fl *FlowTable) recordAndSend(pc *packetContext, fs flowState, ca Candidate, re Request) Decision {
	at, ok := fl.findOrAddPeer(ca)
	if !ok || !fl.put(pc.now, pc.key, fs, at) {
		return drop(ReasonFull)
	}
	return fl.send(pc, ca, re)
}

// send sends the packet to the peer: along its chain if the peer is in it. An
// offer has a chain of its own, whose first host is the one that offers.
func (fl *FlowTable) send(pc *packetContext, ca Candidate, re Request) Decision {
	if re == RequestOffer {
		return fl.forward(fl.directHeader(pc, ca), 1, re)
	}
	for i := range pc.Chain.Count {
		if pc.Chain.Hosts[i].sameIncarnation(ca) {
			return fl.forward(pc.Header, i, re)
		}
	}
	return fl.forward(fl.directHeader(pc, ca), 1, re)
}

// follow asks the peer that the pointer names, then the candidates that were
// still to be asked. If none holds the flow, the packet returns to this host,
// or to the first of its chain if the peer was next there anyway.
func (fl *FlowTable) askPeer(pc *packetContext) Decision {
	if next := pc.Index + 1; next < pc.Chain.HolderCount && pc.Chain.Hosts[next].sameIncarnation(pc.peer) {
		return fl.forward(pc.Header, next, RequestAsk)
	}
	he := pc.Header
	he.Chain = Chain{}
	he.Chain.append(fl.self)
	he.Chain.append(pc.peer)
	for i := pc.Index + 1; i < pc.Chain.HolderCount; i++ {
		he.Chain.append(pc.Chain.Hosts[i])
	}
	he.Chain.HolderCount = he.Chain.Count
	if second, ok := pc.Chain.secondChoice(); ok {
		he.Chain.append(second)
	}
	return fl.forward(he, 1, RequestAsk)
}

// shortened returns the header with a chain of this host and the peer. The
// second choice stays behind them.
func (fl *FlowTable) directHeader(pc *packetContext, ca Candidate) Header {
	he := pc.Header
	he.Chain = Chain{HolderCount: 2}
	he.Chain.append(fl.self)
	he.Chain.append(ca)
	if second, ok := pc.Chain.secondChoice(); ok {
		he.Chain.append(second)
	}
	return he
}

// pass returns the decision to send a packet to a candidate of its chain.
func (fl *FlowTable) forward(he Header, index uint8, re Request) Decision {
	he.Index = index
	he.Request = re
	he.Hops++
	he.LoadScore = fl.LoadScore()
	return Decision{Action: ActionForward, To: he.Chain.Hosts[index].Address, Header: he}
}
