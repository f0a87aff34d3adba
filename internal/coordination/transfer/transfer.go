// Package transfer brings a joining balancer the whole view from a live donor.
//
// The joiner asks a donor for one hashed range of items after another. Changes
// that reach the joiner by gossip meanwhile are joined into its table but not
// shown: the view opens when the last range is there. The first answer of a
// donor carries the identity of its view, the marker; the finished view holds
// at least all that the donor held at the marker. A donor that dies, refuses or
// falls silent is replaced by another, which goes on from the same range.
//
// A view's identity is a random generation with a counter. The counter alone
// could be reused after all balancers were stopped; the generation can not. The
// idea is that of distributed recovery in MySQL Group Replication; because
// records here join in any order, no ordered log has to be replayed behind the
// marker.
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

// ViewID identifies a state of a balancer's view.
type ViewID struct {
	_ struct{} `cbor:",toarray"`
	// Generation is random and chosen by the first balancer of a fleet.
	Generation uint64
	// Counter grows with each change of the view.
	Counter uint64
}

// Message is what joiner and donor exchange; exactly one field is set.
type Message struct {
	Request *Request `cbor:"1,keyasint,omitempty"`
	Chunk   *Chunk   `cbor:"2,keyasint,omitempty"`
	Refusal *Refusal `cbor:"3,keyasint,omitempty"`
}

// Request asks for the items from a hashed range on.
type Request struct {
	_     struct{} `cbor:",toarray"`
	First uint16
}

// Chunk carries the items of the ranges from First up to Next.
type Chunk struct {
	_     struct{} `cbor:",toarray"`
	First uint16
	// Next is delivery.LeafCount in the last chunk.
	Next  uint16
	View  ViewID
	Items []delivery.Item
}

// Refusal tells that the donor has not joined itself or spent its allowance.
type Refusal struct {
	_     struct{} `cbor:",toarray"`
	First uint16
	// Joined reports whether the donor has a view that it could give.
	Joined bool
}

// messageOverhead bounds the encoded size of the fixed fields in bytes.
const messageOverhead = 40

// Size bounds the encoded size of the message in bytes.
func (msg Message) Size() int {
	size := messageOverhead
	if msg.Chunk != nil {
		for _, it := range msg.Chunk.Items {
			size += it.Size()
		}
	}
	return size
}

// Action is one thing that the caller of a core has to do.
type Action interface{ isTransferAction() }

// Send asks to send the message over the link to the peer.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Load asks to join the items into the table.
type Load struct {
	Items []delivery.Item
}

// Done tells that the view is complete up to the marker of the donor, or that
// there is no donor and this node is the first.
type Done struct {
	Donor  netip.AddrPort
	View ViewID
}

func (Send) isTransferAction() {}
func (Load) isTransferAction() {}
func (Done) isTransferAction() {}

// The donor's allowance for transfers. It is apart from the budget of gossip,
// because one transfer is larger than minutes of it; the refill keeps the
// mean small.
const (
	// AllowanceBytesPerSecond is the sustained rate.
	AllowanceBytesPerSecond = 64
	// AllowanceBurstBytes is enough for the largest planned view.
	AllowanceBurstBytes = 6_000_000
	// ChunkBytes is the size after which a chunk ends.
	ChunkBytes = 16_000
)

// Donor answers joiners from the table of a node that has joined.
type Donor struct {
	allowance *delivery.Bucket
}

// NewDonor returns a donor that spends from the allowance.
func NewDonor(allowance *delivery.Bucket) *Donor {
	return &Donor{allowance: allowance}
}

// Receive answers a request from the table. A donor that has not joined
// refuses.
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
