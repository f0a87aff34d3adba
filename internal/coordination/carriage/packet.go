package carriage

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/dchest/siphash"

	"corneltiller.dev/corneltiller/internal/coordination/workload"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Flow identifies a carried flow by its two addresses.
type Flow struct {
	// Caller is the address from which the caller opened the flow.
	Caller netip.AddrPort
	// Service is the address that the caller opened the flow to.
	Service netip.AddrPort
}

// Hash returns a SipHash of the two addresses with a fixed key, equal in all
// processes.
func (fl Flow) Hash() uint64 {
	var buffer [36]byte
	caller, service := fl.Caller.Addr().As16(), fl.Service.Addr().As16()
	copy(buffer[0:], caller[:])
	copy(buffer[16:], service[:])
	binary.BigEndian.PutUint16(buffer[32:], fl.Caller.Port())
	binary.BigEndian.PutUint16(buffer[34:], fl.Service.Port())
	return siphash.Hash(0, 0, buffer[:])
}

// String returns the flow as CALLER>SERVICE.
func (fl Flow) String() string {
	return fl.Caller.String() + ">" + fl.Service.String()
}

// isIPv4 reports whether both addresses are IPv4 addresses.
func (fl Flow) isIPv4() bool { return fl.Caller.Addr().Is4() && fl.Service.Addr().Is4() }

// Packet is the decoded header of one packet of a flow.
type Packet struct {
	Flow
	// Opening says that the packet asks a host to open the flow.
	Opening bool
	// Accepting says that the packet is a host's answer to an opening packet.
	Accepting bool
	// Finishes says that the sender has sent all of its data.
	Finishes bool
	// Resets says that the packet ends the flow.
	Resets bool
	// Returned says that the host sent a caller's packet back: it doesn't hold the
	// flow, or can't accept it.
	Returned bool
	// Copy is the number of the copy of an opening packet, from zero.
	Copy uint32
	// Length is the number of data bytes.
	Length int
	// Sequence is the sequence number of the packet's first byte.
	Sequence uint32
	// Acknowledged is the sequence number of the next byte that the sender waits
	// for.
	Acknowledged uint32
	// Wait is how long a caller's packet had waited before the process handled it: long if
	// the process was frozen.
	Wait time.Duration
}

// Report is the state of a host as its agent reports it to balancers.
type Report struct {
	// State is zero while the agent has no host that answers or has ejected it.
	State register.State
	// InProgress is the number of flows whose opening or request is not yet
	// answered.
	InProgress uint16
	// Expected is the number of requests that open flows bring on average besides
	// their first ones.
	Expected float64
	// Slots is the number of requests that the host works on at once.
	Slots uint16
	// ServiceTime is how long the host takes for a request on average, zero
	// while none was seen.
	ServiceTime time.Duration
	// Work is what the host still has to do, its zero value if the agent doesn't
	// report it.
	Work workload.Figures
	// Version is the version of the agent's configuration.
	Version uint64
}

// Reason tells why a packet was declined, refused or dropped.
type Reason uint8

// The reasons.
const (
	// ReasonNone stands for a packet that was not declined, refused or dropped.
	ReasonNone Reason = iota
	// ReasonBusy says that every slot of the host is taken.
	ReasonBusy
	// ReasonDraining says that the host or its agent is draining or has stopped, or
	// that the agent emptied its queue because the host takes no new flows.
	ReasonDraining
	// ReasonHostUnknown says that the agent has no host that answers.
	ReasonHostUnknown
	// ReasonWrongService says that the host serves another service.
	ReasonWrongService
	// ReasonNoRoute says that the address has no route, or none to the host's
	// service.
	ReasonNoRoute
	// ReasonHostRefused says that the host returned the opening packet.
	ReasonHostRefused
	// ReasonNotHeld says that the host doesn't hold the flow.
	ReasonNotHeld
	// ReasonHostLost says that the host held the flow and no longer does: it has
	// restarted or discarded the flow.
	ReasonHostLost
	// ReasonNoHost says that no host of the service is left to try, or that none
	// became available before the caller gave up.
	ReasonNoHost
	// ReasonNotFound says that a search found no agent whose host holds the flow.
	ReasonNotFound
	// ReasonUnconfirmed says that a host may have accepted the opening without a
	// confirmation, or that its caller gave up while an agent had queued it.
	ReasonUnconfirmed
	// ReasonForged says that a packet that only a host may send came from a caller.
	ReasonForged
	// ReasonFull says that a queue doesn't take the opening, or that too many
	// searches are in progress.
	ReasonFull
	// ReasonIsolated says that the balancer is cut off from the agents of a service
	// and from most other balancers.
	ReasonIsolated
	// ReasonEvacuated says that the failure domain of the host is evacuated, or that the
	// hosts of the service that are left are in evacuated domains.
	ReasonEvacuated
	// ReasonWarming says that the host is cold and gets no more openings than its warm-up
	// limit, and that the opening can't wait until it may get it.
	ReasonWarming

	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"None", "Busy", "Draining", "HostUnknown", "WrongService", "NoRoute", "HostRefused",
	"NotHeld", "HostLost", "NoHost", "NotFound", "Unconfirmed", "Forged", "Full", "Isolated", "Evacuated", "Warming",
}

// String returns the reason's name.
func (re Reason) String() string {
	if re >= ReasonCount {
		return "Unknown"
	}
	return reasonNames[re]
}

// DeliveryMode tells an agent how to handle a forwarded packet.
type DeliveryMode uint8

const (
	// DeliverIfFree lets the agent decline an opening while its host has no free
	// slot.
	DeliverIfFree DeliveryMode = iota
	// DeliverOrQueue asks the agent to deliver the packet, or to queue an opening
	// while its host is busy.
	DeliverOrQueue
	// DeliverTentatively asks the agent to deliver the packet also if its host only
	// possibly holds the flow.
	DeliverTentatively
)

// serviceHash returns the hash by which balancers and agents compare services.
func serviceHash(service string) uint32 {
	return uint32(siphash.Hash(0, 1, []byte(service)))
}
