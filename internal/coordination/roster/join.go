package roster

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// hostMember returns the view's form of a host record.
func hostMember(ho register.Host) Member {
	return Member{
		Subject:  Subject{Role: RoleHost, Address: ho.Address},
		Revision: ho.Revision,
		Control:  ho.Control,
		Domain:   ho.Domain,
		State:    ho.State,
		Host:     ho,
	}
}

// balancerMember returns the view's form of a balancer record.
func balancerMember(ba register.Balancer) Member {
	return Member{
		Subject:  Subject{Role: RoleBalancer, Address: ba.Address},
		Revision: ba.Revision,
		Control:  ba.Control,
		Domain:   ba.Domain,
		State:    ba.State,
		Balancer: ba,
	}
}

// applyRecord joins a record and reports whether it was newer.
func (ro *Roster) applyRecord(newer Member) bool {
	me := ro.member(newer.Subject)
	if !newer.Supersedes(me.Revision) {
		return false
	}
	moved := me.State == 0 || domainKey(me) != domainKey(&newer) ||
		me.Control != newer.Control || me.Host.Service != newer.Host.Service
	if moved {
		ro.unindex(me)
		ro.dirty[me.Host.Service] = struct{}{}
	}
	newer.Removal = me.Removal
	newer.RemovedAt = me.RemovedAt
	newer.DistrustDeadline = me.DistrustDeadline
	newer.shown = me.shown
	*me = newer
	if moved {
		ro.index(me)
	}
	ro.changed(me)
	return true
}

// applyRemoval joins a removal and reports whether it was newer.
func (ro *Roster) applyRemoval(re Removal, now time.Time) bool {
	me := ro.member(re.Subject)
	if !re.Supersedes(me.Removal.Revision) {
		return false
	}
	me.Removal = re
	me.RemovedAt = now
	me.DistrustDeadline = time.Time{}
	ro.changed(me)
	if me.removed() && me.State != 0 {
		ro.doubt(me, now)
	}
	return true
}

// member returns the entry of a subject, which is made if needed.
func (ro *Roster) member(su Subject) *Member {
	me := ro.members[su]
	if me == nil {
		me = &Member{Subject: su}
		ro.members[su] = me
	}
	return me
}

// index adds the member to the lists that it belongs to.
func (ro *Roster) index(me *Member) {
	ro.domains[domainKey(me)] = append(ro.domains[domainKey(me)], me)
	if me.Role == RoleBalancer {
		ro.balancers = append(ro.balancers, me)
		ro.controls[me.Control] = me
		return
	}
	ro.services[me.Host.Service] = append(ro.services[me.Host.Service], me)
}

// unindex takes the member out of the lists that it belongs to.
func (ro *Roster) unindex(me *Member) {
	if me.State == 0 {
		return
	}
	same := func(other *Member) bool { return other == me }
	ro.domains[domainKey(me)] = slices.DeleteFunc(ro.domains[domainKey(me)], same)
	if me.Role == RoleBalancer {
		ro.balancers = slices.DeleteFunc(ro.balancers, same)
		if ro.controls[me.Control] == me {
			delete(ro.controls, me.Control)
		}
		return
	}
	service := me.Host.Service
	ro.services[service] = slices.DeleteFunc(ro.services[service], same)
	if len(ro.services[service]) == 0 {
		delete(ro.services, service)
	}
}

// domainKey separates the hosts of a failure domain from its balancers.
func domainKey(me *Member) string {
	return me.Role.String() + "/" + me.Domain
}

// roleOf returns the role that an item's kind is about.
func roleOf(ki delivery.Kind) Role {
	if ki == delivery.KindBalancer || ki == delivery.KindBalancerRemoval {
		return RoleBalancer
	}
	return RoleHost
}

// addressOf returns the address in the key of a record or removal.
func addressOf(ke delivery.Key) (netip.AddrPort, bool) {
	var address netip.AddrPort
	err := address.UnmarshalBinary([]byte(ke))
	return address, err == nil && address.IsValid()
}
