package delivery

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// The pace of gossip.
const (
	// DigestInterval is the mean time between two digests of one node.
	DigestInterval = 2 * time.Second
	// RepairInterval is the time to the next digest after one that found a
	// difference.
	RepairInterval = 300 * time.Millisecond
	// SubscribeInterval is the time between two renewals of a subscription.
	SubscribeInterval = 2 * time.Second
	// ResubscribeInterval is the time until a subscriber whose peer can't be
	// reached subscribes to another.
	ResubscribeInterval = 200 * time.Millisecond
	// SubscriptionLifetime is how long a subscription lasts without renewal.
	SubscriptionLifetime = 6 * time.Second
	// SubscriptionTerm is how long a subscriber stays with one peer, so that
	// it gets most items once.
	SubscriptionTerm = 10 * time.Second
	// MaxMessageBytes bounds one message.
	MaxMessageBytes = 1200
	// MaxSubscribers bounds the subscriptions that one node serves.
	MaxSubscribers = 1024
	// MaxInterestScopes bounds the range of one interest.
	MaxInterestScopes = 64
	// MaxInterests bounds the interests of one subscription.
	MaxInterests = 16
)

// ErrItemTooLarge is returned for an item that does not fit in one message.
var ErrItemTooLarge = errors.New("item too large")

// Settings are the fixed inputs of a node.
type Settings struct {
	Self   Peer
	Bucket *Bucket
	// Interests, if any, make the node a subscriber that holds only these.
	// Their sums are ignored.
	Interests []Interest
}

// subscriber is a node that wants the changes in its interests.
type subscriber struct {
	address   netip.AddrPort
	interests []Interest
	deadline  time.Time
	// credit is what is left of FirstViewBytes.
	credit int
}

// Gossip is the core of one node.
type Gossip struct {
	settings      Settings
	rng           *rand.Rand
	table         *Table
	neighbours    neighbourhood
	outbox        outbox
	firstViews    *Bucket
	subscribers   []*subscriber
	nextDigest    time.Time
	nextSubscribe time.Time
	// publisher is the peer that this node subscribes to until the deadline.
	publisher         netip.AddrPort
	publisherDeadline time.Time
	// failed is the publisher that could not be reached last.
	failed netip.AddrPort
	turn   int
}

// New returns the core of a node that knows no item and no peer.
func New(se Settings, rng *rand.Rand, now time.Time) *Gossip {
	return &Gossip{
		settings:   se,
		rng:        rng,
		table:      NewTable(),
		neighbours: neighbourhood{self: se.Self},
		outbox:     outbox{queues: make(map[netip.AddrPort]*pending)},
		firstViews: NewBucket(InitialSyncBytesPerSecond, InitialSyncBurstBytes, now),
		nextDigest: now.Add(time.Duration(rng.Int64N(int64(DigestInterval)))),
	}
}

// Table returns the items that the node holds; the caller only reads it.
func (gs *Gossip) Table() *Table {
	return gs.table
}

// SetPeers replaces the nodes that gossip may go to: all other balancers, or
// the few balancers that a subscriber talks to. The slice is not copied and
// must not change afterwards.
func (gs *Gossip) SetPeers(peers []Peer) {
	gs.neighbours.setPeers(peers)
}

// SetInterests replaces what a subscriber wants and lets the subscription be
// renewed at the next tick.
func (gs *Gossip) SetInterests(interests []Interest) {
	gs.settings.Interests = interests
	gs.nextSubscribe = time.Time{}
}

// Publish joins an item of this node's own into the table and spreads it. It
// returns ErrItemTooLarge for an item that no message can carry.
func (gs *Gossip) Publish(it Item, now time.Time) ([]Action, error) {
	if it.Size()+messageOverhead > MaxMessageBytes {
		return nil, errors.Wrapf(ErrItemTooLarge, "publish item of kind %d", it.Kind)
	}
	if !gs.table.Put(it, now) {
		return nil, nil
	}
	gs.neighbours.renew(now, gs.rng)
	gs.spread(it, netip.AddrPort{})
	return gs.flush(now, true), nil
}

// Merge joins items that came by another way, without spreading them.
func (gs *Gossip) Merge(items []Item, now time.Time) []Action {
	var acts []Action
	for _, it := range items {
		if gs.table.Put(it, now) {
			acts = append(acts, Accepted{Item: it})
		}
	}
	return acts
}

// SetDeadline sets the deadline at which an item is dropped.
func (gs *Gossip) SetDeadline(id Identity, deadline time.Time) {
	gs.table.SetDeadline(id, deadline)
}

// Receive handles a message from another node.
func (gs *Gossip) Receive(from netip.AddrPort, msg Message, now time.Time) []Action {
	gs.neighbours.heard(from, now)
	switch {
	case msg.Delta != nil:
		return gs.receiveDelta(from, *msg.Delta, now)
	case msg.Digest != nil:
		return gs.receiveDigest(from, *msg.Digest, now)
	case msg.Listing != nil:
		return gs.receiveListing(from, *msg.Listing, now)
	case msg.Request != nil:
		return gs.receiveRequest(from, *msg.Request, now)
	case msg.Subscribe != nil:
		return gs.receiveSubscribe(from, *msg.Subscribe, now)
	}
	return nil
}

// SendFailed tells that a message could not be sent to the peer. A subscriber leaves
// a publisher that can't be reached.
func (gs *Gossip) SendFailed(peer netip.AddrPort, now time.Time) {
	if len(gs.settings.Interests) == 0 || peer != gs.publisher || !now.Before(gs.publisherDeadline) {
		return
	}
	gs.failed = peer
	gs.publisherDeadline = now
	gs.nextSubscribe = now.Add(ResubscribeInterval)
}

