package delivery

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Message is what two nodes exchange; exactly one field is set.
type Message struct {
	Delta     *Delta     `cbor:"1,keyasint,omitempty"`
	Digest    *Digest    `cbor:"2,keyasint,omitempty"`
	Listing   *Listing   `cbor:"3,keyasint,omitempty"`
	Request   *Request   `cbor:"4,keyasint,omitempty"`
	Subscribe *Subscribe `cbor:"5,keyasint,omitempty"`
}

// Delta carries items that are new to the receiver as far as known.
type Delta struct {
	_     struct{} `cbor:",toarray"`
	Items []Item
}

// Digest carries the sums of one inner node of the digest tree.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// Depth is 0 for the root's own sum and 1 to 3 for sums of children.
	Depth uint8
	// Path is the position of the node whose children are summed.
	Path uint16
	Sums []uint64
}

// Listing carries the revisions of all items whose marks lie in a range, of
// the whole table or of a subscriber's interest.
type Listing struct {
	_ struct{} `cbor:",toarray"`
	// Interest limits the listing; its zero value means the whole table.
	Interest Interest
	First    uint64
	Last     uint64
	Versions []Version
}

// Version is the mark of an item's identity with its revision.
type Version struct {
	_ struct{} `cbor:",toarray"`
	register.Revision
	Mark uint64
}

// Request asks for the items with the given marks.
type Request struct {
	_     struct{} `cbor:",toarray"`
	Marks []uint64
}

// Interest is a range of scopes of one kind with the sum of what is held.
type Interest struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	First uint32
	Last  uint32
	Sum   uint64
}

// covers reports whether the group is inside the interest.
func (in Interest) covers(gr Group) bool {
	return in.Kind == gr.Kind && in.First <= gr.Scope && gr.Scope <= in.Last
}

// Subscribe asks a balancer to send what changes in the interests.
type Subscribe struct {
	_         struct{} `cbor:",toarray"`
	Interests []Interest
}

// Bounds of encoded sizes in bytes.
const (
	messageOverhead = 8
	sumSize         = 9
	versionSize     = 30
	interestSize    = 24
)

// Size bounds the encoded size of the message in bytes.
func (msg Message) Size() int {
	size := messageOverhead
	if msg.Delta != nil {
		for _, it := range msg.Delta.Items {
			size += it.Size()
		}
	}
	if msg.Digest != nil {
		size += 6 + sumSize*len(msg.Digest.Sums)
	}
	if msg.Listing != nil {
		size += interestSize + 2*sumSize + versionSize*len(msg.Listing.Versions)
	}
	if msg.Request != nil {
		size += sumSize * len(msg.Request.Marks)
	}
	if msg.Subscribe != nil {
		size += interestSize * len(msg.Subscribe.Interests)
	}
	return size
}

// Action is one thing that the caller of the core has to do.
type Action interface{ isDeliveryAction() }

// Send asks to send the message over the link to the peer.
type Send struct {
	To      netip.AddrPort
	Message Message
	// InitialSync says that the message was not charged to the budget.
	InitialSync bool
}

// Accepted tells that an item received from another node is new or newer.
type Accepted struct {
	From netip.AddrPort
	Item Item
}

// Expired tells that an item reached its deadline and was dropped.
type Expired struct {
	Item Item
}

func (Send) isDeliveryAction()   {}
func (Accepted) isDeliveryAction() {}
func (Expired) isDeliveryAction() {}
