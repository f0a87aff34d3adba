package route

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// MaxChain is the largest number of candidates in a chain.
const MaxChain = 3

// Candidate is one incarnation of a host to which a packet may be sent.
type Candidate struct {
	Address netip.AddrPort
	// Incarnation is that of the host's record. Only its low 16 bits are sent
	// between instances and compared.
	Incarnation uint64
}

// shortIncarnation returns the low 16 bits of the incarnation, which instances
// compare.
func (ca Candidate) shortIncarnation() uint16 {
	return uint16(ca.Incarnation)
}

// sameIncarnation reports whether both are the same incarnation of one host, as
// far as the low 16 bits tell.
func (ca Candidate) sameIncarnation(other Candidate) bool {
	return ca.Address == other.Address && ca.shortIncarnation() == other.shortIncarnation()
}

// Chain is the list of hosts that a packet may have to visit.
type Chain struct {
	// Hosts are the candidates. In a chain from Table.Candidates the first one
	// owns the bucket, unless no host takes new work. In a chain that an agent made
	// it is the agent's host, or the only candidate is the packet's Target.
	Hosts [MaxChain]Candidate
	// Count is the number of candidates.
	Count uint8
	// HolderCount is the number of candidates, from the first on, that may hold
	// the flow and are asked in turn. A candidate after them is the second choice
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

// secondChoice returns the second choice for a new flow, if the chain has one.
func (ch *Chain) secondChoice() (Candidate, bool) {
	if ch.HolderCount >= ch.Count {
		return Candidate{}, false
	}
	return ch.Hosts[ch.HolderCount], true
}

// append adds a candidate, unless the chain is full or has its address.
func (ch *Chain) append(ca Candidate) {
	if ch.Count < MaxChain && !ch.contains(ca.Address) {
		ch.Hosts[ch.Count] = ca
		ch.Count++
	}
}

// Candidates returns the chain of a caller's packet whose connection ID names no
// host. The chain is empty if the service has no host.
func (ta *Table) Candidates(service register.ServiceID, caller netip.AddrPort) Chain {
	sv, ok := ta.services.get(service)
	if !ok {
		return Chain{}
	}
	return sv.chain(ta.key.bucket(service, caller))
}

// rankedHost is a host's slot with the host's cost in one bucket.
type rankedHost struct {
	cost uint64
	slot uint16
}

// best holds the hosts of least cost in a bucket, the cheapest first. Unused
// elements have infiniteCost.
type best [MaxChain]rankedHost

func emptyBest() best {
	return best{{cost: infiniteCost}, {cost: infiniteCost}, {cost: infiniteCost}}
}

// insert adds a host if it is cheaper than one of those held.
func (be *best) insert(ra rankedHost) {
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

// chain returns the chain of a bucket.
func (sv *service) chain(bucket uint64) Chain {
	if len(sv.unsettled) > 0 || sv.historyUnknown {
		return sv.unsettledChain(bucket, sv.settledBest(bucket))
	}
	if sv.pairs != nil {
		return sv.settledChain(sv.pairs[bucket])
	}
	if len(sv.settled) <= slotMask+1 {
		return sv.settledChain(sv.cheapestOfFew(bucket))
	}
	be := sv.scan(bucket)
	return sv.settledChain(be.pair())
}

// settledChain returns the chain of a service all of whose hosts are settled: the
// owner and the second choice.
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

// unsettledChain returns the chain of a service with unsettled hosts. It names
// the hosts that may have owned the bucket since the oldest change: those whose
// cost at their highest weight is at most the cost at its lowest weight of every
// host that took new work all the time. The argument eligible holds the best
// settled hosts; the unsettled ones that take new work are added to it.
func (sv *service) unsettledChain(bucket uint64, eligible best) Chain {
	bestSettled := eligible
	maxOwnerCost := bestSettled[0].cost
	goneCost := infiniteCost
	for i := range sv.unsettled {
		un := &sv.unsettled[i]
		ex := exponentialDraw(un.seed, bucket)
		if un.inverseWeight != 0 {
			eligible.insert(rankedHost{cost: ex * un.inverseWeight, slot: un.slot})
		}
		if un.maxInverseWeight != 0 {
			maxOwnerCost = min(maxOwnerCost, ex*un.maxInverseWeight)
		}
		if un.gone {
			goneCost = min(goneCost, ex*un.minInverseWeight)
		}
	}

	goneMayHaveOwned := goneCost < eligible[1].cost
	if goneMayHaveOwned {
		// The host that is gone had forwarding entries for flows that it had
		// offered to others. These hosts need not have owned the bucket, so all
		// unsettled hosts that have had a weight and the two best settled hosts
		// are possible holders.
		maxOwnerCost = infiniteCost
	}
	holders := emptyBest()
	for i := range sv.unsettled {
		un := &sv.unsettled[i]
		if un.minInverseWeight == 0 || un.gone {
			continue
		}
		if cost := exponentialDraw(un.seed, bucket) * un.minInverseWeight; cost <= maxOwnerCost {
			holders.insert(rankedHost{cost: cost, slot: un.slot})
		}
	}
	if bestSettled[0].cost <= maxOwnerCost {
		holders.insert(bestSettled[0])
	}
	if sv.historyUnknown || goneMayHaveOwned {
		holders.insert(bestSettled[1])
	}
	return sv.buildChain(&eligible, &holders)
}

// buildChain returns the chain of the owner, the other possible holders and the
// second choice, as far as there is room.
func (sv *service) buildChain(eligible, holders *best) Chain {
	var ch Chain
	if eligible[0].cost != infiniteCost {
		ch.append(sv.members[eligible[0].slot].Candidate)
	}
	for _, ra := range holders {
		if ra.cost != infiniteCost {
			ch.append(sv.members[ra.slot].Candidate)
		}
	}
	ch.HolderCount = ch.Count
	for _, ra := range eligible {
		if ra.cost != infiniteCost && ch.Count == ch.HolderCount {
			ch.append(sv.members[ra.slot].Candidate)
		}
	}
	return ch
}
