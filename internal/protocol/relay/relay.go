// Package relay defines the bodies of the messages in which agents of one service
// pass requests to each other, negotiate free slots and hand over ledgers.
//
// Deadlines are sent as remaining durations, because clocks of instances differ.
//
// # Usage
//
//	body := relay.Request{From: host, Number: id, Origin: dispatch.OriginRelay}
//	err := pool.Call(ctx, peer, message.KindRelay, body, &response)
package relay

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/state/ledger"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Content is the HTTP request that the backend server receives.
type Content struct {
	Method string
	// Target is the request target: path and query.
	Target string
	Header []ledger.Field
	Body   []byte
}

// Request is the body of a KindRelay message.
type Request struct {
	Content
	// From is the host address that identifies the sender, and Number is the
	// sender's number of the request.
	From   netip.AddrPort
	Number dispatch.RequestID
	Origin dispatch.Origin
	// Service must be the receiver's service.
	Service register.ServiceID
	Caller  netip.Addr
	Class   dispatch.Class
	// Remaining is the time left until the request's deadline when it is sent.
	Remaining  time.Duration
	Repeatable bool
	Ticket     Ticket
	Digest     ledger.Digest
}

// Ticket is the encoded form of a ledger.Ticket. ExpiryMilliseconds is Unix time by
// the clock of the agent that issued the ticket.
type Ticket struct {
	Host               netip.AddrPort
	Incarnation        uint64
	Service            register.ServiceID
	Sequence           uint64
	ExpiryMilliseconds int64
}

// NewTicket returns the encoded form of the ticket, a zero Ticket if it was not
// issued.
func NewTicket(ti ledger.Ticket) Ticket {
	if !ti.Valid() {
		return Ticket{}
	}
	return Ticket{
		Host:               ti.Host,
		Incarnation:        ti.Incarnation,
		Service:            ti.Service,
		Sequence:           ti.Sequence,
		ExpiryMilliseconds: ti.Expiry.UnixMilli(),
	}
}

// LedgerTicket returns the decoded ticket.
func (ti Ticket) LedgerTicket() ledger.Ticket {
	return ledger.Ticket{
		Home:     ledger.Home{Host: ti.Host, Incarnation: ti.Incarnation},
		Service:  ti.Service,
		Sequence: ti.Sequence,
		Expiry:   time.UnixMilli(ti.ExpiryMilliseconds),
	}
}

// Response is the answer to a Request.
type Response struct {
	Outcome ledger.Outcome
	Reason  dispatch.Reason
	// Held is false if the sender holds neither the ledger nor a snapshot of the
	// ticket's home, and if the deadline passed while the sender awaited the outcome
	// of an earlier copy of the request.
	Held   bool
	Answer ledger.Answer
}

// Verb is the type of a Notice.
type Verb uint8

// The types of notices.
const (
	// VerbProbe asks the receiver for a free slot for a request.
	VerbProbe Verb = iota + 1
	// VerbGrant offers the receiver a slot, which the sender reserves.
	VerbGrant
	// VerbDecline releases a slot that the receiver reserved.
	VerbDecline
	// VerbWithdraw cancels a request that the sender passed to the receiver.
	VerbWithdraw
)

// Notice is the body of a KindNotice message, which wants no answer.
type Notice struct {
	Verb Verb
	From netip.AddrPort
	// Class is the class of the request, with VerbProbe.
	Class dispatch.Class
	// Load is the utilisation of the sender's backend server in thousandths, with
	// VerbGrant.
	Load int
	// Number is the sender's number of the request, with VerbWithdraw.
	Number dispatch.RequestID
}
