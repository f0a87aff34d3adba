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
func (ca Candidate) shortIncarnation() uint16 {
	return uint16(ca.Incarnation)
}

// same reports whether both name the same incarnation of a host.
func (ca Candidate) sameIncarnation(other Candidate) bool {
	return ca.Address == other.Address && ca.shortIncarnation() == other.shortIncarnation()
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
func (ch *Chain) secondChoice() (Candidate, bool) {
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
type rankedHost struct {
	cost uint64
	slot uint16
}

// best holds the cheapest hosts in order.
type best [MaxChain]rankedHost

func emptyBest() best {
	return best{{cost: infiniteCost}, {cost: infiniteCost}, {cost: infiniteCost}}
}

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

// chain ranks the hosts in a bucket.
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
		// The lost host kept pointers to flows that it had offered to others,
		// which need not have owned the bucket.
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

// join returns the owner, the other holders and the second choice.
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
