package ledger

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Outcome says what is known of a request that a caller sent.
type Outcome uint8

// The outcomes of a request.
const (
	// Answered means that the whole answer of the backend server follows.
	Answered Outcome = iota + 1
	// NotRun means that the request was provably never handed to a backend
	// server and never will be.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome's name as headers and logs carry it.
func (ou Outcome) String() string {
	switch ou {
	case Answered:
		return "Answered"
	case NotRun:
		return "NotRun"
	case Unknown:
		return "Unknown"
	default:
		return "Invalid"
	}
}

// Home names the one process that may run a ticket.
type Home struct {
	// Host is the datagram address of the agent that issued the ticket.
	Host netip.AddrPort
	// Incarnation is the agent's incarnation when it issued the ticket.
	Incarnation uint64
}

// Ticket permits a single run of one unrepeatable request.
type Ticket struct {
	Home
	// Service is the service that the ticket is valid for.
	Service register.ServiceID
	// Sequence numbers the tickets of one home from 1.
	Sequence uint64
	// Expiry is read from the clock of the home and compared with it only.
	Expiry time.Time
}

// Valid reports whether the ticket was issued at all.
func (ti Ticket) Valid() bool {
	return ti.Sequence != 0
}

// Digest identifies the content of a request, so that an answer is replayed
// only to a repeat of the very request that caused it.
type Digest [32]byte

// Field is one header field of an answer.
type Field struct {
	Name  string
	Value string
}

// Answer is a whole answer of a backend server.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
}

// Size returns the bytes that the answer occupies in a ledger.
func (an Answer) Size() int {
	size := len(an.Body)
	for _, fi := range an.Header {
		size += len(fi.Name) + len(fi.Value) + fieldOverhead
	}
	return size
}

// fieldOverhead is the size of the two string headers of a Field in bytes.
const fieldOverhead = 32
