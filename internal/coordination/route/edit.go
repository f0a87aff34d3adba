package route

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// edit builds the next table.
type edit struct {
	key      Key
	now      time.Time
	fresh    bool
	services *shardsEdit[register.ServiceID, *service]
	hosts    *shardsEdit[netip.AddrPort, register.Host]
	// cloned are the services that this edit may change in place.
	cloned   map[register.ServiceID]*service
	waiting  map[register.ServiceID]struct{}
	unranked []register.ServiceID
}

func (ta *Table) edit(now time.Time) *edit {
	ed := &edit{
		key:      ta.key,
		now:      now,
		services: ta.services.edit(),
		hosts:    ta.hosts.edit(),
		cloned:   make(map[register.ServiceID]*service),
		waiting:  make(map[register.ServiceID]struct{}),
		unranked: ta.unranked,
	}
	for _, id := range ta.waiting {
		ed.waiting[id] = struct{}{}
	}
	return ed
}

func (ed *edit) finish(announced []register.Host) *Table {
	for _, ho := range announced {
		ed.announce(ho)
	}
	ta := &Table{key: ed.key}
	for id := range ed.waiting {
		deadline := ed.settle(id)
		if deadline.IsZero() {
			continue
		}
		ta.waiting = append(ta.waiting, id)
		if ta.deadline.IsZero() || deadline.Before(ta.deadline) {
			ta.deadline = deadline
		}
	}
	ed.rankOne()
	if len(ed.unranked) > 0 {
		ta.deadline = ed.now
	}
	ta.unranked = ed.unranked
	ta.services = ed.services.shards
	ta.hosts = ed.hosts.shards
	return ta
}

// service returns a service that the edit may change.
func (ed *edit) service(id register.ServiceID) *service {
	if sv, ok := ed.cloned[id]; ok {
		return sv
	}
	sv, ok := ed.services.get(id)
	if ok {
		sv = sv.clone()
	} else {
		sv = &service{id: id, fresh: true, freshDeadline: ed.now.Add(HolderWindow)}
		ed.waiting[id] = struct{}{}
	}
	ed.cloned[id] = sv
	ed.services.set(id, sv)
	return sv
}

// announce takes one record.
func (ed *edit) announce(ho register.Host) {
	old, known := ed.hosts.get(ho.Address)
	if known && !ho.Supersedes(old.Revision) {
		return
	}
	ed.hosts.set(ho.Address, ho)
	if known && old.Service != ho.Service {
		ed.leave(old)
		known = false
	}
	restarted := known && old.Incarnation != ho.Incarnation
	if known && !restarted && old.State == ho.State && old.Weight == ho.Weight {
		return
	}
	if !known && ho.State == register.StateGone {
		return
	}
	ed.change(ho, restarted)
}

// leave takes a host out of the service that it served before.
func (ed *edit) leave(old register.Host) {
	old.State = register.StateGone
	ed.change(old, false)
}

// change puts a host's new state and weight in force.
func (ed *edit) change(ho register.Host, restarted bool) {
	sv := ed.service(ho.Service)
	ed.waiting[ho.Service] = struct{}{}
	slot, known := sv.slotOf(ho.Address)
	if !known {
		if ho.State == register.StateGone {
			return
		}
		slot = sv.takeSlot(Candidate{Address: ho.Address, Incarnation: ho.Incarnation})
	}
	me := &sv.members[slot]
	me.Incarnation = ho.Incarnation
	if restarted {
		// The flows of the former incarnation have ended.
		me.peak = 0
	}
	if ho.State.TakesNewWork() {
		me.notePeak(inverseOf(ho.Weight))
	}
	if ed.fresh && ho.State.TakesNewWork() && ho.Weight > 0 {
		sv.insertSettled(slot, rank{seed: ed.key.seed(ho.Service, ho.Address), inverse: inverseOf(ho.Weight)})
		return
	}
	un := sv.unsettle(slot, ed.key.seed(ho.Service, ho.Address))
	if restarted {
		un.lowest = 0
	}
	un.apply(ho)
	un.deadline = ed.now.Add(HolderWindow)
	sv.putUnsettled(un)
	if un.gone || restarted {
		ed.recall(sv)
	}
}

// maxRecalled bounds the settled hosts that are asked again after a loss: each
// one costs every packet of the service a comparison.
const maxRecalled = 16

// recall asks hosts again that have lost weight at any time, those first that
// have lost most: the host that has ended may have been the only one to know of
// their flows.
func (ed *edit) recall(sv *service) {
	lost := sv.reduced()
	for _, slot := range lost[:min(len(lost), maxRecalled)] {
		me := &sv.members[slot]
		un := sv.unsettle(slot, ed.key.seed(sv.id, me.Address))
		un.lowest = me.peak
		un.deadline = ed.now.Add(HolderWindow)
		sv.putUnsettled(un)
	}
	for i := range sv.unsettled {
		un := &sv.unsettled[i]
		if peak := sv.members[un.slot].peak; !un.gone && peak != 0 && un.lowest != 0 {
			un.lowest = min(un.lowest, peak)
			un.deadline = ed.now.Add(HolderWindow)
		}
	}
}

