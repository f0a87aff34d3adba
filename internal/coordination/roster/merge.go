package roster

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// hostMember returns a member with the contents of a host record.
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

// balancerMember returns a member with the contents of a balancer record.
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

// applyRecord merges a record and reports whether it superseded the known one.
func (ro *Roster) applyRecord(newer Member) bool {
	me := ro.memberOrNew(newer.Subject)
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
	newer.taken = me.taken
	*me = newer
	if moved {
		ro.index(me)
	}
	ro.countChange(me)
	return true
}

// applyRemoval merges a removal and reports whether it superseded the known one.
func (ro *Roster) applyRemoval(re Removal, now time.Time) bool {
	me := ro.memberOrNew(re.Subject)
	if !re.Supersedes(me.Removal.Revision) {
		return false
	}
	me.Removal = re
	me.RemovedAt = now
	me.DistrustDeadline = time.Time{}
	ro.countChange(me)
	if me.removed() && me.State != 0 {
		ro.distrustMassRemoval(me, now)
	}
	return true
}

// memberOrNew returns the member of a subject and adds one without a record if
// there is none.
func (ro *Roster) memberOrNew(su Subject) *Member {
	me := ro.members[su]
	if me == nil {
		me = &Member{Subject: su}
		ro.members[su] = me
	}
	return me
}

// index adds the member to the lists by failure domain, service and control
// address.
func (ro *Roster) index(me *Member) {
	ro.domains[domainKey(me)] = append(ro.domains[domainKey(me)], me)
	if me.Role == RoleBalancer {
		ro.balancers = append(ro.balancers, me)
		ro.byControl[me.Control] = me
		return
	}
	ro.services[me.Host.Service] = append(ro.services[me.Host.Service], me)
}

// unindex takes the member out of the lists that index added it to.
func (ro *Roster) unindex(me *Member) {
	if me.State == 0 {
		return
	}
	same := func(other *Member) bool { return other == me }
	ro.domains[domainKey(me)] = slices.DeleteFunc(ro.domains[domainKey(me)], same)
	if me.Role == RoleBalancer {
		ro.balancers = slices.DeleteFunc(ro.balancers, same)
		if ro.byControl[me.Control] == me {
			delete(ro.byControl, me.Control)
		}
		return
	}
	service := me.Host.Service
	ro.services[service] = slices.DeleteFunc(ro.services[service], same)
	if len(ro.services[service]) == 0 {
		delete(ro.services, service)
	}
}

// domainKey returns the key of the members with the same role and failure domain.
func domainKey(me *Member) string {
	return me.Role.String() + "/" + me.Domain
}

// roleOf returns the role of the member that a record or removal of this kind is
// about.
func roleOf(ki delivery.Kind) Role {
	if ki == delivery.KindBalancer || ki == delivery.KindBalancerRemoval {
		return RoleBalancer
	}
	return RoleHost
}

// addressOf returns the address in the key of a record or removal, and false for a
// key that is no address.
func addressOf(ke delivery.Key) (netip.AddrPort, bool) {
	var address netip.AddrPort
	err := address.UnmarshalBinary([]byte(ke))
	return address, err == nil && address.IsValid()
}
