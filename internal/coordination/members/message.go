package members

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Role is what a member does.
type Role uint8

// The roles.
const (
	// RoleBalancer takes callers' packets from the fabric.
	RoleBalancer Role = iota + 1
	// RoleAgent runs beside a host.
	RoleAgent
)

// Record is what a process says about itself.
type Record struct {
	_ struct{} `cbor:",toarray"`
	register.Revision
	// Address is where the process takes messages; it identifies the process.
	Address netip.AddrPort
	Role    Role
	Domain  string
	// Service is that of an agent's host.
	Service string
	// State is zero while an agent knows of no host that answers.
	State register.State
	// Slots is the number of requests that the host works on at once.
	Slots uint16
	// ServiceTime is how long the host takes for a request on average, zero
	// while it is unknown.
	ServiceTime time.Duration
}

// Greeting says that the sender lives and what it knows.
type Greeting struct {
	_      struct{} `cbor:",toarray"`
	Record Record
	// Digest is that of the sender's view.
	Digest uint64
	// Version is that of the sender's configuration.
	Version uint64
	// Answer asks for a greeting in return.
	Answer bool
	// Forgotten says that the receiver was missing in the sender's view.
	Forgotten bool
	// Share asks for the receiver's view and configuration in any case.
	Share bool
}

// Page is a part of the sender's view or of its configuration.
type Page struct {
	_       struct{} `cbor:",toarray"`
	Records []Record
	// Version, Index, Count and Data are a part of an encoded configuration.
	Version uint64
	Index   uint16
	Count   uint16
	Data    []byte
}

// Message is one datagram between members: a Greeting or a Page.
type Message struct {
	_        struct{} `cbor:",toarray"`
	Greeting *Greeting
	Page     *Page
}

// Encode returns the message in CBOR.
func (me *Message) Encode() ([]byte, error) {
	data, err := cbor.Marshal(me)
	if err != nil {
		return nil, errors.Wrap(err, "encode members message")
	}
	return data, nil
}

// Decode reads a message in CBOR.
func Decode(data []byte) (Message, error) {
	var me Message
	if err := cbor.Unmarshal(data, &me); err != nil {
		return Message{}, errors.Wrap(err, "decode members message")
	}
	return me, nil
}

// Kind is what an Action asks for.
type Kind uint8

// The kinds of actions.
const (
	// KindSend sends the message to the member To.
	KindSend Kind = iota + 1
	// KindChanged says that the view of members has changed.
	KindChanged
	// KindConfiguration says that a newer configuration has come whole, in Data.
	KindConfiguration
	// KindRegister asks for the process's entry in the store to be written: it
	// was removed while the process lived.
	KindRegister
	// KindRemoved says that the member To does not answer and was removed.
	KindRemoved
)

// Action is one thing that the view wants done.
type Action struct {
	Kind    Kind
	To      netip.AddrPort
	Message Message
	Data    []byte
	Version uint64
	// Since is when the member was last heard from.
	Since time.Time
}
