package route

// askedBefore reports whether the candidate precedes this host in the chain.
func (pc *packetContext) askedBefore(ca Candidate) bool {
	for i := range pc.Index {
		if pc.Chain.Hosts[i].Address == ca.Address {
			return true
		}
	}
	return false
}

// refusedBy reports whether a RequestTake shows that the candidate drains and has
// delegated the flow in turn: it sent the packet or is the first host of its
// chain.
func (pc *packetContext) refusedBy(ca Candidate) bool {
	return pc.Sender == ca.Address || pc.Chain.Hosts[0].Address == ca.Address
}

// recordAndSend keeps a forwarding entry for the flow and sends the packet to the
// peer.
func (fl *FlowTable) recordAndSend(pc *packetContext, fs flowState, ca Candidate, re Request) Decision {
	at, ok := fl.findOrAddPeer(ca)
	if !ok || !fl.put(pc.now, pc.key, fs, at) {
		return drop(ReasonFull)
	}
	return fl.send(pc, ca, re)
}

// send sends the packet to the peer. It keeps the packet's chain if that names
// the peer. An offer always gets a new chain, whose first host is the one that
// offers.
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

// askPeer asks the peer of the flow's forwarding entry, then the possible holders
// that follow this host in the chain. If none of them holds the flow, the packet
// returns to this host. If the peer is the next host of the chain, the chain
// stays as it is, and the packet returns to the first host of the chain instead.
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

// directHeader returns the packet's header with a chain of this host, the peer
// and the former chain's second choice, if it has one.
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

// forward returns the decision to send a packet to the candidate at an index of
// its chain.
func (fl *FlowTable) forward(he Header, index uint8, re Request) Decision {
	he.Index = index
	he.Request = re
	he.Hops++
	he.LoadScore = fl.LoadScore()
	return Decision{Action: ActionForward, To: he.Chain.Hosts[index].Address, Header: he}
}
