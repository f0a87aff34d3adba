package route

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// directHosts is the largest number of settled hosts that are ranked for each
// packet. A service with more has its buckets ranked beforehand.
const directHosts = 32

// member is a host in a slot. A slot is used again when its host is forgotten.
type member struct {
	Candidate
	used bool
	// peak is the inverse of the highest weight that the host has had since it
	// started, zero if it took no new work.
	peak uint64
}

// notePeak takes a weight of the host.
func (me *member) notePeak(inverse uint64) {
	if inverse != 0 && (me.peak == 0 || inverse < me.peak) {
		me.peak = inverse
	}
}

// rank is what the cost of a host follows from.
type rank struct {
	seed uint64
	// inverse is zero while the host takes no part.
	inverse uint64
}

// cost returns the host's cost in a bucket.
func (ra *rank) cost(bucket uint64) uint64 {
	if ra.inverse == 0 {
		return noCost
	}
	return exponent(ra.seed, bucket) * ra.inverse
}

// unsettled is a host whose share has changed within the last HolderWindow, or
// which drains.
type unsettled struct {
	// rank has an inverse of zero while the host takes no new work.
	rank
	slot uint16
	// lowest belongs to the host's highest weight since it settled last. Zero
	// if it took no new work in that time.
	lowest uint64
	// highest belongs to the host's lowest weight since it settled last. Zero
	// if it took no new work for a part of that time.
	highest uint64
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
	settled      []rank
	settledCount int
	// uniform reports that all settled hosts have the same weight.
	uniform   bool
	unsettled []unsettled
	// pairs is nil if the service is small or not ranked beforehand yet.
	pairs []pair
	// fresh marks a service whose history is not known yet.
	fresh bool
	// freshDeadline ends the time in which the history might matter.
	freshDeadline time.Time
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
		return sv.pairBest(bucket)
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
	pa := sv.pairOfFew(bucket)
	be := noBest()
	for i, slot := range [2]uint16{pa.first, pa.second} {
		if slot != noSlot {
			be[i] = ranked{cost: sv.settled[slot].cost(bucket), slot: slot}
		}
	}
	return be
}

// pairOfFew returns the two cheapest settled hosts. Among hosts of equal weight
// those are the ones of the highest draws, which saves the logarithms.
func (sv *service) pairOfFew(bucket uint64) pair {
	first, second := noCost, noCost
	for slot := range sv.settled {
		ra := &sv.settled[slot]
		if ra.inverse == 0 {
			continue
		}
		cost := ^draw(ra.seed, bucket) >> 1
		if !sv.uniform {
			cost = exponent(ra.seed, bucket) * ra.inverse
		}
		cost = cost&^slotMask | uint64(slot)
		second = min(second, max(first, cost))
		first = min(first, cost)
	}
	pa := pair{first: noSlot, second: noSlot}
	if first != noCost {
		pa.first = uint16(first & slotMask)
	}
	if second != noCost {
		pa.second = uint16(second & slotMask)
	}
	return pa
}

// setUniform notes whether all settled hosts have the same weight.
func (sv *service) setUniform() {
	inverse := uint64(0)
	sv.uniform = true
	for i := range sv.settled {
		if next := sv.settled[i].inverse; next != 0 {
			sv.uniform = sv.uniform && (inverse == 0 || inverse == next)
			inverse = next
		}
	}
}

func (sv *service) pairBest(bucket uint64) best {
	be := noBest()
	pa := sv.pairs[bucket]
	for i, slot := range [2]uint16{pa.first, pa.second} {
		if slot == noSlot {
			break
		}
		be[i] = ranked{cost: sv.settled[slot].cost(bucket), slot: slot}
	}
	return be
}

// scan ranks all settled hosts in a bucket.
func (sv *service) scan(bucket uint64) best {
	be := noBest()
	for slot := range sv.settled {
		ra := &sv.settled[slot]
		if ra.inverse == 0 {
			continue
		}
		dr := draw(ra.seed, bucket)
		// -log2(u) is at least 1-u, so most hosts need no logarithm.
		if (^dr>>32)*ra.inverse >= be[1].cost {
			continue
		}
		cost := negativeLog(dr) * ra.inverse
		if cost < be[0].cost {
			be[0], be[1] = ranked{cost: cost, slot: uint16(slot)}, be[0]
		} else if cost < be[1].cost {
			be[1] = ranked{cost: cost, slot: uint16(slot)}
		}
	}
	return be
}

func (be *best) pair() pair {
	pa := pair{first: noSlot, second: noSlot}
	if be[0].cost != noCost {
		pa.first = be[0].slot
	}
	if be[1].cost != noCost {
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
func (sv *service) insertSettled(slot uint16, ra rank) {
	for len(sv.settled) <= int(slot) {
		sv.settled = append(sv.settled, rank{})
	}
	sv.settled[slot] = ra
	sv.settledCount++
	sv.setUniform()
	if sv.pairs == nil {
		return
	}
	sv.pairs = slices.Clone(sv.pairs)
	for bucket := range sv.pairs {
		pa := &sv.pairs[bucket]
		cost := ra.cost(uint64(bucket))
		if pa.first == noSlot || cost < sv.settled[pa.first].cost(uint64(bucket)) {
			pa.first, pa.second = slot, pa.first
		} else if pa.second == noSlot || cost < sv.settled[pa.second].cost(uint64(bucket)) {
			pa.second = slot
		}
	}
}

// removeSettled removes a settled host and ranks the others anew in its buckets.
func (sv *service) removeSettled(slot uint16) (rank, bool) {
	if int(slot) >= len(sv.settled) || sv.settled[slot].inverse == 0 {
		return rank{}, false
	}
	ra := sv.settled[slot]
	sv.settled[slot] = rank{}
	sv.settledCount--
	sv.setUniform()
	if sv.pairs == nil {
		return ra, true
	}
	if sv.settledCount <= directHosts {
		sv.pairs = nil
		return ra, true
	}
	sv.pairs = slices.Clone(sv.pairs)
	for bucket, pa := range sv.pairs {
		if pa.first == slot || pa.second == slot {
			be := sv.scan(uint64(bucket))
			sv.pairs[bucket] = be.pair()
		}
	}
	return ra, true
}
