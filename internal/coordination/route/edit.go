package route

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// tableEdit builds the next table from an immutable one.
type tableEdit struct {
	key Key
	now time.Time
	// initial is set for the first table. Its hosts that take new work are settled
	// from the start.
	initial  bool
	services *shardsEdit[register.ServiceID, *service]
	hosts    *shardsEdit[netip.AddrPort, register.Host]
	// cloned are the services that this edit has copied and may change in place.
	cloned           map[register.ServiceID]*service
	pendingServices  map[register.ServiceID]struct{}
	unrankedServices []register.ServiceID
}

// edit returns an edit that starts with the table's content.
func (ta *Table) edit(now time.Time) *tableEdit {
	ed := &tableEdit{
		key:              ta.key,
		now:              now,
		services:         ta.services.edit(),
		hosts:            ta.hosts.edit(),
		cloned:           make(map[register.ServiceID]*service),
		pendingServices:  make(map[register.ServiceID]struct{}),
		unrankedServices: ta.unrankedServices,
	}
	for _, id := range ta.pendingServices {
		ed.pendingServices[id] = struct{}{}
	}
	return ed
}

// build applies the announced records and all changes that are due, and returns
// the new table.
func (ed *tableEdit) build(announced []register.Host) *Table {
	for _, ho := range announced {
		ed.applyRecord(ho)
	}
	ta := &Table{key: ed.key}
	for id := range ed.pendingServices {
		deadline := ed.settle(id)
		if deadline.IsZero() {
			continue
		}
		ta.pendingServices = append(ta.pendingServices, id)
		if ta.deadline.IsZero() || deadline.Before(ta.deadline) {
			ta.deadline = deadline
		}
	}
	ed.rankNextService()
	if len(ed.unrankedServices) > 0 {
		ta.deadline = ed.now
	}
	ta.unrankedServices = ed.unrankedServices
	ta.services = ed.services.shards
	ta.hosts = ed.hosts.shards
	return ta
}

// service returns the edit's own copy of a service, a new one if it isn't known.
func (ed *tableEdit) service(id register.ServiceID) *service {
	if sv, ok := ed.cloned[id]; ok {
		return sv
	}
	sv, ok := ed.services.get(id)
	if ok {
		sv = sv.clone()
	} else {
		sv = &service{id: id, historyUnknown: true, historyDeadline: ed.now.Add(HolderWindow)}
		ed.pendingServices[id] = struct{}{}
	}
	ed.cloned[id] = sv
	ed.services.set(id, sv)
	return sv
}

// applyRecord applies one announced record if it is newer than the known one.
func (ed *tableEdit) applyRecord(ho register.Host) {
	old, known := ed.hosts.get(ho.Address)
	if known && !ho.Supersedes(old.Revision) {
		return
	}
	ed.hosts.set(ho.Address, ho)
	if known && old.Service != ho.Service {
		ed.removeFromService(old)
		known = false
	}
	restarted := known && old.Incarnation != ho.Incarnation
	if known && !restarted && old.State == ho.State && old.Weight == ho.Weight {
		return
	}
	if !known && ho.State == register.StateGone {
		return
	}
	ed.updateHost(ho, restarted)
}

// removeFromService removes a host from the service that it served before.
func (ed *tableEdit) removeFromService(old register.Host) {
	old.State = register.StateGone
	ed.updateHost(old, false)
}

