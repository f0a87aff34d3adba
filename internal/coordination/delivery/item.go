// Package delivery is a gossip protocol with anti-entropy that replicates keyed,
// versioned items across the fleet. A node sends new items as deltas to a few
// neighbours, urgent items first and without waiting for a tick, and compares
// periodic digests with a neighbour to find and repair what deltas missed.
// Everything that a node sends is charged to a token bucket, so no fault can make
// it send more than its budget. The initial synchronization of new subscribers is
// charged to a separate bucket, which is bounded too, because a subscriber without
// items knows of nothing that happens in the fleet.
//
// The package does not read the body of an item. The kind says what the body
// is: a host or balancer record, a removal, the version of the configuration or
// a count of acknowledgements. An item is replaced only by one of a higher
// revision, so the tables of any two nodes merge to the same table in any order.
//
// Balancers hold all items. An agent holds only those that it subscribes to, at
// one balancer at a time: the hosts of its own service, a share of the
// balancers, and the kinds that every node takes.
//
// The package does no I/O and reads no clock: every input carries the time,
// every output is a list of actions for the caller, and the random source is
// passed in.
//
// # Usage
//
//	gs := delivery.New(delivery.Settings{Self: peer, Bucket: bucket}, rng, now)
//	gs.SetPeers(balancers)
//	actions, err := gs.Publish(item, now)
//	run(actions)
//	run(gs.Receive(from, message, now))
//	run(gs.Tick(now))
package delivery

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Kind is the kind of an item; it determines how the body is interpreted.
type Kind uint8

// The kinds of items.
const (
	// KindHost is a host record; the scope is the number of its service.
	KindHost Kind = iota + 1
	// KindBalancer is a balancer record; the scope is the hash bucket of the
	// balancer's address.
	KindBalancer
	// KindHostRemoval is the decision of the nodes that monitor a host to remove
	// it.
	KindHostRemoval
	// KindBalancerRemoval is the decision of the nodes that monitor a balancer to
	// remove it.
	KindBalancerRemoval
	// KindConfiguration announces the accepted version of the configuration.
	KindConfiguration
	// KindAcknowledgement counts the instances that have a version in force.
	KindAcknowledgement
)

// Key is unique among the items of a kind. It is binary.
type Key string

// MarshalBinary returns the key's bytes.
func (ke Key) MarshalBinary() ([]byte, error) {
	return []byte(ke), nil
}

// UnmarshalBinary sets the key from its bytes.
func (ke *Key) UnmarshalBinary(data []byte) error {
	*ke = Key(data)
	return nil
}

// Identity is unique among all items.
type Identity struct {
	Kind Kind
	Key  Key
}

// ScopeAll is the scope of items that every node takes, subscribers included.
const ScopeAll uint32 = 0

// Group is the set of items of one kind and scope. A subscriber takes all items
// of a group or none.
type Group struct {
	Kind  Kind
	Scope uint32
}

// Item is one versioned value that gossip replicates.
type Item struct {
	_ struct{} `cbor:",toarray"`
	register.Revision
	Kind Kind
	Key  Key
	// Scope selects the subscribers: the number of a host's service, the hash
	// bucket of a balancer, or ScopeAll for every node.
	Scope uint32
	// Urgent items are sent before others and without waiting for a tick.
	Urgent bool
	// RemainingSeconds is the remaining lifetime when the item was sent; zero
	// means that the item does not expire.
	RemainingSeconds uint32
	Body             []byte
}

// Identity returns the item's kind and key.
func (it Item) Identity() Identity {
	return Identity{Kind: it.Kind, Key: it.Key}
}

// Group returns the group that the item belongs to.
func (it Item) Group() Group {
	return Group{Kind: it.Kind, Scope: it.Scope}
}

// itemOverhead is an upper bound of the encoded size in bytes of an item's
// fields other than Key and Body.
const itemOverhead = 36

// Size returns an upper bound of the item's encoded size in bytes.
func (it Item) Size() int {
	return itemOverhead + len(it.Key) + len(it.Body)
}

// deadline returns when the item expires; the zero time means never.
func (it Item) deadline(now time.Time) time.Time {
	if it.RemainingSeconds == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(it.RemainingSeconds) * time.Second)
}
