package route

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// FlowIdle ends a flow of which no packet has come.
	FlowIdle = 30 * time.Second
	// MaxViewSkew bounds how long two balancers may differ about a change.
	MaxViewSkew = 10 * time.Second
	// HolderWindow is how long a former owner stays in the chain. Within it
	// each live flow sends a packet after the last balancer has heard of the
	// change, so that the new owner knows where the flow is.
	HolderWindow = FlowIdle + MaxViewSkew
)

// Table is the immutable view of all hosts from which a balancer steers. It is
// safe for concurrent use.
type Table struct {
	key      Key
	services *shards[register.ServiceID, *service]
	hosts    *shards[netip.AddrPort, register.Host]
	// waiting are the services that change at a deadline.
	pendingServices []register.ServiceID
	// unranked are the services to rank beforehand, one in each next table.
	unrankedServices []register.ServiceID
	deadline         time.Time
}

// NewTable returns a table of the hosts, whose history it doesn't know: for the
// first HolderWindow each chain asks the second choice too.
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

func addressShard(address netip.AddrPort) uint8 {
	ip := address.Addr().As16()
	return ip[15] ^ ip[14]*31 ^ uint8(address.Port()) ^ uint8(address.Port()>>8)*31
}

// Next returns the table after the announced records. Records that are not
// newer than the known ones change nothing. A host that is missing from the
// records stays; one that has left is announced as Gone.
func (ta *Table) Next(now time.Time, announced []register.Host) *Table {
	return ta.edit(now).build(announced)
}

// Advance is like Next, but returns the table itself if no host is announced
// and its deadline has not passed.
func (ta *Table) Advance(now time.Time, announced []register.Host) *Table {
	due := !ta.deadline.IsZero() && !now.Before(ta.deadline)
	if len(announced) == 0 && !due {
		return ta
	}
	return ta.Next(now, announced)
}

// Deadline returns when Next is due even if no host is announced. It is zero if
// nothing is due.
func (ta *Table) Deadline() time.Time {
	return ta.deadline
}

// Locate returns the record of the host at an address, Gone ones included until
// they are forgotten.
func (ta *Table) Locate(address netip.AddrPort) (register.Host, bool) {
	return ta.hosts.get(address)
}

// Length returns the number of known hosts.
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

// lately reports whether a Gone host may still answer: its removal may be false.
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
