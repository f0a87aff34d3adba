package route

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// maxDirectHosts is the largest number of settled hosts that are ranked for each
// packet. The hosts of a larger service are ranked in advance for every bucket.
const maxDirectHosts = 32

// member is the host in a slot of a service. A slot is reused after its host has
// been removed.
type member struct {
	Candidate
	used bool
	// minInverseWeight is the inverse of the highest weight with which the host
	// has taken new work since it started. It is zero if it has taken none.
	minInverseWeight uint64
}

// recordInverseWeight updates minInverseWeight with the inverse of a weight with
// which the host takes new work.
func (me *member) recordInverseWeight(inverseWeight uint64) {
	if inverseWeight != 0 && (me.minInverseWeight == 0 || inverseWeight < me.minInverseWeight) {
		me.minInverseWeight = inverseWeight
	}
}

// costFactors are the values from which a host's cost in a bucket is computed.
type costFactors struct {
	seed uint64
	// inverseWeight is zero while the host owns no buckets.
	inverseWeight uint64
}

// cost returns the host's cost in a bucket. It is infiniteCost while the host owns
// no buckets.
func (cf *costFactors) cost(bucket uint64) uint64 {
	if cf.inverseWeight == 0 {
		return infiniteCost
	}
	return exponentialDraw(cf.seed, bucket) * cf.inverseWeight
}

// unsettled is a host whose share has changed within the last HolderWindow, which
// drains, or which may hold flows for which only a host that has ended had
// forwarding entries (see askReducedHosts).
type unsettled struct {
	// The inverse weight is zero while the host takes no new work.
	costFactors
	slot uint16
	// minInverseWeight is the inverse of the highest weight with which the host
	// may have received flows that it still holds. It covers the time since the
	// host last settled or restarted, draining included, or the whole time since
	// it started if another host of the service has ended (see askReducedHosts).
	// It is zero if the host had no weight in that time.
	minInverseWeight uint64
	// maxInverseWeight is the inverse of the host's lowest weight since it last
	// settled. It is zero if the host took no new work for a part of that time.
	maxInverseWeight uint64
	// gone marks a host in the state Gone, which isn't asked.
	gone bool
	// draining keeps the host unsettled after the deadline.
	draining bool
	// deadline is when the host may settle.
	deadline time.Time
}

// pair holds the slots of the two settled hosts of least cost in a bucket.
type pair struct {
	first, second uint16
}

// noSlot is the value of a pair's missing host.
const noSlot = ^uint16(0)

// service is the ranking of one service's hosts. It is immutable once its table is
// built.
type service struct {
	id      register.ServiceID
	members []member
	// settled holds the cost factors of the settled hosts by their slots. The
	// elements of other slots are zero.
	settled      []costFactors
	settledCount int
	// equalWeights reports whether all settled hosts have the same weight.
	equalWeights bool
	unsettled    []unsettled
	// pairs holds the pair of every bucket. It is nil if the service has at most
	// maxDirectHosts settled hosts or hasn't been ranked yet.
	pairs []pair
	// historyUnknown is true until historyDeadline: hosts may have changed before
	// the table knew the service, and still hold flows.
	historyUnknown bool
	// historyDeadline is one HolderWindow after the table first knew the service.
	historyDeadline time.Time
}

// clone returns a copy that shares only the pairs.
func (sv *service) clone() *service {
	copied := *sv
	copied.members = slices.Clone(sv.members)
	copied.settled = slices.Clone(sv.settled)
	copied.unsettled = slices.Clone(sv.unsettled)
	return &copied
}

// settledBest returns the two settled hosts of least cost in a bucket.
func (sv *service) settledBest(bucket uint64) best {
	if sv.pairs != nil {
		return sv.bestOfPair(bucket)
	}
	if len(sv.settled) <= slotMask+1 {
		return sv.scanFew(bucket)
	}
	return sv.scan(bucket)
}

// slotMask covers the low bits of a cost, in which cheapestOfFew keeps the slot.
const slotMask = 1<<6 - 1

// scanFew returns the two settled hosts of least cost in a service with at most
// slotMask+1 slots.
func (sv *service) scanFew(bucket uint64) best {
	pa := sv.cheapestOfFew(bucket)
	be := emptyBest()
	for i, slot := range [2]uint16{pa.first, pa.second} {
		if slot != noSlot {
			be[i] = rankedHost{cost: sv.settled[slot].cost(bucket), slot: slot}
		}
	}
	return be
}

