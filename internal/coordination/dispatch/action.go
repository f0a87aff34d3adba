package dispatch

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// Action is an output of a Dispatcher.
type Action interface{ action() }

// Respond sends the outcome of a request to its sender, a caller or a peer.
type Respond struct {
	ID      RequestID
	Outcome ledger.Outcome
	Reason  Reason
	// Held is false if a relayed request came to an agent that does not hold the
	// ledger of the ticket, and if the deadline passed while the request awaited
	// the response of another agent or the outcome of an earlier copy.
	Held bool
	// Answer is set if the outcome is Answered, unless the driver streams the
	// answer.
	Answer ledger.Answer
	// NextTicket is the ticket for the caller's next request. It is invalid in a
	// response to a peer, and if the request arrived after the ledger was frozen.
	NextTicket ledger.Ticket
}

// Execute hands a request to the backend server. The driver must report
// Executed exactly once for it.
type Execute struct {
	ID RequestID
	// Deadline bounds the execution.
	Deadline time.Time
	// NextTicket is the ticket that a streamed answer carries.
	NextTicket ledger.Ticket
	// Buffer asks for the complete answer in Executed. Without it, the driver may
	// stream the answer to the caller.
	Buffer bool
}

// Cancel cancels an execution whose answer nobody needs.
type Cancel struct{ ID RequestID }

// Relay sends a request to an agent that may hold the ledger of its ticket.
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

// Withdraw tells the peer that the answer of a delegated request is not needed
// any longer.
type Withdraw struct {
	ID   RequestID
	Peer netip.AddrPort
}

// Probe asks the peer for a free slot.
type Probe struct {
	Peer  netip.AddrPort
	Class Class
}

// Grant tells the peer that a slot is reserved for it. Load is this agent's
// utilisation in thousandths.
type Grant struct {
	Peer netip.AddrPort
	Load int
}

// Decline gives a granted slot back to the peer.
type Decline struct{ Peer netip.AddrPort }

// HandOver sends the snapshots to a successor.
type HandOver struct {
	Peer      netip.AddrPort
	Snapshots []ledger.Snapshot
}

// Stopped reports the end of a planned stop.
type Stopped struct {
	// Unfinished is the number of requests that were still in progress.
	Unfinished int
	// Adopted reports whether a successor adopted the latest state of the ledger
	// and of the adopted ledgers that this agent holds.
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