// apply changes the host's weight and widens the range of its weights.
func (un *unsettled) apply(ho register.Host) {
	un.gone = ho.State == register.StateGone
	un.draining = ho.State == register.StateDraining
	full := inverseOf(ho.Weight)
	un.inverse = 0
	if ho.State.TakesNewWork() {
		un.inverse = full
	}
	if un.inverse == 0 {
		un.highest = 0
	} else if un.highest != 0 {
		un.highest = max(un.highest, un.inverse)
	}
	if full != 0 && !un.gone && (un.lowest == 0 || full < un.lowest) {
		un.lowest = full
	}
}

// reduced returns the settled hosts whose weight was higher once, the one that
// has lost most first.
func (sv *service) reduced() []uint16 {
	var slots []uint16
	loss := func(slot uint16) float64 {
		return float64(sv.settled[slot].inverse) / float64(sv.members[slot].peak)
	}
	for slot := range sv.settled {
		if peak := sv.members[slot].peak; peak != 0 && peak < sv.settled[slot].inverse {
			slots = append(slots, uint16(slot))
		}
	}
	slices.SortFunc(slots, func(a, b uint16) int {
		return cmp.Or(cmp.Compare(loss(b), loss(a)), cmp.Compare(a, b))
	})
	return slots
}

func (sv *service) slotOf(address netip.AddrPort) (uint16, bool) {
	for slot := range sv.members {
		if sv.members[slot].used && sv.members[slot].Address == address {
			return uint16(slot), true
		}
	}
	return 0, false
}

func (sv *service) takeSlot(ca Candidate) uint16 {
	for slot := range sv.members {
		if !sv.members[slot].used {
			sv.members[slot] = member{Candidate: ca, used: true}
			return uint16(slot)
		}
	}
	sv.members = append(sv.members, member{Candidate: ca, used: true})
	return uint16(len(sv.members) - 1)
}

// unsettle returns the unsettled form of the host in a slot.
func (sv *service) unsettle(slot uint16, seed uint64) unsettled {
	for _, un := range sv.unsettled {
		if un.slot == slot {
			return un
		}
	}
	ra, ok := sv.removeSettled(slot)
	if !ok {
		return unsettled{rank: rank{seed: seed}, slot: slot}
	}
	return unsettled{rank: ra, slot: slot, lowest: ra.inverse, highest: ra.inverse}
}

func (sv *service) putUnsettled(un unsettled) {
	for i := range sv.unsettled {
		if sv.unsettled[i].slot == un.slot {
			sv.unsettled[i] = un
			return
		}
	}
	sv.unsettled = append(sv.unsettled, un)
}

// settle ends what is due in a service and returns its next deadline, which is
// zero if it has none.
func (ed *edit) settle(id register.ServiceID) time.Time {
	sv, ok := ed.services.get(id)
	if !ok {
		return time.Time{}
	}
	if sv.due(ed.now) {
		sv = ed.service(id)
		ed.settleDue(sv)
	}
	if sv.pairs == nil && sv.settledCount > directHosts && !slices.Contains(ed.unranked, id) {
		ed.unranked = append(slices.Clone(ed.unranked), id)
	}
	return sv.nextDeadline()
}

func (sv *service) due(now time.Time) bool {
	deadline := sv.nextDeadline()
	return !deadline.IsZero() && !deadline.After(now)
}

func (sv *service) nextDeadline() time.Time {
	var next time.Time
	if sv.fresh {
		next = sv.freshDeadline
	}
	for i := range sv.unsettled {
		un := &sv.unsettled[i]
		if !un.draining && (next.IsZero() || un.deadline.Before(next)) {
			next = un.deadline
		}
	}
	return next
}

func (ed *edit) settleDue(sv *service) {
	if sv.fresh && !sv.freshDeadline.After(ed.now) {
		sv.fresh = false
	}
	kept := sv.unsettled[:0]
	for _, un := range sv.unsettled {
		switch {
		case un.draining || un.deadline.After(ed.now):
			kept = append(kept, un)
		case un.inverse != 0:
			sv.insertSettled(un.slot, un.rank)
		case un.gone:
			ed.forget(sv, un.slot)
		}
	}
	sv.unsettled = kept
}

// forget frees the slot of a host that left long ago.
func (ed *edit) forget(sv *service, slot uint16) {
	address := sv.members[slot].Address
	sv.members[slot] = member{}
	ho, ok := ed.hosts.get(address)
	if ok && ho.State == register.StateGone && ho.Service == sv.id {
		ed.hosts.remove(address)
	}
}

// rankOne ranks one large service beforehand.
func (ed *edit) rankOne() {
	if len(ed.unranked) == 0 {
		return
	}
	id := ed.unranked[0]
	ed.unranked = slices.Clone(ed.unranked[1:])
	sv, ok := ed.services.get(id)
	if !ok || sv.pairs != nil || sv.settledCount <= directHosts {
		return
	}
	ed.service(id).rankAll()
}
