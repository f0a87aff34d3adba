package route

// visited reports whether the candidate was asked before this host.
func (pa *passage) visited(ca Candidate) bool {
	for i := range pa.Index {
		if pa.Chain.Hosts[i].Address == ca.Address {
			return true
		}
	}
	return false
}

// refusedBy reports whether the candidate drains: it has passed on the flow
// that was left to it.
func (pa *passage) refusedBy(ca Candidate) bool {
	return pa.Sender == ca.Address || pa.Chain.Hosts[0].Address == ca.Address
}

// point keeps a pointer to the peer and sends the packet there.
func (fl *FlowTable) point(pa *passage, kn knowledge, ca Candidate, re Request) Decision {
	at, ok := fl.peerOf(ca)
	if !ok || !fl.put(pa.now, pa.key, kn, at) {
		return drop(ReasonFull)
	}
	return fl.send(pa, ca, re)
}

// send sends the packet to the peer: along its chain if the peer is in it. An
// offer has a chain of its own, whose first host is the one that offers.
func (fl *FlowTable) send(pa *passage, ca Candidate, re Request) Decision {
	if re == RequestOffer {
		return fl.pass(fl.shortened(pa, ca), 1, re)
	}
	for i := range pa.Chain.Count {
		if pa.Chain.Hosts[i].same(ca) {
			return fl.pass(pa.Header, i, re)
		}
	}
	return fl.pass(fl.shortened(pa, ca), 1, re)
}

// follow asks the peer that the pointer names, then the candidates that were
// still to be asked. If none holds the flow, the packet returns to this host,
// or to the first of its chain if the peer was next there anyway.
func (fl *FlowTable) follow(pa *passage) Decision {
	if next := pa.Index + 1; next < pa.Chain.HolderCount && pa.Chain.Hosts[next].same(pa.peer) {
		return fl.pass(pa.Header, next, RequestAsk)
	}
	he := pa.Header
	he.Chain = Chain{}
	he.Chain.append(fl.self)
	he.Chain.append(pa.peer)
	for i := pa.Index + 1; i < pa.Chain.HolderCount; i++ {
		he.Chain.append(pa.Chain.Hosts[i])
	}
	he.Chain.HolderCount = he.Chain.Count
	if second, ok := pa.Chain.alternate(); ok {
		he.Chain.append(second)
	}
	return fl.pass(he, 1, RequestAsk)
}

// shortened returns the header with a chain of this host and the peer. The
// second choice stays behind them.
func (fl *FlowTable) shortened(pa *passage, ca Candidate) Header {
	he := pa.Header
	he.Chain = Chain{HolderCount: 2}
	he.Chain.append(fl.self)
	he.Chain.append(ca)
	if second, ok := pa.Chain.alternate(); ok {
		he.Chain.append(second)
	}
	return he
}

// pass returns the decision to send a packet to a candidate of its chain.
func (fl *FlowTable) pass(he Header, index uint8, re Request) Decision {
	he.Index = index
	he.Request = re
	he.Hops++
	he.LoadScore = fl.Pressure()
	return Decision{Action: ActionForward, To: he.Chain.Hosts[index].Address, Header: he}
}
