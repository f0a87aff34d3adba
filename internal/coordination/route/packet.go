package route

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// MaxHops is the largest number of agents that forward one packet.
const MaxHops = 8

// Request tells the receiving agent what to do with a packet whose flow its host
// doesn't hold.
type Request uint8

const (
	// RequestAsk comes from a balancer or an agent that looks for the host that
	// holds the flow.
	RequestAsk Request = iota
	// RequestOpen comes from an agent whose host doesn't hold the flow. The
	// receiver is to open it.
	RequestOpen
	// RequestOffer comes from the agent that may open the flow. The receiver
	// opens it if its load score is lower than the sender's and it isn't
	// draining, or else lets the sender open it.
	RequestOffer
	// RequestTake comes from the agent of a draining host, which never opens the
	// flow itself. The receiver is to open it.
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

// Header is the routing information that balancers and agents send with a packet.
type Header struct {
	Service register.ServiceID
	Caller  netip.AddrPort
	Chain   Chain
	// Index is the receiver's position in the chain.
	Index uint8
	// Hops is the number of agents that have forwarded the packet.
	Hops    uint8
	Request Request
	// LoadScore is that of the agent which forwarded the packet last. It is zero in
	// a packet from a balancer.
	LoadScore LoadScore
}

// Target is the host whose address and incarnation a connection ID encodes.
type Target struct {
	Address netip.AddrPort
	// Incarnation holds the low 16 bits of the host's incarnation.
	Incarnation uint16
}

// Packet is one packet of a caller as an agent receives it.
type Packet struct {
	Header
	// Sender is the address of the balancer or agent that sent the packet.
	Sender netip.AddrPort
	// Routable reports whether the connection ID names a host. Target is that
	// host.
	Routable bool
	Target   Target
	// ID is the connection ID that the caller chose, empty for plain datagrams.
	ID []byte
}

// Action is what an agent does with a packet.
type Action uint8

const (
	// ActionAccept delivers the packet to an open flow of the host.
	ActionAccept Action = iota + 1
	// ActionOpen opens a flow on the host and delivers the packet to it.
	ActionOpen
	// ActionForward sends the packet to another host.
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

// The reasons to drop a packet. Table.Resolve returns some of them too.
const (
	// ReasonNone stands for a packet that isn't dropped.
	ReasonNone Reason = iota
	// ReasonWrongService is for a packet of a service that the host doesn't serve.
	ReasonWrongService
	// ReasonHopLimit is for a packet that MaxHops agents have forwarded.
	ReasonHopLimit
	// ReasonMalformedChain is for a packet with an invalid chain, one whose chain
	// doesn't name the host at the index, or an invalid request.
	ReasonMalformedChain
	// ReasonStaleIncarnation is for a packet to another incarnation of the host,
	// as a rule a former one.
	ReasonStaleIncarnation
	// ReasonUnknownTarget is for a connection ID that names no known host, and for
	// a packet that was forwarded to a host which its connection ID doesn't name.
	ReasonUnknownTarget
	// ReasonFull is for a packet whose flow needs a new entry when the flow table
	// or its list of peers is full.
	ReasonFull
	// ReasonDraining is for a new flow that a draining host can delegate to no
	// other host.
	ReasonDraining

	// ReasonCount is the number of reasons, ReasonNone included.
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

// drop returns the decision to drop a packet.
func drop(re Reason) Decision {
	return Decision{Action: ActionDrop, Reason: re}
}
