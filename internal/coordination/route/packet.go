package route

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// MaxHops is the largest number of agents that pass on one packet.
const MaxHops = 8

// Request tells an agent what the sender of a packet knows of its flow.
type Request uint8

const (
	// RequestAsk comes from a balancer, or from an agent that doesn't hold the
	// flow and has others to ask.
	RequestAsk Request = iota
	// RequestOpen comes from an agent that doesn't hold the flow and leaves it
	// to the receiver to open it.
	RequestOpen
	// RequestOffer comes from the agent that may open the flow. The receiver
	// opens it unless it is under more pressure than the sender.
	RequestOffer
	// RequestTake comes from a draining agent, which never opens the flow.
	RequestTake
)

// String returns the request's name.
func (re Request) String() string {
	switch re {
	case RequestAsk:
		return "Ask"
	case RequestOpen:
		return "Open"
	case RequestOffer:
		return "Offer"
	case RequestTake:
		return "Take"
	default:
		return "Unknown"
	}
}

// Header is the part of a packet that agents pass on.
type Header struct {
	Service register.ServiceID
	Caller  netip.AddrPort
	Chain   Chain
	// Index is the receiver's position in the chain.
	Index uint8
	// Hops is the number of agents that have passed the packet on.
	Hops    uint8
	Request Request
	// LoadScore is that of the agent which passed the packet on.
	LoadScore LoadScore
}

// Target is the host that a connection ID names.
type Target struct {
	Address netip.AddrPort
	// Incarnation holds the low 16 bits of the host's incarnation.
	Incarnation uint16
}

// Packet is one packet of a caller as an agent receives it.
type Packet struct {
	Header
	// Sender is where the datagram came from.
	Sender netip.AddrPort
	// Routable reports whether the connection ID names a host, which is Target.
	Routable bool
	Target   Target
	// ID is the connection ID that the caller chose, empty for plain datagrams.
	ID []byte
}

// Action is what an agent does with a packet.
type Action uint8

const (
	// ActionAccept hands the packet to the flow that the host holds.
	ActionAccept Action = iota + 1
	// ActionOpen hands the packet to a new flow.
	ActionOpen
	// ActionForward sends the packet on.
	ActionForward
	// ActionDrop drops the packet.
	ActionDrop
)

// String returns the action's name.
func (ac Action) String() string {
	switch ac {
	case ActionAccept:
		return "Accept"
	case ActionOpen:
		return "Open"
	case ActionForward:
		return "Forward"
	case ActionDrop:
		return "Drop"
	default:
		return "Unknown"
	}
}

// Reason tells why a packet is dropped.
type Reason uint8

// The reasons in the order in which they are checked.
const (
	// ReasonNone stands for a packet that isn't dropped.
	ReasonNone Reason = iota
	// ReasonWrongService is for a packet of a service that the host doesn't serve.
	ReasonWrongService
	// ReasonHopLimit is for a packet that MaxHops agents have passed on.
	ReasonHopLimit
	// ReasonMalformedChain is for a chain in which the host isn't at the index.
	ReasonMalformedChain
	// ReasonStaleIncarnation is for a packet to a former incarnation.
	ReasonStaleIncarnation
	// ReasonUnknownTarget is for a connection ID that names no present host.
	ReasonUnknownTarget
	// ReasonFull is for a new flow that finds no room in the table.
	ReasonFull
	// ReasonDraining is for a new flow that no host of the chain may open.
	ReasonDraining

	// ReasonCount is the number of reasons.
	ReasonCount
)

// String returns the reason's name.
func (re Reason) String() string {
	switch re {
	case ReasonNone:
		return "None"
	case ReasonWrongService:
		return "WrongService"
	case ReasonHopLimit:
		return "HopLimit"
	case ReasonMalformedChain:
		return "MalformedChain"
	case ReasonStaleIncarnation:
		return "StaleIncarnation"
	case ReasonUnknownTarget:
		return "UnknownTarget"
	case ReasonFull:
		return "Full"
	case ReasonDraining:
		return "Draining"
	default:
		return "Unknown"
	}
}

// Decision is what an agent does with a packet and why.
type Decision struct {
	Action Action
	// Reason is set for ActionDrop.
	Reason Reason
	// To and Header are set for ActionForward.
	To     netip.AddrPort
	Header Header
}

func drop(re Reason) Decision {
	return Decision{Action: ActionDrop, Reason: re}
}
