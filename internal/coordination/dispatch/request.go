package dispatch

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// RequestID numbers the requests of one agent. The driver assigns it and uses
// each number once within an incarnation.
type RequestID uint64

// Class is the traffic class of a request.
type Class uint8

// The traffic classes in the order in which they are served.
const (
	// ClassUrgent is served first.
	ClassUrgent Class = iota
	// ClassDeferrable may wait and is refused first under overload.
	ClassDeferrable
	classCount
)

// String returns the name of the class as metrics and logs carry it.
func (cl Class) String() string {
	if cl == ClassUrgent {
		return "Urgent"
	}
	return "Deferrable"
}

// Origin says how a request came to this agent.
type Origin uint8

// The origins of requests.
const (
	// OriginCaller came from a caller, over its own flow.
	OriginCaller Origin = iota
	// OriginRelay came from another agent, because this agent issued its ticket
	// or may hold the ledger of the agent that did.
	OriginRelay
	// OriginDelegate came from the agent that decides about the request and
	// delegated its execution to this agent.
	OriginDelegate
)

// Request holds what the Dispatcher needs to know of a request.
type Request struct {
	ID RequestID
	// Origin says who awaits the response.
	Origin Origin
	// Peer is the agent that sent a relayed or delegated request.
	Peer netip.AddrPort
	// Caller is the address by which the queues are shared fairly.
	Caller netip.Addr
	Class  Class
	// Deadline is from when on the answer is of no use to the caller.
	Deadline time.Time
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Ticket is the ticket that came with the request, if any.
	Ticket ledger.Ticket
	// Digest identifies the content of an unrepeatable request.
	Digest ledger.Digest
}

// Reason says why a request was not answered.
type Reason uint8

// The reasons of outcomes other than Answered.
const (
	// ReasonNone belongs to an answered request.
	ReasonNone Reason = iota
	// ReasonTicketRequired asks the caller to repeat the request with the ticket
	// that the response carries.
	ReasonTicketRequired
	// ReasonTicketRefused means that NotRun is the final outcome of the ticket.
	ReasonTicketRefused
	// ReasonTicketMismatch means that the ticket belongs to another request.
	ReasonTicketMismatch
	// ReasonTicketSpent means that the ticket's request may have run and no
	// answer is recorded.
	ReasonTicketSpent
	// ReasonHomeLost means that no agent that holds the ticket's ledger
	// responded.
	ReasonHomeLost
	// ReasonOverloaded means that the expected or actual wait in the queue was too
	// long, or that a request of another caller was queued instead.
	ReasonOverloaded
	// ReasonDeadline means that the deadline passed or can't be met.
	ReasonDeadline
	// ReasonDraining means that the agent takes no new requests or stopped before
	// the request ended.
	ReasonDraining
	// ReasonServerFailed means that the backend server gave no complete response.
	ReasonServerFailed
	// ReasonServerRefused means that the backend server refused the request
	// before running it.
	ReasonServerRefused
	// ReasonPeerLost means that the peer that the request was delegated to could
	// not be reached or did not respond.
	ReasonPeerLost
	// ReasonCanceled means that nobody awaits the answer any longer.
	ReasonCanceled
)

// reasonNames are the names of the reasons as headers and logs carry them.
var reasonNames = [...]string{
	"None", "TicketRequired", "TicketRefused", "TicketMismatch", "TicketSpent", "HomeLost",
	"Overloaded", "Deadline", "Draining", "ServerFailed", "ServerRefused", "PeerLost", "Canceled",
}

// String returns the name of the reason.
func (re Reason) String() string {
	if int(re) < len(reasonNames) {
		return reasonNames[re]
	}
	return "Invalid"
}

// Result says how an execution ended.
type Result uint8

// The results of an execution.
const (
	// ResultComplete means that the complete response arrived.
	ResultComplete Result = iota + 1
	// ResultNotSent means that the request was provably not sent to the backend
	// server.
	ResultNotSent
	// ResultRefused means that the backend server refused the request before
	// running it.
	ResultRefused
	// ResultFailed means that no complete response arrived and the request may
	// have run.
	ResultFailed
	// ResultTruncated means that the response was cut off after part of it was
	// passed to the caller.
	ResultTruncated
)

// Peer is another agent of the same service.
type Peer struct {
	Host        netip.AddrPort
	Incarnation uint64
	// TakesNewWork is false for a peer that is draining.
	TakesNewWork bool
}
