package delivery

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// The intervals and limits of gossip.
const (
	// DigestInterval is the mean time between the digests that one node starts.
	DigestInterval = 2 * time.Second
	// RepairInterval is the most time until a node starts the next digest after
	// one that found a difference.
	RepairInterval = 300 * time.Millisecond
	// SubscribeInterval is the time after which a subscription is renewed.
	SubscribeInterval = 2 * time.Second
	// ResubscribeInterval is how long a subscriber whose balancer cannot be
	// reached waits before it subscribes to another.
	ResubscribeInterval = 200 * time.Millisecond
	// SubscriptionLifetime is how long a balancer keeps a subscription that is
	// not renewed.
	SubscriptionLifetime = 6 * time.Second
	// SubscriptionTerm is how long a subscriber stays with one balancer before it
	// chooses again. With one balancer at a time it receives most items once.
	SubscriptionTerm = 10 * time.Second
	// MaxMessageBytes bounds the encoded size of one message.
	MaxMessageBytes = 1200
	// MaxSubscribers bounds the subscribers of one node; further ones are
	// ignored.
	MaxSubscribers = 1024
	// MaxInterestScopes bounds the number of scopes of one interest.
	MaxInterestScopes = 64
	// MaxInterests bounds the number of interests of one subscription.
	MaxInterests = 16
)

// ErrItemTooLarge is returned by Publish for an item that does not fit in one
// message.
var ErrItemTooLarge = errors.New("item too large")

// Settings configure a node.
type Settings struct {
	Self Peer
	// Bucket limits what the node sends; it can be shared with other senders.
	Bucket *Bucket
	// Interests, if not empty, make the node a subscriber to only these. Their
	// sums are ignored.
	Interests []Interest
}

// subscriber is a node that subscribed to this node.
type subscriber struct {
	address   netip.AddrPort
	interests []Interest
	deadline  time.Time
	// credit is the part of InitialSyncBytesPerSubscriber that is left, in
	// bytes.
	credit int
}

// Gossip is the state machine of one node. It is not safe for concurrent use.
type Gossip struct {
	settings      Settings
	rng           *rand.Rand
	table         *Table
	neighbours    neighbourhood
	outbox        outbox
	initialSync   *Bucket
	subscribers   []*subscriber
	nextDigest    time.Time
	nextSubscribe time.Time
	// publisher is the peer that this node subscribes to until
	// publisherDeadline.
	publisher         netip.AddrPort
	publisherDeadline time.Time
	// failedPublisher is the last publisher that could not be reached.
	failedPublisher netip.AddrPort
	// round counts the calls of flush.
	round int
}

// New returns a node without items and peers.
func New(se Settings, rng *rand.Rand, now time.Time) *Gossip {
	return &Gossip{
		settings:    se,
		rng:         rng,
		table:       NewTable(),
		neighbours:  neighbourhood{self: se.Self},
		outbox:      outbox{queues: make(map[netip.AddrPort]*peerQueue)},
		initialSync: NewBucket(InitialSyncBytesPerSecond, InitialSyncBurstBytes, now),
		nextDigest:  now.Add(time.Duration(rng.Int64N(int64(DigestInterval)))),
	}
}

// Table returns the items that the node holds; the caller must not change it.
func (gs *Gossip) Table() *Table {
	return gs.table
}

// SetPeers replaces the candidates for neighbours: all balancers for a balancer,
// or the few balancers that a subscriber may subscribe to. The slice is not
// copied and must not change afterwards.
func (gs *Gossip) SetPeers(peers []Peer) {
	gs.neighbours.setPeers(peers)
}

// SetInterests replaces the interests of a subscriber and makes the next tick
// renew the subscription.
func (gs *Gossip) SetInterests(interests []Interest) {
	gs.settings.Interests = interests
	gs.nextSubscribe = time.Time{}
}

// Publish puts an item of this node's own into the table and queues it for the
// neighbours, and for the subscribers whose interests cover it; an urgent item
// is sent without waiting for a tick.
// An item that the table holds at the same or a newer revision is ignored. It
// returns ErrItemTooLarge for an item that does not fit in one message.
func (gs *Gossip) Publish(it Item, now time.Time) ([]Action, error) {
	if it.Size()+messageOverhead > MaxMessageBytes {
		return nil, errors.Wrapf(ErrItemTooLarge, "publish item of kind %d", it.Kind)
	}
	if !gs.table.Put(it, now) {
		return nil, nil
	}
	gs.neighbours.renew(now, gs.rng)
	gs.enqueue(it, netip.AddrPort{})
	return gs.flush(now, true), nil
}

// Merge puts items that did not arrive by gossip into the table without sending
// them to others. It returns an Accepted for each that was new or newer.
func (gs *Gossip) Merge(items []Item, now time.Time) []Action {
	var acts []Action
	for _, it := range items {
		if gs.table.Put(it, now) {
			acts = append(acts, Accepted{Item: it})
		}
	}
	return acts
}

// SetDeadline sets when the item of the identity is dropped.
func (gs *Gossip) SetDeadline(id Identity, deadline time.Time) {
	gs.table.SetDeadline(id, deadline)
}

