package delivery

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Message is one message between two nodes; exactly one field is set.
type Message struct {
	Delta     *Delta     `cbor:"1,keyasint,omitempty"`
	Digest    *Digest    `cbor:"2,keyasint,omitempty"`
	Listing   *Listing   `cbor:"3,keyasint,omitempty"`
	Request   *Request   `cbor:"4,keyasint,omitempty"`
	Subscribe *Subscribe `cbor:"5,keyasint,omitempty"`
}

// Delta carries items that the receiver is not known to hold.
type Delta struct {
	_     struct{} `cbor:",toarray"`
	Items []Item
}

// Digest carries hashes of the digest tree: the sum at the root, or the sums of
// all children of one inner node. The sum of a node is the XOR of the revision
// hashes of all items below it.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// Depth is the depth of the nodes that Sums belong to: 0 for the root, 1 to
	// 3 for the children of an inner node.
	Depth uint8
	// Path is the position of the parent among the nodes of its depth; 0 for
	// the root.
	Path uint16
	Sums []uint64
}

// Listing carries the revisions of all items that the sender holds, in the whole
// table or in a subscriber's interest, whose identity hashes lie between First
// and Last, both included.
type Listing struct {
	_ struct{} `cbor:",toarray"`
	// Interest limits the listing; its zero value means the whole table.
	Interest Interest
	First    uint64
	Last     uint64
	Versions []Version
}

// Version is the hash of an item's identity together with its revision.
type Version struct {
	_ struct{} `cbor:",toarray"`
	register.Revision
	IdentityHash uint64
}

// Request asks for the items with the given identity hashes.
type Request struct {
	_              struct{} `cbor:",toarray"`
	IdentityHashes []uint64
}

// Interest is a range of scopes of one kind, First and Last included, with the
// XOR of the revision hashes of the items that the subscriber holds in it.
type Interest struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	First uint32
	Last  uint32
	Sum   uint64
}

// covers reports whether the group lies in the interest.
func (in Interest) covers(gr Group) bool {
	return in.Kind == gr.Kind && in.First <= gr.Scope && gr.Scope <= in.Last
}

// Subscribe asks a balancer to send the items of the interests when they change,
// and to list the interests in which it holds other items than the sender. It
// replaces the sender's earlier subscription.
type Subscribe struct {
	_         struct{} `cbor:",toarray"`
	Interests []Interest
}

// Upper bounds of encoded sizes in bytes.
const (
	messageOverhead = 8
	sumSize         = 9
	versionSize     = 30
	interestSize    = 24
)

// Size returns an upper bound of the message's encoded size in bytes.
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
		size += sumSize * len(msg.Request.IdentityHashes)
	}
	if msg.Subscribe != nil {
		size += interestSize * len(msg.Subscribe.Interests)
	}
	return size
}

// Action is a request to the caller, such as Send, or a notification to it.
type Action interface{ isDeliveryAction() }

// Send asks the caller to send the message to the peer.
type Send struct {
	To      netip.AddrPort
	Message Message
	// InitialSync says that the message was charged to the bucket for initial
	// synchronization and not to the budget.
	InitialSync bool
}

// Accepted tells the caller that an item was put into the table because it was
// new or newer than the one there. From is the zero value for an item that did
// not arrive by gossip.
type Accepted struct {
	From netip.AddrPort
	Item Item
}

// Expired tells the caller that an item reached its deadline and was dropped.
type Expired struct {
	Item Item
}

func (Send) isDeliveryAction()     {}
func (Accepted) isDeliveryAction() {}
func (Expired) isDeliveryAction()  {}
