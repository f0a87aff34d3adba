package roster

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Message is what announcers and watchers exchange; one field is set.
type Message struct {
	Heartbeat    *Heartbeat    `cbor:"1,keyasint,omitempty"`
	Confirmation *Confirmation `cbor:"2,keyasint,omitempty"`
	Suspicion    *Suspicion    `cbor:"3,keyasint,omitempty"`
	Proof        *Refutation        `cbor:"4,keyasint,omitempty"`
	Recruit      *Recruit      `cbor:"5,keyasint,omitempty"`
	Removed      *Removed      `cbor:"6,keyasint,omitempty"`
}

// Heartbeat is a sign of life from a subject to one of its watchers.
type Heartbeat struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	register.Revision
	// Scope is that of the subject's record.
	Scope uint32
	// Beat grows with each sign of life of one incarnation.
	Beat uint64
	// Watchers are all watchers of the subject by control address. They are
	// left out once the receiver has confirmed them.
	Watchers []netip.AddrPort
}

// Confirmation tells a subject whether its watcher knows the list of watchers.
type Confirmation struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	Known   bool
}

// Suspicion tells the subject and its other watchers that the sender has not
// heard of the subject since the beat.
type Suspicion struct {
	_           struct{} `cbor:",toarray"`
	Subject     Subject
	Incarnation uint64
	Beat        uint64
}

// Refutation answers a suspicion with a later beat.
type Refutation struct {
	_           struct{} `cbor:",toarray"`
	Subject     Subject
	Incarnation uint64
	Beat        uint64
	// Age is how long ago the sender heard the beat.
	Age time.Duration
}

// Recruit asks a balancer to watch a subject in the place of a watcher that
// was itself removed.
type Recruit struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	register.Revision
	Scope    uint32
	Beat     uint64
	Control  netip.AddrPort
	Watchers []netip.AddrPort
}

// Removed tells a subject that it was removed at the revision.
type Removed struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	register.Revision
}

// Bounds of encoded sizes in bytes.
const (
	revisionSize = 18
	scopeSize    = 5
	beatSize     = 9
	ageSize      = 9
	messageSize  = 5
)

// Size bounds the encoded size of the message in bytes.
func (msg Message) Size() int {
	switch {
	case msg.Heartbeat != nil:
		he := msg.Heartbeat
		return messageSize + he.Subject.size() + revisionSize + scopeSize + beatSize + listSize(he.Watchers)
	case msg.Confirmation != nil:
		return messageSize + msg.Confirmation.Subject.size() + 1
	case msg.Suspicion != nil:
		return messageSize + msg.Suspicion.Subject.size() + revisionSize
	case msg.Proof != nil:
		return messageSize + msg.Proof.Subject.size() + revisionSize + ageSize
	case msg.Recruit != nil:
		re := msg.Recruit
		return messageSize + re.Subject.size() + revisionSize + scopeSize + beatSize +
			listSize([]netip.AddrPort{re.Control}) + listSize(re.Watchers)
	case msg.Removed != nil:
		return messageSize + msg.Removed.Subject.size() + revisionSize
	}
	return messageSize
}

// size bounds the encoded size of the subject in bytes.
func (su Subject) size() int {
	return 2 + listSize([]netip.AddrPort{su.Address})
}

// listSize bounds the encoded size of a list of addresses.
func listSize(list []netip.AddrPort) int {
	size := 1
	for _, address := range list {
		size += len(addressBytes(address)) + 1
	}
	return size
}

// Action is one thing that the caller of a core has to do.
type Action interface{ isRosterAction() }

// Send asks to send the message over the link to the peer.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Publish asks to spread the item.
type Publish struct {
	Item delivery.Item
}

func (Send) isRosterAction()    {}
func (Publish) isRosterAction() {}
