package route

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// MaxChain is the largest number of candidates in a chain.
const MaxChain = 3

// Candidate is a host that may take a packet.
type Candidate struct {
	Address netip.AddrPort
	// Incarnation is that of the host's record. Between instances only the low
	// 16 bits are compared.
	Incarnation uint64
}

// tag returns the part of the incarnation that instances compare.
func (ca Candidate) tag() uint16 {
	return uint16(ca.Incarnation)
}

// same reports whether both name the same incarnation of a host.
func (ca Candidate) same(other Candidate) bool {
	return ca.Address == other.Address && ca.tag() == other.tag()
}

// Chain names the hosts that a packet may have to visit.
type Chain struct {
	// Hosts are the candidates. The first owns the bucket.
	Hosts [MaxChain]Candidate
	// Count is the number of candidates.
	Count uint8
	// HolderCount is the number of candidates, from the first on, that may hold the
	// flow and are asked in turn. A candidate after them is the second choice
	// for a new flow.
	HolderCount uint8
}

// candidates returns the valid part of the array.
func (ch *Chain) candidates() []Candidate {
	return ch.Hosts[:ch.Count]
}

func (ch *Chain) contains(address netip.AddrPort) bool {
	for i := range ch.Count {
		if ch.Hosts[i].Address == address {
			return true
		}
	}
	return false
}

// alternate returns the second choice for a new flow.
func (ch *Chain) alternate() (Candidate, bool) {
	if ch.HolderCount >= ch.Count {
		return Candidate{}, false
	}
	return ch.Hosts[ch.HolderCount], true
}

func (ch *Chain) append(ca Candidate) {
	if ch.Count < MaxChain && !ch.contains(ca.Address) {
		ch.Hosts[ch.Count] = ca
		ch.Count++
	}
}

// Candidates returns the chain of a caller's packet that names no host itself.
// The chain is empty if the service has no host.
func (ta *Table) Candidates(service register.ServiceID, caller netip.AddrPort) Chain {
	sv, ok := ta.services.get(service)
	if !ok {
		return Chain{}
	}
	return sv.chain(ta.key.bucket(service, caller))
}

// ranked is a host with its cost in one bucket.
type ranked struct {
	cost uint64
	slot uint16
}

// best holds the cheapest hosts in order.
type best [MaxChain]ranked

func noBest() best {
	return best{{cost: noCost}, {cost: noCost}, {cost: noCost}}
}

func (be *best) insert(ra ranked) {
	if ra.cost >= be[2].cost {
		return
	}
	switch {
	case ra.cost < be[0].cost:
		be[0], be[1], be[2] = ra, be[0], be[1]
	case ra.cost < be[1].cost:
		be[1], be[2] = ra, be[1]
	default:
		be[2] = ra
	}
}

// chain ranks the hosts in a bucket.
func (sv *service) chain(bucket uint64) Chain {
	if len(sv.unsettled) > 0 || sv.fresh {
		return sv.unsettledChain(bucket, sv.settledBest(bucket))
	}
	if sv.pairs != nil {
		return sv.settledChain(sv.pairs[bucket])
	}
	if len(sv.settled) <= slotMask+1 {
		return sv.settledChain(sv.pairOfFew(bucket))
	}
	be := sv.scan(bucket)
	return sv.settledChain(be.pair())
}

// settledChain returns the chain when no host has changed lately.
func (sv *service) settledChain(pa pair) Chain {
	var ch Chain
	if pa.first != noSlot {
		ch.Hosts[0] = sv.members[pa.first].Candidate
		ch.Count, ch.HolderCount = 1, 1
	}
	if pa.second != noSlot {
		ch.Hosts[1] = sv.members[pa.second].Candidate
		ch.Count = 2
	}
	return ch
}

// unsettledChain returns the chain with the hosts that may have owned the
// bucket since the oldest change. Such a host was cheaper at its highest weight
// than every other host at its lowest weight.
func (sv *service) unsettledChain(bucket uint64, takers best) Chain {
	steady := takers
	bound := steady[0].cost
	lost := noCost
	for i := range sv.unsettled {
		un := &sv.unsettled[i]
		ex := exponent(un.seed, bucket)
		if un.inverse != 0 {
			takers.insert(ranked{cost: ex * un.inverse, slot: un.slot})
		}
		if un.highest != 0 {
			bound = min(bound, ex*un.highest)
		}
		if un.gone {
			lost = min(lost, ex*un.lowest)
		}
	}

	owned := lost < takers[1].cost
	if owned {
		// The lost host kept pointers to flows that it had offered to others,
		// which need not have owned the bucket.
		bound = noCost
	}
	holders := noBest()
	for i := range sv.unsettled {
		un := &sv.unsettled[i]
		if un.lowest == 0 || un.gone {
			continue
		}
		if cost := exponent(un.seed, bucket) * un.lowest; cost <= bound {
			holders.insert(ranked{cost: cost, slot: un.slot})
		}
	}
	if steady[0].cost <= bound {
		holders.insert(steady[0])
	}
	if sv.fresh || owned {
		holders.insert(steady[1])
	}
	return sv.join(&takers, &holders)
}

// join returns the owner, the other holders and the second choice.
func (sv *service) join(takers, holders *best) Chain {
	var ch Chain
	if takers[0].cost != noCost {
		ch.append(sv.members[takers[0].slot].Candidate)
	}
	for _, ra := range holders {
		if ra.cost != noCost {
			ch.append(sv.members[ra.slot].Candidate)
		}
	}
	ch.HolderCount = ch.Count
	for _, ra := range takers {
		if ra.cost != noCost && ch.Count == ch.HolderCount {
			ch.append(sv.members[ra.slot].Candidate)
		}
	}
	return ch
}
