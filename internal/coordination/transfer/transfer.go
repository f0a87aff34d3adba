// Package transfer copies the whole view of the fleet from a live balancer, the
// donor, to a joining one.
//
// The joiner asks the donor for one hash range of items after another. Changes that
// reach the joiner by gossip meanwhile are merged into its table, but its view is
// used only when the last range has arrived. The first chunk of a donor carries
// the identity of its view at that time; in the ranges that this donor sent, the
// finished view holds at least what the donor held then. A donor that dies,
// refuses or does not answer is replaced by another, which continues with the same
// range.
//
// The identity of a view is a random generation with a counter. The counter alone
// could repeat after all balancers were stopped; the generation cannot. The design
// follows distributed recovery in MySQL Group Replication. Records can be merged in
// any order, so unlike there no ordered log is replayed after the copy.
//
// # Usage
//
//	jo := transfer.NewJoiner(rng)
//	run(jo.Start(donors, now))
//	run(jo.Receive(from, message, now))
//	run(jo.Tick(now))
package transfer

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
)

// ViewID identifies a state of the view of a balancer.
type ViewID struct {
	_ struct{} `cbor:",toarray"`
	// Generation is a random number that the first balancer of a fleet chooses
	// and the others take over with the view.
	Generation uint64
	// Counter grows with each change of the view.
	Counter uint64
}

// Message is a message between joiner and donor. Exactly one field is set.
type Message struct {
	Request *Request `cbor:"1,keyasint,omitempty"`
	Chunk   *Chunk   `cbor:"2,keyasint,omitempty"`
	Refusal *Refusal `cbor:"3,keyasint,omitempty"`
}

// Request asks for the items from the hash range First on.
type Request struct {
	_     struct{} `cbor:",toarray"`
	First uint16
}

// Chunk carries the items of the hash ranges from First up to, but without, Next.
type Chunk struct {
	_     struct{} `cbor:",toarray"`
	First uint16
	// Next is delivery.LeafCount in the last chunk.
	Next  uint16
	View  ViewID
	Items []delivery.Item
}

// Refusal tells that the donor has no complete view itself, that it has spent its
// allowance or that the range does not exist. First is that of the request.
type Refusal struct {
	_     struct{} `cbor:",toarray"`
	First uint16
	// Joined reports whether the donor has a complete view.
	Joined bool
}

// messageOverhead is an upper bound of the encoded size of the fixed fields in
// bytes.
const messageOverhead = 40

// Size returns an upper bound of the encoded size of the message in bytes.
func (msg Message) Size() int {
	size := messageOverhead
	if msg.Chunk != nil {
		for _, it := range msg.Chunk.Items {
			size += it.Size()
		}
	}
	return size
}

// Action is something that a Joiner or a Donor asks its caller to do.
type Action interface{ isTransferAction() }

// Send asks to send the message to the node with the control address To.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Load asks to merge the items into the table.
type Load struct {
	Items []delivery.Item
}

// Done tells that the view is complete. Donor is the donor that sent the last
// chunk, and View identifies its view at its first chunk. In the ranges that it
// sent, the view of this node holds at least what that view held. Without a donor,
// Donor is the zero value and View starts a new generation.
type Done struct {
	Donor netip.AddrPort
	View  ViewID
}

func (Send) isTransferAction() {}
func (Load) isTransferAction() {}
func (Done) isTransferAction() {}

// Limits of the bytes that a donor sends in transfers. They do not count against
// the control budget, because one transfer is larger than what that allows in
// minutes; the slow refill keeps the mean rate small.
const (
	// AllowanceBytesPerSecond is the rate at which the allowance refills.
	AllowanceBytesPerSecond = 64
	// AllowanceBurstBytes is the full allowance, enough for the largest planned
	// view.
	AllowanceBurstBytes = 6_000_000
	// ChunkBytes is the size of items after which a chunk ends.
	ChunkBytes = 16_000
)

// Donor answers joiners with the items of its table.
type Donor struct {
	allowance *delivery.Bucket
}

// NewDonor returns a donor that takes the size of its chunks from the allowance.
func NewDonor(allowance *delivery.Bucket) *Donor {
	return &Donor{allowance: allowance}
}

// Receive answers a request with a chunk from the table. It refuses if joined is
// false, the range does not exist or the allowance is spent.
func (do *Donor) Receive(from netip.AddrPort, re Request, ta *delivery.Table, view ViewID, joined bool, now time.Time) []Action {
	refusal := Send{To: from, Message: Message{Refusal: &Refusal{First: re.First, Joined: joined}}}
	if !joined || re.First >= delivery.LeafCount {
		return []Action{refusal}
	}
	items, next := ta.Range(int(re.First), ChunkBytes, now)
	msg := Message{Chunk: &Chunk{
		First: re.First,
		Next:  uint16(next),
		View:  view,
		Items: items,
	}}
	if !do.allowance.Take(now, msg.Size(), 0) {
		return []Action{refusal}
	}
	return []Action{Send{To: from, Message: msg}}
}
