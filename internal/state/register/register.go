// Package register defines the records that backend server hosts and balancers
// announce about themselves, and the rule by which one record replaces another.
//
// Each record has a single writer: the agent beside a backend server writes
// its Host, a balancer writes its Balancer. A record is replaced only by one of
// a higher incarnation, or of the same incarnation and a higher sequence, so
// merging sets of records is commutative, associative and idempotent.
//
// # Usage
//
//	if announced.Supersedes(known.Revision) {
//		known = announced
//	}
package register

import (
	"net/netip"
)

// ServiceID is the number of a service in the configuration. Only the low 24
// bits are used, so that it fits into a connection ID and an envelope.
type ServiceID uint32

// MaxServiceID is the largest valid service number.
const MaxServiceID ServiceID = 1<<24 - 1

// Revision orders the records of one writer. The zero Revision is older than
// the revision of any announced record.
type Revision struct {
	// Incarnation increases with each start of the writer.
	Incarnation uint64
	// Sequence increases with each change within one incarnation.
	Sequence uint64
}

// Supersedes reports whether re is strictly newer than old.
func (re Revision) Supersedes(old Revision) bool {
	if re.Incarnation != old.Incarnation {
		return re.Incarnation > old.Incarnation
	}
	return re.Sequence > old.Sequence
}

// State is the lifecycle state of a host or balancer.
type State uint8

// The states in the order in which a host or balancer passes through them.
const (
	// StateWarming takes new work at a reduced weight.
	StateWarming State = iota + 1
	// StateReady takes new work at its full weight.
	StateReady
	// StateDraining finishes open work and takes no new work.
	StateDraining
	// StateGone has stopped, or was removed by the processes that monitor it.
	StateGone
)

// String returns the state's name as shown to operators.
func (st State) String() string {
	switch st {
	case StateWarming:
		return "Warming"
	case StateReady:
		return "Ready"
	case StateDraining:
		return "Draining"
	case StateGone:
		return "Gone"
	default:
		return "Unknown"
	}
}

// TakesNewWork reports whether a host in the state may get new flows and
// requests.
func (st State) TakesNewWork() bool {
	return st == StateWarming || st == StateReady
}

// FullWeight is the weight of a host of ordinary capacity.
const FullWeight uint16 = 100

// Host is the record of one backend server host, written by its agent only.
// The datagram address is the host's identity.
type Host struct {
	Revision
	// Address is the UDP address at which the agent receives datagrams wrapped
	// in envelopes.
	Address netip.AddrPort
	// Control is the TCP address at which the agent accepts connections from
	// other processes.
	Control netip.AddrPort
	// Service is the only service that this host serves.
	Service ServiceID
	// Domain is the failure domain from the host's settings.
	Domain string
	State  State
	// Weight is the host's share of new flows relative to other hosts; FullWeight
	// is the usual value.
	Weight uint16
	// Load is the host's own estimate of its utilisation in percent.
	Load uint16
}

// Balancer is the record of one balancer, written by that balancer only. The
// datagram address is the balancer's identity.
type Balancer struct {
	Revision
	// Address is the UDP address at which the balancer receives answers from
	// agents.
	Address netip.AddrPort
	// Control is the TCP address at which the balancer accepts connections from
	// other processes.
	Control netip.AddrPort
	// Domain is the failure domain from the balancer's settings.
	Domain string
	State  State
	// Term and Version are the term and the number of the configuration version
	// that the balancer has in force.
	Term    uint64
	Version uint64
}