// Tick sends what waits as far as the budget goes, and starts a digest or a
// subscription when one is due.
func (gs *Gossip) Tick(now time.Time) []Action {
	gs.neighbours.renew(now, gs.rng)
	var acts []Action
	for _, it := range gs.table.DropExpired(now) {
		acts = append(acts, Expired{Item: it})
	}
	gs.subscribers = slices.DeleteFunc(gs.subscribers, func(su *subscriber) bool {
		return !now.Before(su.deadline)
	})
	gs.outbox.retain(gs.reachable)
	acts = append(acts, gs.flush(now, false)...)
	if len(gs.settings.Interests) > 0 {
		return append(acts, gs.subscribe(now)...)
	}
	return append(acts, gs.startDigest(now)...)
}

// spread queues an item for the neighbours and the subscribers that want it,
// but not for the node that it came from.
func (gs *Gossip) spread(it Item, from netip.AddrPort) {
	id := it.Identity()
	for _, ne := range gs.neighbours.chosen {
		if ne.Address != from {
			gs.outbox.add(ne.Address, id, it.Urgent)
		}
	}
	for _, su := range gs.subscribers {
		if su.address != from && su.wants(it.Group()) {
			gs.outbox.add(su.address, id, it.Urgent)
		}
	}
}

// reachable reports whether items for the address are still wanted: those of
// a neighbour, of a subscriber or of a peer that asked for a repair.
func (gs *Gossip) reachable(address netip.AddrPort) bool {
	if _, ok := gs.neighbours.places[address]; ok {
		return true
	}
	return gs.subscription(address) != nil
}

// subscription returns the subscriber at the address, or nil.
func (gs *Gossip) subscription(address netip.AddrPort) *subscriber {
	for _, su := range gs.subscribers {
		if su.address == address {
			return su
		}
	}
	return nil
}

// wants reports whether an interest covers the group.
func (su *subscriber) wants(gr Group) bool {
	for _, in := range su.interests {
		if in.covers(gr) {
			return true
		}
	}
	return false
}

// receiveDelta joins the items and spreads those that were new.
func (gs *Gossip) receiveDelta(from netip.AddrPort, de Delta, now time.Time) []Action {
	var acts []Action
	urgent := false
	for _, it := range de.Items {
		if it.Size()+messageOverhead > MaxMessageBytes {
			continue
		}
		if !gs.table.Put(it, now) {
			gs.cancel(from, it)
			continue
		}
		gs.outbox.cancel(from, it.Identity())
		acts = append(acts, Accepted{From: from, Item: it})
		if len(gs.settings.Interests) == 0 {
			gs.spread(it, from)
		}
		urgent = urgent || it.Urgent
	}
	if urgent {
		acts = append(acts, gs.flush(now, true)...)
	}
	return acts
}

// cancel drops a queued item when the peer has shown the same revision.
func (gs *Gossip) cancel(from netip.AddrPort, it Item) {
	en := gs.table.entries[it.Identity()]
	if en.item.Revision == it.Revision {
		gs.outbox.cancel(from, it.Identity())
	}
}

// flush sends what waits, one message a peer and turn, as far as the budget
// goes: to balancers first, which pass it on, then to subscribers. The peer to
// start with changes, so that none is starved.
func (gs *Gossip) flush(now time.Time, urgentOnly bool) []Action {
	var acts []Action
	gs.turn++
	for _, peers := range []bool{true, false} {
		count := len(gs.outbox.order)
		for ii := range count {
			to := gs.outbox.order[(ii+gs.turn)%count]
			if _, ok := gs.neighbours.places[to]; ok == peers {
				acts = gs.flushTo(acts, to, urgentOnly, now)
			}
		}
	}
	return acts
}

// flushTo sends one message of what waits for the peer.
func (gs *Gossip) flushTo(acts []Action, to netip.AddrPort, urgentOnly bool, now time.Time) []Action {
	limit := min(max(gs.settings.Bucket.Available(now, LivenessReserveBytes), gs.credit(gs.subscription(to), now)), MaxMessageBytes)
	items := gs.outbox.queues[to].collect(gs.table, limit-messageOverhead, urgentOnly, now)
	if len(items) == 0 {
		return acts
	}
	return gs.send(acts, to, Message{Delta: &Delta{Items: items}}, now)
}

// send appends the message if the credit of a new subscriber, or the budget,
// allows it.
func (gs *Gossip) send(acts []Action, to netip.AddrPort, msg Message, now time.Time) []Action {
	firstView := gs.takeCredit(to, msg.Size(), now)
	if !firstView && !gs.settings.Bucket.Take(now, msg.Size(), LivenessReserveBytes) {
		return acts
	}
	return append(acts, Send{To: to, Message: msg, InitialSync: firstView})
}

// credit returns how many message bytes the subscriber, nil for another peer, may
// get apart from the budget.
func (gs *Gossip) credit(sub *subscriber, now time.Time) int {
	if sub == nil || sub.credit == 0 {
		return 0
	}
	return min(sub.credit, gs.firstViews.Available(now, 0))
}

// takeCredit spends the bytes from the credit of a new subscriber and reports
// whether it did.
func (gs *Gossip) takeCredit(to netip.AddrPort, bytes int, now time.Time) bool {
	sub := gs.subscription(to)
	if gs.credit(sub, now) < bytes || !gs.firstViews.Take(now, bytes, 0) {
		return false
	}
	sub.credit -= bytes
	return true
}
