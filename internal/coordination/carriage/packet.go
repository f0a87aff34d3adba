package carriage

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/dchest/siphash"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Flow identifies a carried flow by its two ends.
type Flow struct {
	// Caller is the address from which the caller opened the flow.
	Caller netip.AddrPort
	// Service is the address that the caller opened the flow to.
	Service netip.AddrPort
}

// Hash returns a number that is spread evenly over flows.
func (fl Flow) Hash() uint64 {
	var buffer [36]byte
	caller, service := fl.Caller.Addr().As16(), fl.Service.Addr().As16()
	copy(buffer[0:], caller[:])
	copy(buffer[16:], service[:])
	binary.BigEndian.PutUint16(buffer[32:], fl.Caller.Port())
	binary.BigEndian.PutUint16(buffer[34:], fl.Service.Port())
	return siphash.Hash(0, 0, buffer[:])
}

// String returns the flow as the log writes it.
func (fl Flow) String() string {
	return fl.Caller.String() + ">" + fl.Service.String()
}

// Packet is the head of one packet of a flow.
type Packet struct {
	Flow
	// Opening asks a host to open the flow.
	Opening bool
	// Accepting is a host's answer to an opening packet.
	Accepting bool
	// Finishes says that the sender has sent everything.
	Finishes bool
	// Resets ends the flow.
	Resets bool
	// Returned is a packet that the host handed back: it doesn't hold the flow,
	// or can't accept it.
	Returned bool
	// Copy numbers the copies of an opening packet from zero.
	Copy uint32
	// Sequence is the number of the first byte.
	Sequence uint32
	// Acknowledged is the number of the next byte that the sender waits for.
	Acknowledged uint32
}

// Report is what an agent says about its host.
type Report struct {
	// State is zero while the agent knows of no host that answers.
	State register.State
	// InProgress is the number of flows whose request is not yet answered.
	InProgress uint16
	// Slots is the number of requests that the host works on at once.
	Slots uint16
	// ServiceTime is how long the host takes for a request on average, zero
	// while none was seen.
	ServiceTime time.Duration
	// Version is that of the agent's routes.
	Version uint64
}

// Reason tells why a packet was declined, refused or dropped.
type Reason uint8

// The reasons.
const (
	// ReasonNone stands for a packet that went on.
	ReasonNone Reason = iota
	// ReasonBusy says that every slot of the host is taken.
	ReasonBusy
	// ReasonDraining says that the host or its agent is leaving.
	ReasonDraining
	// ReasonHostUnknown says that the agent knows of no host that answers.
	ReasonHostUnknown
	// ReasonWrongService says that the host serves another service.
	ReasonWrongService
	// ReasonNoRoute says that no service owns the address.
	ReasonNoRoute
	// ReasonHostRefused says that the host returned the opening packet.
	ReasonHostRefused
	// ReasonNotHeld says that the host doesn't hold the flow.
	ReasonNotHeld
	// ReasonHostLost says that the host returned a packet of a flow that it held:
	// it has started anew or discarded the flow.
	ReasonHostLost
	// ReasonNoHost says that no host of the service is left to try.
	ReasonNoHost
	// ReasonNotFound says that no agent knows the flow.
	ReasonNotFound
	// ReasonUnconfirmed says that an opening was not confirmed in time.
	ReasonUnconfirmed
	// ReasonForged says that only a host could have sent the packet.
	ReasonForged
	// ReasonFull says that a table has no room.
	ReasonFull
	// ReasonIsolated says that the balancer is cut off from all processes.
	ReasonIsolated

	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"None", "Busy", "Draining", "HostUnknown", "WrongService", "NoRoute", "HostRefused",
	"NotHeld", "HostLost", "NoHost", "NotFound", "Unconfirmed", "Forged", "Full", "Isolated",
}

// String returns the reason's name.
func (re Reason) String() string {
	if re >= ReasonCount {
		return "Unknown"
	}
	return reasonNames[re]
}

// DeliveryMode tells an agent how a packet is to be treated.
type DeliveryMode uint8

const (
	// UrgencyOffer leaves it to the agent to decline an opening while its host
	// has no free slot.
	UrgencyOffer DeliveryMode = iota
	// UrgencyTake asks the agent to take the opening though its host is busy.
	UrgencyTake
	// DeliverTentatively asks an agent that may hold the flow to try its host.
	DeliverTentatively
)

// serviceTag returns the number by which agents compare service names.
func serviceTag(service string) uint32 {
	return uint32(siphash.Hash(0, 1, []byte(service)))
}