// Receive handles a message from another node.
func (gs *Gossip) Receive(from netip.AddrPort, msg Message, now time.Time) []Action {
	gs.neighbours.addReverse(from, now)
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

// SendFailed tells the node that a message could not be sent to the peer. A
// subscriber whose publisher it is subscribes to another after
// ResubscribeInterval.
func (gs *Gossip) SendFailed(peer netip.AddrPort, now time.Time) {
	if len(gs.settings.Interests) == 0 || peer != gs.publisher || !now.Before(gs.publisherDeadline) {
		return
	}
	gs.failedPublisher = peer
	gs.publisherDeadline = now
	gs.nextSubscribe = now.Add(ResubscribeInterval)
}

// Tick drops expired items and subscriptions, sends queued items within the
// budget, and starts a digest, or renews the subscription of a subscriber, when
// one is due.
func (gs *Gossip) Tick(now time.Time) []Action {
	gs.neighbours.renew(now, gs.rng)
	var acts []Action
	for _, it := range gs.table.DropExpired(now) {
		acts = append(acts, Expired{Item: it})
	}
	gs.subscribers = slices.DeleteFunc(gs.subscribers, func(su *subscriber) bool {
		return !now.Before(su.deadline)
	})
	gs.outbox.retain(gs.isRecipient)
	acts = append(acts, gs.flush(now, false)...)
	if len(gs.settings.Interests) > 0 {
		return append(acts, gs.subscribe(now)...)
	}
	return append(acts, gs.startDigest(now)...)
}

// enqueue queues an item for all neighbours and for the subscribers whose
// interests cover it, except the node that it came from.
func (gs *Gossip) enqueue(it Item, from netip.AddrPort) {
	id := it.Identity()
	for _, ne := range gs.neighbours.current {
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

// isRecipient reports whether items may be queued for the address: whether it is
// a subscriber or a candidate for a neighbour. Repair queues items also for
// candidates that are no neighbours.
func (gs *Gossip) isRecipient(address netip.AddrPort) bool {
	if _, ok := gs.neighbours.domains[address]; ok {
		return true
	}
	return gs.findSubscriber(address) != nil
}

// findSubscriber returns the subscriber at the address, or nil.
func (gs *Gossip) findSubscriber(address netip.AddrPort) *subscriber {
	for _, su := range gs.subscribers {
		if su.address == address {
			return su
		}
	}
	return nil
}

// wants reports whether one of the subscriber's interests covers the group.
func (su *subscriber) wants(gr Group) bool {
	for _, in := range su.interests {
		if in.covers(gr) {
			return true
		}
	}
	return false
}

// receiveDelta puts the items into the table. A node that is no subscriber queues
// those that were new or newer for its neighbours and subscribers. Items too
// large to be sent on are ignored.
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
			gs.enqueue(it, from)
		}
		urgent = urgent || it.Urgent
	}
	if urgent {
		acts = append(acts, gs.flush(now, true)...)
	}
	return acts
}

// cancel removes an item from the peer's queue if the peer sent the revision that
// this node holds.
func (gs *Gossip) cancel(from netip.AddrPort, it Item) {
	en := gs.table.entries[it.Identity()]
	if en.item.Revision == it.Revision {
		gs.outbox.cancel(from, it.Identity())
	}
}

// flush sends at most one message of queued items to each peer, within the
// budget, and only urgent items if urgentOnly is set: first to balancers, which send the items on to others, then to
// subscribers. Each call starts with another peer, so that none is starved.
func (gs *Gossip) flush(now time.Time, urgentOnly bool) []Action {
	var acts []Action
	gs.round++
	for _, peers := range []bool{true, false} {
		count := len(gs.outbox.order)
		for ii := range count {
			to := gs.outbox.order[(ii+gs.round)%count]
			if _, ok := gs.neighbours.domains[to]; ok == peers {
				acts = gs.flushTo(acts, to, urgentOnly, now)
			}
		}
	}
	return acts
}

// flushTo sends at most one message of the items queued for the peer.
func (gs *Gossip) flushTo(acts []Action, to netip.AddrPort, urgentOnly bool, now time.Time) []Action {
	limit := min(max(gs.settings.Bucket.Available(now, LivenessReserveBytes), gs.credit(gs.findSubscriber(to), now)), MaxMessageBytes)
	items := gs.outbox.queues[to].collect(gs.table, limit-messageOverhead, urgentOnly, now)
	if len(items) == 0 {
		return acts
	}
	return gs.send(acts, to, Message{Delta: &Delta{Items: items}}, now)
}

// send appends the message if the receiver's credit for initial synchronization
// or the budget covers it, and drops it otherwise.
func (gs *Gossip) send(acts []Action, to netip.AddrPort, msg Message, now time.Time) []Action {
	initialSync := gs.takeCredit(to, msg.Size(), now)
	if !initialSync && !gs.settings.Bucket.Take(now, msg.Size(), LivenessReserveBytes) {
		return acts
	}
	return append(acts, Send{To: to, Message: msg, InitialSync: initialSync})
}

// credit returns how many message bytes may be sent to the subscriber outside the
// budget. Zero or less means none; a nil subscriber has no credit.
func (gs *Gossip) credit(sub *subscriber, now time.Time) int {
	if sub == nil || sub.credit == 0 {
		return 0
	}
	return min(sub.credit, gs.initialSync.Available(now, 0))
}

// takeCredit charges a message to the receiver's credit for initial
// synchronization and reports whether it did.
func (gs *Gossip) takeCredit(to netip.AddrPort, bytes int, now time.Time) bool {
	sub := gs.findSubscriber(to)
	if gs.credit(sub, now) < bytes || !gs.initialSync.Take(now, bytes, 0) {
		return false
	}
	sub.credit -= bytes
	return true
}
