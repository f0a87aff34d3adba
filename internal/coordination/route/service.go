package route

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// directHosts is the largest number of settled hosts that are ranked for each
// packet. A service with more has its buckets ranked beforehand.
const maxDirectHosts = 32

// member is a host in a slot. A slot is used again when its host is forgotten.
type member struct {
	Candidate
	used bool
	// peak is the inverse of the highest weight that the host has had since it
	// started, zero if it took no new work.
	minInverseWeight uint64
}

// notePeak takes a weight of the host.
func (me *member) noteWeight(inverseWeight uint64) {
	if inverseWeight != 0 && (me.minInverseWeight == 0 || inverseWeight < me.minInverseWeight) {
		me.minInverseWeight = inverseWeight
	}
}

// rank is what the cost of a host follows from.
type costFactors struct {
	seed uint64
	// inverse is zero while the host takes no part.
	inverseWeight uint64
}

// cost returns the host's cost in a bucket.
func (cf *costFactors) cost(bucket uint64) uint64 {
	if cf.inverseWeight == 0 {
		return infiniteCost
	}
	return exponentialDraw(cf.seed, bucket) * cf.inverseWeight
}

// unsettled is a host whose share has changed within the last HolderWindow, or
// which drains.
type unsettled struct {
	// rank has an inverse of zero while the host takes no new work.
	costFactors
	slot uint16
	// lowest belongs to the host's highest weight since it settled last. Zero
	// if it took no new work in that time.
	minInverseWeight uint64
	// highest belongs to the host's lowest weight since it settled last. Zero
	// if it took no new work for a part of that time.
	maxInverseWeight uint64
	// gone marks a host that is asked no more.
	gone bool
	// draining keeps the host unsettled after the deadline.
	draining bool
	deadline time.Time
}

// pair holds the two cheapest settled hosts of a bucket.
type pair struct {
	first, second uint16
}

// noSlot stands for a missing host of a pair.
const noSlot = ^uint16(0)

// service is the immutable ranking of one service's hosts.
type service struct {
	id      register.ServiceID
	members []member
	// settled holds the ranks of the settled hosts by their slots.
	settled      []costFactors
	settledCount int
	// uniform reports that all settled hosts have the same weight.
	equalWeights bool
	unsettled    []unsettled
	// pairs is nil if the service is small or not ranked beforehand yet.
	pairs []pair
	// fresh marks a service whose history is not known yet.
	historyUnknown bool
	// freshDeadline ends the time in which the history might matter.
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

// settledBest returns the two cheapest settled hosts in a bucket.
func (sv *service) settledBest(bucket uint64) best {
	if sv.pairs != nil {
		return sv.bestOfPair(bucket)
	}
	if len(sv.settled) <= slotMask+1 {
		return sv.scanFew(bucket)
	}
	return sv.scan(bucket)
}

// slotMask covers the part of a cost in which scanFew keeps the slot.
const slotMask = 1<<6 - 1

// scanFew ranks all settled hosts of a small service without branches that
// depend on their costs.
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

// pairOfFew returns the two cheapest settled hosts. Among hosts of equal weight
// those are the ones of the highest draws, which saves the logarithms.
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

// setUniform notes whether all settled hosts have the same weight.
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

// scan ranks all settled hosts in a bucket.
func (sv *service) scan(bucket uint64) best {
	be := emptyBest()
	for slot := range sv.settled {
		cf := &sv.settled[slot]
		if cf.inverseWeight == 0 {
			continue
		}
		dr := draw(cf.seed, bucket)
		// -log2(u) is at least 1-u, so most hosts need no logarithm.
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

// rankAll ranks the settled hosts in every bucket.
func (sv *service) rankAll() {
	sv.pairs = make([]pair, BucketCount)
	for bucket := range sv.pairs {
		be := sv.scan(uint64(bucket))
		sv.pairs[bucket] = be.pair()
	}
}

// insertSettled adds a settled host and the buckets that it gains.
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

// removeSettled removes a settled host and ranks the others anew in its buckets.
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
