package route

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// FlowIdle is how long a flow table keeps a flow without a packet.
	FlowIdle = 30 * time.Second
	// MaxViewSkew is the longest time for which two balancers are expected to
	// differ about a change.
	MaxViewSkew = 10 * time.Second
	// HolderWindow is how long a former owner stays in the chain. It is long
	// enough for each live flow to send a packet after the last balancer has
	// learnt of the change, so that the new owner knows which host holds the flow.
	HolderWindow = FlowIdle + MaxViewSkew
)

// Table is an immutable view of all hosts. A balancer selects the hosts of a
// packet from it. It is safe for concurrent use.
type Table struct {
	key      Key
	services *shards[register.ServiceID, *service]
	hosts    *shards[netip.AddrPort, register.Host]
	// pendingServices are the services that may change at a deadline without a
	// new record.
	pendingServices []register.ServiceID
	// unrankedServices are the services whose buckets are still to be ranked. Each
	// call of Next ranks one of them, to bound the time that it takes.
	unrankedServices []register.ServiceID
	deadline         time.Time
}

// NewTable returns a table of the hosts. As their former weights and states
// aren't known, the second choice counts as a possible holder in each chain for
// the first HolderWindow.
func NewTable(key Key, now time.Time, hosts []register.Host) *Table {
	empty := &Table{
		key:      key,
		services: &shards[register.ServiceID, *service]{shardOf: func(id register.ServiceID) uint8 { return uint8(id) }},
		hosts:    &shards[netip.AddrPort, register.Host]{shardOf: addressShard},
	}
	ed := empty.edit(now)
	ed.initial = true
	return ed.build(hosts)
}

// addressShard returns the shard of a host's address.
func addressShard(address netip.AddrPort) uint8 {
	ip := address.Addr().As16()
	return ip[15] ^ ip[14]*31 ^ uint8(address.Port()) ^ uint8(address.Port()>>8)*31
}

// Next returns the table after the announced records and after the changes that
// are due at the given time. Records that are not newer than the known ones
// change nothing. A host without a record among the announced ones stays; a host
// is removed by a record with the state Gone.
func (ta *Table) Next(now time.Time, announced []register.Host) *Table {
	return ta.edit(now).build(announced)
}

// Advance is like Next, but returns the same table if no host is announced and
// its deadline has not been reached.
func (ta *Table) Advance(now time.Time, announced []register.Host) *Table {
	due := !ta.deadline.IsZero() && !now.Before(ta.deadline)
	if len(announced) == 0 && !due {
		return ta
	}
	return ta.Next(now, announced)
}

// Deadline returns when Next must be called even if no host is announced. It is
// zero if no change is pending.
func (ta *Table) Deadline() time.Time {
	return ta.deadline
}

// Locate returns the record of the host at an address. A host that is Gone is
// found until it is removed after HolderWindow.
func (ta *Table) Locate(address netip.AddrPort) (register.Host, bool) {
	return ta.hosts.get(address)
}

// Length returns the number of known hosts, including those that are Gone and not
// yet removed.
func (ta *Table) Length() int {
	return ta.hosts.length()
}

// Resolve returns the host that a connection ID names. The reason tells why
// there is none: ReasonUnknownTarget, ReasonWrongService or
// ReasonStaleIncarnation.
func (ta *Table) Resolve(service register.ServiceID, address netip.AddrPort, incarnation uint16) (Candidate, Reason) {
	ho, ok := ta.hosts.get(address)
	if !ok || ho.State == register.StateGone && !ta.recentlyGone(ho) {
		return Candidate{}, ReasonUnknownTarget
	}
	if ho.Service != service {
		return Candidate{}, ReasonWrongService
	}
	if uint16(ho.Incarnation) != incarnation {
		return Candidate{}, ReasonStaleIncarnation
	}
	return Candidate{Address: address, Incarnation: ho.Incarnation}, ReasonNone
}

// recentlyGone reports whether a Gone host is still unsettled. Such a host may
// still answer, because a host that is up may be declared gone by mistake.
func (ta *Table) recentlyGone(ho register.Host) bool {
	sv, ok := ta.services.get(ho.Service)
	if !ok {
		return false
	}
	for i := range sv.unsettled {
		if sv.members[sv.unsettled[i].slot].Address == ho.Address {
			return true
		}
	}
	return false
}