// updateHost applies a host's new state and weight to its service.
func (ed *tableEdit) updateHost(ho register.Host, restarted bool) {
	sv := ed.service(ho.Service)
	ed.pendingServices[ho.Service] = struct{}{}
	slot, known := sv.slotOf(ho.Address)
	if !known {
		if ho.State == register.StateGone {
			return
		}
		slot = sv.assignSlot(Candidate{Address: ho.Address, Incarnation: ho.Incarnation})
	}
	me := &sv.members[slot]
	me.Incarnation = ho.Incarnation
	if restarted {
		// The flows of the former incarnation have ended.
		me.minInverseWeight = 0
	}
	if ho.State.TakesNewWork() {
		me.recordInverseWeight(inverseWeightOf(ho.Weight))
	}
	if ed.initial && ho.State.TakesNewWork() && ho.Weight > 0 {
		sv.insertSettled(slot, costFactors{seed: ed.key.seed(ho.Service, ho.Address), inverseWeight: inverseWeightOf(ho.Weight)})
		return
	}
	un := sv.unsettle(slot, ed.key.seed(ho.Service, ho.Address))
	if restarted {
		un.minInverseWeight = 0
	}
	un.updateWeights(ho)
	un.deadline = ed.now.Add(HolderWindow)
	sv.putUnsettled(un)
	if un.gone || restarted {
		ed.askReducedHosts(sv)
	}
}

// maxReducedAsked is the largest number of settled hosts that askReducedHosts
// makes unsettled: each one costs every packet of the service a comparison.
const maxReducedAsked = 16

// askReducedHosts is called when a host has ended. It makes hosts whose weight was
// ever higher than now possible holders again, those with the largest reduction
// first: the host that has ended may have been the only one with forwarding
// entries for their flows.
func (ed *tableEdit) askReducedHosts(sv *service) {
	reduced := sv.reducedHosts()
	for _, slot := range reduced[:min(len(reduced), maxReducedAsked)] {
		me := &sv.members[slot]
		un := sv.unsettle(slot, ed.key.seed(sv.id, me.Address))
		un.minInverseWeight = me.minInverseWeight
		un.deadline = ed.now.Add(HolderWindow)
		sv.putUnsettled(un)
	}
	for i := range sv.unsettled {
		un := &sv.unsettled[i]
		if smallest := sv.members[un.slot].minInverseWeight; !un.gone && smallest != 0 && un.minInverseWeight != 0 {
			un.minInverseWeight = min(un.minInverseWeight, smallest)
			un.deadline = ed.now.Add(HolderWindow)
		}
	}
}

// updateWeights applies the host's new state and weight and extends the range of
// its inverse weights.
func (un *unsettled) updateWeights(ho register.Host) {
	un.gone = ho.State == register.StateGone
	un.draining = ho.State == register.StateDraining
	full := inverseWeightOf(ho.Weight)
	un.inverseWeight = 0
	if ho.State.TakesNewWork() {
		un.inverseWeight = full
	}
	if un.inverseWeight == 0 {
		un.maxInverseWeight = 0
	} else if un.maxInverseWeight != 0 {
		un.maxInverseWeight = max(un.maxInverseWeight, un.inverseWeight)
	}
	if full != 0 && !un.gone && (un.minInverseWeight == 0 || full < un.minInverseWeight) {
		un.minInverseWeight = full
	}
}

// reducedHosts returns the slots of the settled hosts whose weight was higher at
// any time since they started, the one with the largest reduction first.
func (sv *service) reducedHosts() []uint16 {
	var slots []uint16
	reduction := func(slot uint16) float64 {
		return float64(sv.settled[slot].inverseWeight) / float64(sv.members[slot].minInverseWeight)
	}
	for slot := range sv.settled {
		if smallest := sv.members[slot].minInverseWeight; smallest != 0 && smallest < sv.settled[slot].inverseWeight {
			slots = append(slots, uint16(slot))
		}
	}
	slices.SortFunc(slots, func(a, b uint16) int {
		return cmp.Or(cmp.Compare(reduction(b), reduction(a)), cmp.Compare(a, b))
	})
	return slots
}

// slotOf returns the slot of a known host.
func (sv *service) slotOf(address netip.AddrPort) (uint16, bool) {
	for slot := range sv.members {
		if sv.members[slot].used && sv.members[slot].Address == address {
			return uint16(slot), true
		}
	}
	return 0, false
}