// cheapestOfFew returns the two settled hosts of least cost in a service with at
// most slotMask+1 slots. It keeps the slot in the cost, so that it needs no branch
// that depends on a cost. Among hosts of equal weight those of the highest draws
// have the least cost, so no logarithm is needed.
func (sv *service) cheapestOfFew(bucket uint64) pair {
	first, second := infiniteCost, infiniteCost
	for slot := range sv.settled {
		cf := &sv.settled[slot]
		if cf.inverseWeight == 0 {
			continue
		}
		cost := ^draw(cf.seed, bucket) >> 1
		if !sv.equalWeights {
			cost = exponentialDraw(cf.seed, bucket) * cf.inverseWeight
		}
		cost = cost&^slotMask | uint64(slot)
		second = min(second, max(first, cost))
		first = min(first, cost)
	}
	pa := pair{first: noSlot, second: noSlot}
	if first != infiniteCost {
		pa.first = uint16(first & slotMask)
	}
	if second != infiniteCost {
		pa.second = uint16(second & slotMask)
	}
	return pa
}

// updateEqualWeights sets equalWeights.
func (sv *service) updateEqualWeights() {
	inverseWeight := uint64(0)
	sv.equalWeights = true
	for i := range sv.settled {
		if next := sv.settled[i].inverseWeight; next != 0 {
			sv.equalWeights = sv.equalWeights && (inverseWeight == 0 || inverseWeight == next)
			inverseWeight = next
		}
	}
}

// bestOfPair returns the hosts of a bucket's pair with their costs.
func (sv *service) bestOfPair(bucket uint64) best {
	be := emptyBest()
	pa := sv.pairs[bucket]
	for i, slot := range [2]uint16{pa.first, pa.second} {
		if slot == noSlot {
			break
		}
		be[i] = rankedHost{cost: sv.settled[slot].cost(bucket), slot: slot}
	}
	return be
}

// scan returns the two settled hosts of least cost in a bucket.
func (sv *service) scan(bucket uint64) best {
	be := emptyBest()
	for slot := range sv.settled {
		cf := &sv.settled[slot]
		if cf.inverseWeight == 0 {
			continue
		}
		dr := draw(cf.seed, bucket)
		// -log2(u) is at least 1-u for u up to 1. No logarithm is needed for a host
		// whose cost by this lower bound isn't below the second-lowest cost.
		if (^dr>>32)*cf.inverseWeight >= be[1].cost {
			continue
		}
		cost := negativeLog(dr) * cf.inverseWeight
		if cost < be[0].cost {
			be[0], be[1] = rankedHost{cost: cost, slot: uint16(slot)}, be[0]
		} else if cost < be[1].cost {
			be[1] = rankedHost{cost: cost, slot: uint16(slot)}
		}
	}
	return be
}

// pair returns the slots of the two cheapest hosts.
func (be *best) pair() pair {
	pa := pair{first: noSlot, second: noSlot}
	if be[0].cost != infiniteCost {
		pa.first = be[0].slot
	}
	if be[1].cost != infiniteCost {
		pa.second = be[1].slot
	}
	return pa
}

// rankAll fills in the pairs of all buckets.
func (sv *service) rankAll() {
	sv.pairs = make([]pair, BucketCount)
	for bucket := range sv.pairs {
		be := sv.scan(uint64(bucket))
		sv.pairs[bucket] = be.pair()
	}
}

// insertSettled adds a settled host and updates the pairs in which it is one of
// the two cheapest.
func (sv *service) insertSettled(slot uint16, cf costFactors) {
	for len(sv.settled) <= int(slot) {
		sv.settled = append(sv.settled, costFactors{})
	}
	sv.settled[slot] = cf
	sv.settledCount++
	sv.updateEqualWeights()
	if sv.pairs == nil {
		return
	}
	sv.pairs = slices.Clone(sv.pairs)
	for bucket := range sv.pairs {
		pa := &sv.pairs[bucket]
		cost := cf.cost(uint64(bucket))
		if pa.first == noSlot || cost < sv.settled[pa.first].cost(uint64(bucket)) {
			pa.first, pa.second = slot, pa.first
		} else if pa.second == noSlot || cost < sv.settled[pa.second].cost(uint64(bucket)) {
			pa.second = slot
		}
	}
}

// removeSettled removes a settled host and ranks the others again in the buckets
// whose pair it was in. It returns the host's cost factors, or false if the slot
// holds no settled host.
func (sv *service) removeSettled(slot uint16) (costFactors, bool) {
	if int(slot) >= len(sv.settled) || sv.settled[slot].inverseWeight == 0 {
		return costFactors{}, false
	}
	cf := sv.settled[slot]
	sv.settled[slot] = costFactors{}
	sv.settledCount--
	sv.updateEqualWeights()
	if sv.pairs == nil {
		return cf, true
	}
	if sv.settledCount <= maxDirectHosts {
		sv.pairs = nil
		return cf, true
	}
	sv.pairs = slices.Clone(sv.pairs)
	for bucket, pa := range sv.pairs {
		if pa.first == slot || pa.second == slot {
			be := sv.scan(uint64(bucket))
			sv.pairs[bucket] = be.pair()
		}
	}
	return cf, true
}
