package rollout

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/dchest/siphash"
)

// The key of the rendezvous hash. It is no secret: the hash only distributes
// roles.
const (
	roleKey0 = 0x636f6e6669677572
	roleKey1 = 0x6174696f6e726f6c
)

// rank returns the members of the failure domain in the order of their rendezvous
// hashes. All instances with the same members get the same order, and adding or
// removing a member does not change the order of the others.
func rank(domain string, members []Member) []netip.AddrPort {
	type ranked struct {
		address netip.AddrPort
		hash    uint64
	}
	var found []ranked
	var buffer []byte
	for _, me := range members {
		if me.Domain != domain {
			continue
		}
		host := me.Address.Addr().As16()
		buffer = append(buffer[:0], domain...)
		buffer = append(buffer, host[:]...)
		buffer = binary.BigEndian.AppendUint16(buffer, me.Address.Port())
		found = append(found, ranked{address: me.Address, hash: siphash.Hash(roleKey0, roleKey1, buffer)})
	}
	slices.SortFunc(found, func(a, b ranked) int {
		if a.hash != b.hash {
			return cmp.Compare(a.hash, b.hash)
		}
		return a.address.Compare(b.address)
	})
	order := make([]netip.AddrPort, 0, len(found))
	for _, ra := range found {
		order = append(order, ra.address)
	}
	return order
}

// View is the set of live balancers. It is immutable and may be shared.
type View struct {
	members []Member
	known   map[netip.AddrPort]bool
	// orders holds the result of rank by failure domain.
	orders map[string][]netip.AddrPort
}

// NewView returns the view of the members. The slice is not copied and must not
// change afterwards.
func NewView(members []Member) *View {
	vi := &View{
		members: members,
		known:   make(map[netip.AddrPort]bool, len(members)),
		orders:  make(map[string][]netip.AddrPort),
	}
	for _, me := range members {
		vi.known[me.Address] = true
		if _, ranked := vi.orders[me.Domain]; !ranked {
			vi.orders[me.Domain] = rank(me.Domain, members)
		}
	}
	return vi
}

// role is the role of one instance, which follows from the view.
type role struct {
	// rank is the instance's place among the balancers of its failure domain, from
	// zero, -1 if it is none of them.
	rank int
	// watches says that the instance always watches the root object.
	watches bool
	// top says that the instance is the top of its failure domain's report tree
	// and publishes the domain's sum.
	top bool
	// parent receives the instance's reports; it is invalid for the top.
	parent netip.AddrPort
	// children are the members that report to the instance.
	children []netip.AddrPort
}

// roleOf returns the role of the instance in the view. An instance that is no
// member, such as an agent, has no role but to report to the balancer chosen by
// rendezvous hashing. While the view is empty no instance has a role.
func roleOf(self Member, vi *View) role {
	order := vi.orders[self.Domain]
	at := slices.Index(order, self.Address)
	switch {
	case len(vi.members) == 0:
		return role{rank: -1}
	case at < 0:
		return role{rank: -1, parent: balancerFor(self, vi.members)}
	}
	ro := role{rank: at, watches: at < Watchers, top: at == 0}
	if !ro.top {
		ro.parent = order[(at-1)/FanOut]
	}
	first := min(at*FanOut+1, len(order))
	ro.children = order[first:min(first+FanOut, len(order))]
	return ro
}

// balancerFor returns the balancer that an agent reports to, of the agent's own
// failure domain if there is any.
func balancerFor(self Member, members []Member) netip.AddrPort {
	near := slices.DeleteFunc(slices.Clone(members), func(me Member) bool { return me.Domain != self.Domain })
	if len(near) == 0 {
		near = members
	}
	best := near[0]
	for _, me := range near {
		if weight(self, me) > weight(self, best) {
			best = me
		}
	}
	return best.Address
}

// weight returns the rendezvous weight of the balancer for the agent.
func weight(self, me Member) uint64 {
	name := self.Address.String() + me.Address.String()
	return siphash.Hash(roleKey0, roleKey1, []byte(name))
}
