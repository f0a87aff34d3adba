package dispatch

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// Action is an output of a Desk.
type Action interface{ action() }

// Respond ends a request towards whoever sent it.
type Respond struct {
	ID      RequestID
	Outcome ledger.Outcome
	Reason  Reason
	// Held is false if a relayed request came to an agent without its ledger.
	Held bool
	// Answer is the answer of Answered; it is empty if the shell streams it.
	Answer ledger.Answer
	// NextTicket is the ticket for the caller's next request.
	NextTicket ledger.Ticket
}

// Execute hands a request to the backend server. The shell must report
// Executed exactly once for it.
type Execute struct {
	ID RequestID
	// Deadline bounds the execution.
	Deadline time.Time
	// NextTicket is the ticket that a streamed answer carries.
	NextTicket ledger.Ticket
	// Buffer asks for the whole answer in Executed instead of a stream.
	Buffer bool
}

// Cancel ends a running execution whose answer nobody needs.
type Cancel struct{ ID RequestID }

// Relay sends a request to the agent that may hold the ledger of its ticket.
type Relay struct {
	ID       RequestID
	Peer     netip.AddrPort
	Deadline time.Time
}

// Delegate sends a request to a peer that granted a slot for it.
type Delegate struct {
	ID       RequestID
	Peer     netip.AddrPort
	Deadline time.Time
}

// Withdraw tells the peer that the answer of a delegated request isn't needed.
type Withdraw struct {
	ID   RequestID
	Peer netip.AddrPort
}

// Probe asks the peer for a free slot.
type Probe struct {
	Peer  netip.AddrPort
	Class Class
}

// Grant tells the peer that a slot is held for it.
type Grant struct {
	Peer netip.AddrPort
	Load int
}

// Decline gives a granted slot back.
type Decline struct{ Peer netip.AddrPort }

// HandOver sends the snapshots to a successor.
type HandOver struct {
	Peer      netip.AddrPort
	Snapshots []ledger.Snapshot
}

// Stopped ends a planned stop.
type Stopped struct {
	// Unfinished is the number of requests that were still in progress.
	Unfinished int
	// Adopted reports whether a successor holds the ledger.
	Adopted bool
}

func (Respond) action()  {}
func (Execute) action()  {}
func (Cancel) action()   {}
func (Relay) action()    {}
func (Delegate) action() {}
func (Withdraw) action() {}
func (Probe) action()    {}
func (Grant) action()    {}
func (Decline) action()  {}
func (HandOver) action() {}
func (Stopped) action()  {}
