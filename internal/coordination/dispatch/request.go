package dispatch

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// RequestID numbers the requests of one agent. The shell assigns it and never
// uses one twice within an incarnation.
type RequestID uint64

// Class is the traffic class of a request.
type Class uint8

// The traffic classes in the order of their service.
const (
	// ClassUrgent is served first.
	ClassUrgent Class = iota
	// ClassDeferrable may wait and is shed first.
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
	// OriginCaller came over a caller's flow.
	OriginCaller Origin = iota
	// OriginRelay came from an agent that received a ticket of this home.
	OriginRelay
	// OriginDelegate came from the agent that decides about the request and
	// wants it run here.
	OriginDelegate
)

// Request is what the decisions need to know of a request.
type Request struct {
	ID RequestID
	// Origin says who awaits the answer.
	Origin Origin
	// Peer is the agent that sent a relayed or delegated request.
	Peer netip.AddrPort
	// Caller is the address that shares the agent's capacity fairly.
	Caller netip.Addr
	Class  Class
	// Deadline is when the answer is worthless to the caller.
	Deadline time.Time
	// Repeatable requests may run more than once.
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
	// ReasonTicketRequired asks to repeat the request with the fresh ticket.
	ReasonTicketRequired
	// ReasonTicketRefused means that the ticket is final as not run.
	ReasonTicketRefused
	// ReasonTicketMismatch means that the ticket belongs to another request.
	ReasonTicketMismatch
	// ReasonTicketSpent means that the ticket ran and its answer is not held.
	ReasonTicketSpent
	// ReasonHomeLost means that no holder of the ticket's ledger answered.
	ReasonHomeLost
	// ReasonOverloaded means that the queue is longer than the time allowed.
	ReasonOverloaded
	// ReasonDeadline means that the deadline passed or can't be met.
	ReasonDeadline
	// ReasonDraining means that the agent takes no new work.
	ReasonDraining
	// ReasonServerFailed means that the backend server did not answer whole.
	ReasonServerFailed
	// ReasonServerRefused means that the backend server refused before running.
	ReasonServerRefused
	// ReasonPeerLost means that the agent that ran the request did not answer.
	ReasonPeerLost
	// ReasonCanceled means that the caller went away.
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

// Result is how the hand-over of a request to a backend server ended.
type Result uint8

// The results of an execution.
const (
	// ResultComplete means that the whole answer arrived.
	ResultComplete Result = iota + 1
	// ResultNotSent means that the request was provably not handed over.
	ResultNotSent
	// ResultRefused means that the backend server refused before running.
	ResultRefused
	// ResultFailed means that the request may have run.
	ResultFailed
	// ResultTruncated means that part of the answer went to the caller already.
	ResultTruncated
)

// Peer is another agent of the same service.
type Peer struct {
	Host        netip.AddrPort
	Incarnation uint64
	// TakesNewWork is false for a peer that drains.
	TakesNewWork bool
}
