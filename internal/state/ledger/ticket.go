package ledger

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Outcome says what is known about the execution of a request.
type Outcome uint8

// The outcomes of a request.
const (
	// Answered means that the backend server's whole answer is available.
	Answered Outcome = iota + 1
	// NotRun means that the request provably never ran on a backend server and
	// never will.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome's name as written to headers and logs.
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

// Home identifies the process that issued a ticket: the only one that may send
// its request to a backend server.
type Home struct {
	// Host is the datagram address of the agent that issued the ticket.
	Host netip.AddrPort
	// Incarnation is the agent's incarnation when it issued the ticket.
	Incarnation uint64
}

// Ticket permits a single run of one request that must not be repeated.
type Ticket struct {
	Home
	// Service is the service that the ticket is valid for.
	Service register.ServiceID
	// Sequence is the number of the ticket among those of its home, from 1.
	Sequence uint64
	// Expiry is a time on the clock of the home. It is compared with that clock
	// only.
	Expiry time.Time
}

// Valid reports whether a ledger issued the ticket; the zero Ticket is invalid.
func (ti Ticket) Valid() bool {
	return ti.Sequence != 0
}

// Digest is the hash of a request's content. An answer is replayed only to a
// request with the same digest as the one that was answered.
type Digest [32]byte

// Field is one header field of an answer.
type Field struct {
	Name  string
	Value string
}

// Answer is the complete response of a backend server.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
}

// Size returns the bytes that count towards Limits.Bytes for the answer.
func (an Answer) Size() int {
	size := len(an.Body)
	for _, fi := range an.Header {
		size += len(fi.Name) + len(fi.Value) + fieldOverhead
	}
	return size
}

// fieldOverhead is the size of the two string headers of a Field in bytes.
const fieldOverhead = 32