// assignSlot puts a new host into an unused slot.
func (sv *service) assignSlot(ca Candidate) uint16 {
	for slot := range sv.members {
		if !sv.members[slot].used {
			sv.members[slot] = member{Candidate: ca, used: true}
			return uint16(slot)
		}
	}
	sv.members = append(sv.members, member{Candidate: ca, used: true})
	return uint16(len(sv.members) - 1)
}

// unsettle returns the unsettled host in a slot. A settled host is removed from the
// settled ones; the caller adds the result with putUnsettled.
func (sv *service) unsettle(slot uint16, seed uint64) unsettled {
	for _, un := range sv.unsettled {
		if un.slot == slot {
			return un
		}
	}
	cf, ok := sv.removeSettled(slot)
	if !ok {
		return unsettled{costFactors: costFactors{seed: seed}, slot: slot}
	}
	return unsettled{costFactors: cf, slot: slot, minInverseWeight: cf.inverseWeight, maxInverseWeight: cf.inverseWeight}
}

// putUnsettled adds or replaces an unsettled host.
func (sv *service) putUnsettled(un unsettled) {
	for i := range sv.unsettled {
		if sv.unsettled[i].slot == un.slot {
			sv.unsettled[i] = un
			return
		}
	}
	sv.unsettled = append(sv.unsettled, un)
}

// settle applies the changes of a service that are due and returns its next
// deadline, which is zero if there is none.
func (ed *tableEdit) settle(id register.ServiceID) time.Time {
	sv, ok := ed.services.get(id)
	if !ok {
		return time.Time{}
	}
	if sv.due(ed.now) {
		sv = ed.service(id)
		ed.settleDue(sv)
	}
	if sv.pairs == nil && sv.settledCount > maxDirectHosts && !slices.Contains(ed.unrankedServices, id) {
		ed.unrankedServices = append(slices.Clone(ed.unrankedServices), id)
	}
	return sv.nextDeadline()
}

// due reports whether a deadline of the service has been reached.
func (sv *service) due(now time.Time) bool {
	deadline := sv.nextDeadline()
	return !deadline.IsZero() && !deadline.After(now)
}

// nextDeadline returns the earliest deadline of the service, zero if there is
// none.
func (sv *service) nextDeadline() time.Time {
	var next time.Time
	if sv.historyUnknown {
		next = sv.historyDeadline
	}
	for i := range sv.unsettled {
		un := &sv.unsettled[i]
		if !un.draining && (next.IsZero() || un.deadline.Before(next)) {
			next = un.deadline
		}
	}
	return next
}

// settleDue settles the hosts whose deadline has been reached and removes those
// that are gone.
func (ed *tableEdit) settleDue(sv *service) {
	if sv.historyUnknown && !sv.historyDeadline.After(ed.now) {
		sv.historyUnknown = false
	}
	kept := sv.unsettled[:0]
	for _, un := range sv.unsettled {
		switch {
		case un.draining || un.deadline.After(ed.now):
			kept = append(kept, un)
		case un.inverseWeight != 0:
			sv.insertSettled(un.slot, un.costFactors)
		case un.gone:
			ed.removeMember(sv, un.slot)
		}
	}
	sv.unsettled = kept
}

// removeMember frees the slot of a host that is gone. It also removes the record of
// the host's address, unless the address has a newer host.
func (ed *tableEdit) removeMember(sv *service, slot uint16) {
	address := sv.members[slot].Address
	sv.members[slot] = member{}
	ho, ok := ed.hosts.get(address)
	if ok && ho.State == register.StateGone && ho.Service == sv.id {
		ed.hosts.remove(address)
	}
}

// rankNextService ranks the buckets of the first unranked service, if it still has
// more than maxDirectHosts settled hosts.
func (ed *tableEdit) rankNextService() {
	if len(ed.unrankedServices) == 0 {
		return
	}
	id := ed.unrankedServices[0]
	ed.unrankedServices = slices.Clone(ed.unrankedServices[1:])
	sv, ok := ed.services.get(id)
	if !ok || sv.pairs != nil || sv.settledCount <= maxDirectHosts {
		return
	}
	ed.service(id).rankAll()
}
