package members

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Role is the function of a member.
type Role uint8

// The roles.
const (
	// RoleBalancer is a process that forwards callers' packets from the fabric.
	RoleBalancer Role = iota + 1
	// RoleAgent is a process that runs beside a host and delivers its packets.
	RoleAgent
)

// Record is the membership record of a process, written by the process itself.
// It is encoded by position.
type Record struct {
	_ struct{} `cbor:",toarray"`
	register.Revision
	// Address is where the process receives messages; it identifies the process.
	Address netip.AddrPort
	Role    Role
	// Domain is the failure domain of the process.
	Domain string
	// Service is the service of an agent's host.
	Service string
	// State is the state of an agent's host, zero while no host answers or the
	// agent has ejected it.
	State register.State
	// Slots is the number of requests that the host works on at once.
	Slots uint16
	// ServiceTime is how long the host takes for a request on average, zero
	// while it is unknown.
	ServiceTime time.Duration
}

// Greeting shows that the sender is alive, and tells its record and which view
// and configuration it has. It is encoded by position.
type Greeting struct {
	_      struct{} `cbor:",toarray"`
	Record Record
	// Digest is the digest of the sender's view.
	Digest uint64
	// Version is the version of the sender's configuration, zero without one.
	Version uint64
	// WantAnswer asks for a greeting in return.
	WantAnswer bool
	// EntryMissing says that the receiver's entry may be missing from the store: the
	// sender had removed the receiver from its view, or found no entry of it.
	EntryMissing bool
	// WantView asks for the receiver's view without a comparison of the digests. An
	// answer has it set if the digests differ; its sender then sends its own view
	// as well.
	WantView bool
}

// Joins reports whether the sender has just started: others ask for a view only in an
// answer.
func (gr *Greeting) Joins() bool { return gr.WantView && gr.WantAnswer }

// Page is a part of the sender's view, in Records, or of its configuration. It is
// encoded by position.
type Page struct {
	_       struct{} `cbor:",toarray"`
	Records []Record
	// Version is the version of the configuration of which Data is page Index,
	// from zero, of Count pages. Count is zero in a page with records.
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

// Encode returns the message in CBOR. An error of the encoder is wrapped.
func (me *Message) Encode() ([]byte, error) {
	data, err := cbor.Marshal(me)
	if err != nil {
		return nil, errors.Wrap(err, "encode membership message")
	}
	return data, nil
}

// Decode reads a message in CBOR. An error of the decoder is wrapped.
func Decode(data []byte) (Message, error) {
	var me Message
	if err := cbor.Unmarshal(data, &me); err != nil {
		return Message{}, errors.Wrap(err, "decode membership message")
	}
	return me, nil
}

// Kind is what an Action asks for.
type Kind uint8

// The kinds of actions.
const (
	// KindSend sends the message to the process at To.
	KindSend Kind = iota + 1
	// KindChanged reports that a member was added or has a new Record.
	KindChanged
	// KindConfiguration reports that a newer configuration was received completely from
	// the process at To: Data, of the version Version. It becomes the view's own by Accept.
	KindConfiguration
	// KindRegister asks for the process's entry in the store to be written again:
	// another member says that it may be missing.
	KindRegister
	// KindRemoved reports that the member To did not answer and was removed.
	KindRemoved
	// KindAskConfirmation asks the balancer To when the store was last known to have no
	// newer configuration than Version, which the sender has, or than its own.
	KindAskConfirmation
	// KindConfirmation answers the process at To: at the time Since the store had no
	// newer configuration than Version.
	KindConfirmation
)

// Action is one step that a View asks its caller to perform.
type Action struct {
	Kind    Kind
	To      netip.AddrPort
	Message Message
	Data    []byte
	Version uint64
	Record  Record
	// Since is when the removed member was last heard from, or when the configuration
	// was last confirmed. It is zero if neither ever was.
	Since time.Time
}
