package dispatch

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// Event is an input of a Dispatcher.
type Event interface{ event() }

// Arrived reports a new request.
type Arrived struct{ Request Request }

// Executed reports the end of an Execute action. The slot is free from then on.
type Executed struct {
	ID     RequestID
	Result Result
	// Answer is the complete answer. It may be empty if Execute did not ask for
	// it with Buffer, because the answer was streamed.
	Answer ledger.Answer
}

// Abandoned reports that nobody awaits the request's answer any longer.
type Abandoned struct{ ID RequestID }

// Relayed reports a response to a Relay action.
type Relayed struct {
	ID      RequestID
	Outcome ledger.Outcome
	Reason  Reason
	// Held is false if the peer holds no ledger of the ticket's home; see
	// Respond.
	Held   bool
	Answer ledger.Answer
}

// RelayFailed reports that a Relay action brought no response.
type RelayFailed struct{ ID RequestID }

// Delegated reports a peer's response to a Delegate action.
type Delegated struct {
	ID      RequestID
	Peer    netip.AddrPort
	Outcome ledger.Outcome
	Reason  Reason
	Answer  ledger.Answer
}

// DelegateFailed reports that a Delegate action brought no response.
type DelegateFailed struct {
	ID   RequestID
	Peer netip.AddrPort
	// Sent is false if the request provably never left this agent.
	Sent bool
}

// Probed reports that a peer asks for a free slot.
type Probed struct {
	Peer  netip.AddrPort
	Class Class
}

// Granted reports that a peer reserved a slot for this agent.
type Granted struct {
	Peer netip.AddrPort
	// Load is the peer's utilisation in thousandths.
	Load int
}

// Declined reports that a peer does not need the slot that it was granted.
type Declined struct{ Peer netip.AddrPort }

// PeersChanged reports all other agents of the service.
type PeersChanged struct{ Peers []Peer }

// LoadReported reports the result of a health check of the backend server.
type LoadReported struct {
	// Load is the utilisation that the server reports, in thousandths.
	Load    int
	Healthy bool
}

// StopRequested starts a planned stop that ends at the deadline at the latest.
type StopRequested struct{ Deadline time.Time }

// HandedOver reports whether the successor adopted the snapshots of a HandOver
// action.
type HandedOver struct {
	Peer    netip.AddrPort
	Adopted bool
}

// SnapshotReceived reports a snapshot from a stopping peer.
type SnapshotReceived struct{ Snapshot ledger.Snapshot }

// TimerFired reports that the time returned by NextWake has come.
type TimerFired struct{}

func (Arrived) event()          {}
func (Executed) event()         {}
func (Abandoned) event()        {}
func (Relayed) event()          {}
func (RelayFailed) event()      {}
func (Delegated) event()        {}
func (DelegateFailed) event()   {}
func (Probed) event()           {}
func (Granted) event()          {}
func (Declined) event()         {}
func (PeersChanged) event()     {}
func (LoadReported) event()     {}
func (StopRequested) event()    {}
func (HandedOver) event()       {}
func (SnapshotReceived) event() {}
func (TimerFired) event()       {}
