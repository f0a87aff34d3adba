package carriage

import (
	"net/netip"
	"time"
)

// Kind is what an action asks the shell to do.
type Kind uint8

// The kinds of actions.
const (
	// KindForward sends the datagram with its Urgency to the agent To.
	KindForward Kind = iota + 1
	// KindReset tells the caller that its opening packet was refused, or that the
	// host has lost its flow.
	KindReset
	// KindDrop only notes that the packet goes nowhere.
	KindDrop
	// KindPark only notes that the opening waits for a host to appear.
	KindPark
	// KindFind asks the agent To whether its host holds the flow.
	KindFind
	// KindPing asks the agent To for a report.
	KindPing
	// KindPingBalancers asks the other balancers for a sign of life.
	KindPingBalancers
	// KindSuspect notes that the agent To is silent.
	KindSuspect
	// KindRecovered notes that the silent agent To has answered.
	KindRecovered
	// KindDeliver hands the datagram to the host.
	KindDeliver
	// KindReturn sends the datagram to the caller.
	KindReturn
	// KindServed notes that the host has sent its whole answer to a flow that was
	// handed over at Started.
	KindServed
	// KindConfirm tells the balancer To that the host accepted the flow.
	KindConfirm
	// KindDecline hands the datagram back to the balancer To.
	KindDecline
	// KindHeld tells the balancer To that the host holds the flow, or, unless
	// Sure, that it may.
	KindHeld
	// KindAnnounce asks for the agent's report to be spread at once.
	KindAnnounce
)

// Action is one thing that a decision core wants done.
type Action struct {
	Kind Kind
	// To is the process that the action concerns.
	To   netip.AddrPort
	Flow Flow
	// Data is the packet; it is valid until the next call of the core.
	Data []byte
	// Mode and Tag go with KindCarry.
	Mode DeliveryMode
	// ServiceHash is the number of the service that the opening is for.
	ServiceHash uint32
	// Acknowledged is the number of the next byte that the caller waits for. It
	// goes with KindFind and KindReset.
	Acknowledged uint32
	// Sure goes with KindHeld.
	Sure   bool
	Reason Reason
	// Opening says that the packet opens the flow.
	Opening bool
	// Started is when the caller sent the first copy of an opening.
	Started time.Time
	// Attempt numbers the hosts that an opening was sent to from one.
	Attempt int
	// InProgress is the load on which the choice of a host was based.
	InProgress float64
	// ServiceTime is how long the chosen host takes for a request, zero if unknown.
	ServiceTime time.Duration
	// Reported is when load and service time were reported, zero if they never were.
	Reported time.Time
}
