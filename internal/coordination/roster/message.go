package roster

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Message is a message between announcers and watchers. Exactly one field is set.
type Message struct {
	Heartbeat    *Heartbeat    `cbor:"1,keyasint,omitempty"`
	Confirmation *Confirmation `cbor:"2,keyasint,omitempty"`
	Suspicion    *Suspicion    `cbor:"3,keyasint,omitempty"`
	Refutation   *Refutation   `cbor:"4,keyasint,omitempty"`
	WatchRequest *WatchRequest `cbor:"5,keyasint,omitempty"`
	Removed      *Removed      `cbor:"6,keyasint,omitempty"`
}

// Heartbeat tells a watcher that the subject is alive.
type Heartbeat struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	register.Revision
	// Scope is the scope of the record of the subject.
	Scope uint32
	// Beat is the number of the heartbeat. It grows within one incarnation of
	// the subject.
	Beat uint64
	// Watchers are the control addresses of all watchers of the subject. The
	// list is empty while the receiver counts as knowing it.
	Watchers []netip.AddrPort
}

// Confirmation answers a heartbeat.
type Confirmation struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	// ListKnown reports whether the sender knows the list of watchers. If it does
	// not, the subject sends the list with its next heartbeat.
	ListKnown bool
}

// Suspicion tells the subject and its other watchers that the sender suspects the
// subject. Beat is the number of the last heartbeat that the sender knows of, at
// least SuspectAfter ago.
type Suspicion struct {
	_           struct{} `cbor:",toarray"`
	Subject     Subject
	Incarnation uint64
	Beat        uint64
}

// Refutation answers a suspicion with the number of a later heartbeat that the
// sender heard.
type Refutation struct {
	_           struct{} `cbor:",toarray"`
	Subject     Subject
	Incarnation uint64
	Beat        uint64
	// Age is the time since the sender heard the heartbeat.
	Age time.Duration
}

// WatchRequest asks a balancer to watch a subject, in the place of a watcher that
// left the fleet or because the subject may have died before its own heartbeat
// reached that balancer. Revision, Scope and Beat are those of the last known
// heartbeat, Control is the control address of the subject, and Watchers are all
// balancers that are asked.
type WatchRequest struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	register.Revision
	Scope    uint32
	Beat     uint64
	Control  netip.AddrPort
	Watchers []netip.AddrPort
}

// Removed tells a subject that its record was removed at the revision, so that it
// can announce a higher one.
type Removed struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	register.Revision
}

// Upper bounds of encoded sizes in bytes.
const (
	revisionSize    = 18
	scopeSize       = 5
	beatSize        = 9
	ageSize         = 9
	messageOverhead = 5
)

// Size returns an upper bound of the encoded size of the message in bytes.
func (msg Message) Size() int {
	switch {
	case msg.Heartbeat != nil:
		he := msg.Heartbeat
		return messageOverhead + he.Subject.size() + revisionSize + scopeSize + beatSize + listSize(he.Watchers)
	case msg.Confirmation != nil:
		return messageOverhead + msg.Confirmation.Subject.size() + 1
	case msg.Suspicion != nil:
		return messageOverhead + msg.Suspicion.Subject.size() + revisionSize
	case msg.Refutation != nil:
		return messageOverhead + msg.Refutation.Subject.size() + revisionSize + ageSize
	case msg.WatchRequest != nil:
		re := msg.WatchRequest
		return messageOverhead + re.Subject.size() + revisionSize + scopeSize + beatSize +
			listSize([]netip.AddrPort{re.Control}) + listSize(re.Watchers)
	case msg.Removed != nil:
		return messageOverhead + msg.Removed.Subject.size() + revisionSize
	}
	return messageOverhead
}

// size returns an upper bound of the encoded size of the subject in bytes.
func (su Subject) size() int {
	return 2 + listSize([]netip.AddrPort{su.Address})
}

// listSize returns an upper bound of the encoded size of a list of addresses in
// bytes.
func listSize(list []netip.AddrPort) int {
	size := 1
	for _, address := range list {
		size += len(addressBytes(address)) + 1
	}
	return size
}

// Action is something that an Announcer or a Watcher asks its caller to do.
type Action interface{ isRosterAction() }

// Send asks to send the message to the node with the control address To.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Publish asks to publish the item by gossip.
type Publish struct {
	Item delivery.Item
}

func (Send) isRosterAction()    {}
func (Publish) isRosterAction() {}
