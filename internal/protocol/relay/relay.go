// Package relay holds the bodies of the messages in which agents of one
// service pass requests, free slots and ledgers to one another.
//
// Times are sent as remaining durations, because clocks of instances differ.
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

// Content is a caller's request as the backend server is to see it.
type Content struct {
	Method string
	// Target is the path and query.
	Target string
	Header []ledger.Field
	Body   []byte
}

// Request is the body of a KindRelay message.
type Request struct {
	Content
	// From is the host identity of the sender, and Number its own number of
	// the request.
	From   netip.AddrPort
	Number dispatch.RequestID
	Origin dispatch.Origin
	// Service must be that of the receiver.
	Service    register.ServiceID
	Caller     netip.Addr
	Class      dispatch.Class
	Remaining  time.Duration
	Repeatable bool
	Ticket     Ticket
	Digest     ledger.Digest
}

// Ticket is a ticket with its expiry in milliseconds of the home's Unix time.
type Ticket struct {
	Host               netip.AddrPort
	Incarnation        uint64
	Service            register.ServiceID
	Sequence           uint64
	ExpiryMilliseconds int64
}

// NewTicket returns the ticket as it is sent.
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

// LedgerTicket returns the ticket as the ledger knows it.
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
	Held    bool
	Answer  ledger.Answer
}

// Verb says what a Notice is about.
type Verb uint8

// The verbs of notices.
const (
	// VerbProbe asks for a free slot.
	VerbProbe Verb = iota + 1
	// VerbGrant holds a slot for the receiver.
	VerbGrant
	// VerbDecline gives a slot back.
	VerbDecline
	// VerbWithdraw ends a request that the sender passed on.
	VerbWithdraw
)

// Notice is the body of a KindProbe message, which wants no answer.
type Notice struct {
	Verb Verb
	From netip.AddrPort
	// Class belongs to VerbProbe.
	Class dispatch.Class
	// Load belongs to VerbGrant, in thousandths.
	Load int
	// Number belongs to VerbWithdraw.
	Number dispatch.RequestID
}
