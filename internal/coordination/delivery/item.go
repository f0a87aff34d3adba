// Package delivery spreads keyed, versioned items over the fleet by bounded
// gossip: deltas to a few neighbours, urgent ones first and at once, and
// periodic digests that find and repair what deltas missed. Everything that a
// node sends is charged to a token bucket, so no fault can make it send more
// than its budget; the first view of a new subscriber has a bounded bucket of
// its own, as a process without a view hears of nothing.
//
// An item is opaque here. Its kind says who interprets the body: host and
// balancer records, removals, the version of the configuration, counts of
// acknowledgements. An item is replaced only by one of a higher revision, so
// the tables of any two nodes join to the same table in any order.
//
// Balancers hold all items. An agent holds those that it subscribed to at a
// few balancers: the hosts of its own service, a share of the balancers, and
// the kinds that concern everybody.
//
// The package is a decision core: every input carries its time, every output
// is a list of actions, and the random source is passed in.
//
// # Usage
//
//	gs := delivery.New(delivery.Settings{Self: peer, Bucket: bucket}, rng, now)
//	gs.SetPeers(balancers)
//	run(gs.Publish(now, item))
//	run(gs.Receive(now, from, message))
//	run(gs.Tick(now))
package delivery

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Kind says what an item is about and who interprets its body.
type Kind uint8

// The kinds of items.
const (
	// KindHost is the record of a host; the scope is its service.
	KindHost Kind = iota + 1
	// KindBalancer is the record of a balancer; the scope is its cell.
	KindBalancer
	// KindHostRemoval is the removal of a host by its watchers.
	KindHostRemoval
	// KindBalancerRemoval is the removal of a balancer by its watchers.
	KindBalancerRemoval
	// KindConfiguration announces the accepted version of the configuration.
	KindConfiguration
	// KindAcknowledgement counts the instances that have a version in force.
	KindAcknowledgement
)

// Key names an item among those of its kind. It is binary.
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

// Identity names an item among all items.
type Identity struct {
	Kind Kind
	Key  Key
}

// ScopeAll is the scope of items that every node takes.
const ScopeAll uint32 = 0

// Group is a set of items that one subscriber wants as a whole.
type Group struct {
	Kind  Kind
	Scope uint32
}

// Item is one versioned value that spreads over the fleet.
type Item struct {
	_ struct{} `cbor:",toarray"`
	register.Revision
	Kind Kind
	Key  Key
	// Scope selects the subscribers: the service of a host, the cell of a
	// balancer, ScopeAll for everybody.
	Scope uint32
	// Urgent items are sent before others and without waiting for a tick.
	Urgent bool
	// RemainingSeconds is the lifetime left when the item was sent; zero
	// means that the item does not expire.
	RemainingSeconds uint32
	Body             []byte
}

// Identity returns the item's name.
func (it Item) Identity() Identity {
	return Identity{Kind: it.Kind, Key: it.Key}
}

// Group returns the set that the item belongs to.
func (it Item) Group() Group {
	return Group{Kind: it.Kind, Scope: it.Scope}
}

// itemOverhead bounds the encoded size of an item's fixed fields in bytes.
const itemOverhead = 36

// Size bounds the encoded size of the item in bytes.
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
