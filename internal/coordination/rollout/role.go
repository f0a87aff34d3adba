package rollout

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/dchest/siphash"
)

// The key of the rendezvous hash. It spreads roles and guards nothing.
const (
	roleKey0 = 0x636f6e6669677572
	roleKey1 = 0x6174696f6e726f6c
)

// rank returns the members of the domain in rendezvous order. All instances
// with the same view get the same order; a member that comes or goes moves no
// other past another.
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

// role is what the view makes of one instance.
type role struct {
	// watches says that the instance holds the watch of the root.
	watches bool
	// top says that the instance publishes the domain's sum.
	top bool
	// parent takes the instance's report, invalid for the top.
	parent netip.AddrPort
	// children send their reports here.
	children []netip.AddrPort
}

// roleOf returns the role of the instance in the view.
func roleOf(self Member, members []Member) role {
	order := rank(self.Domain, members)
	at := max(slices.Index(order, self.Address), 0)
	ro := role{watches: at < Watchers, top: at == 0}
	if !ro.top {
		ro.parent = order[(at-1)/FanOut]
	}
	first := min(at*FanOut+1, len(order))
	ro.children = order[first:min(first+FanOut, len(order))]
	return ro
}
