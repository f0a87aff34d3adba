// Package membership joins the cores of one process into one: the roster with
// its announcer and watcher, the gossip that spreads records, and the transfer
// of the view to a joining balancer.
//
// A balancer holds the records of all hosts and balancers. An agent holds those
// of its own service's hosts and of a share of the balancers. Items of other
// kinds pass through to the caller, which may publish its own.
//
// A node is a decision core: it takes messages and the time and returns
// actions. It is not safe for concurrent use.
//
// # Usage
//
//	no := membership.NewBalancer(record, seeds, rng, now)
//	run(no.Start(now))
//	run(no.Receive(from, message, now))
//	run(no.Tick(now)) // every TickInterval
package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/coordination/roster"
	"corneltiller.dev/corneltiller/internal/coordination/transfer"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// TickInterval is the time between two ticks of a node.
const TickInterval = 100 * time.Millisecond

// Message is what two nodes exchange; exactly one field is set.
type Message struct {
	Gossip   *delivery.Message `cbor:"1,keyasint,omitempty"`
	Roster   *roster.Message   `cbor:"2,keyasint,omitempty"`
	Transfer *transfer.Message `cbor:"3,keyasint,omitempty"`
}

// Action is one thing that the caller of the core has to do.
type Action interface{ isMembershipAction() }

// Send asks to send the message over the link to the peer.
type Send struct {
	To      netip.AddrPort
	Message Message
	// FirstView says that the message was not charged to the budget.
	FirstView bool
}

// ViewChanged tells that the view changed: a caller that derives a table from the
// roster builds it anew.
type ViewChanged struct{}

// RemovalPublished tells that this node, as one of a majority of watchers, published a
// removal.
type RemovalPublished struct {
	Removal roster.Removal
}

// Deliver hands over an item of a kind that is not about membership.
type Deliver struct {
	From netip.AddrPort
	Item delivery.Item
}

// Joined tells that the view is complete and open.
type Joined struct {
	Donor netip.AddrPort
	View  transfer.ViewID
}

// Rejected tells that an item from a peer could not be interpreted.
type Rejected struct {
	From netip.AddrPort
	Err  error
}

func (Send) isMembershipAction()     {}
func (ViewChanged) isMembershipAction()  {}
func (RemovalPublished) isMembershipAction()  {}
func (Deliver) isMembershipAction()  {}
func (Joined) isMembershipAction()   {}
func (Rejected) isMembershipAction() {}

// Node is the core of one process.
type Node struct {
	rng       *rand.Rand
	self      delivery.Peer
	seeds     []netip.AddrPort
	bucket    *delivery.Bucket
	roster    *roster.Roster
	gossip    *delivery.Gossip
	announcer *roster.Announcer
	// watcher, joiner and donor are nil in an agent.
	watcher *roster.Watcher
	joiner  *transfer.Joiner
	donor   *transfer.Donor
	marker  transfer.ViewID
	// interest is what an agent subscribes to.
	interest interest
	// seenChanges and seenBalancers are the counts of the roster's changes
	// that were acted upon.
	seenChanges   uint64
	seenBalancers uint64
	seenWatchers  uint64
}

// NewBalancer returns the node of a balancer. The seeds are control addresses
// of other balancers.
func NewBalancer(ba register.Balancer, seeds []netip.AddrPort, rng *rand.Rand, now time.Time) *Node {
	no := newNode(delivery.Peer{Address: ba.Control, Domain: ba.Domain}, seeds, rng, now)
	no.announcer = roster.NewBalancerAnnouncer(ba, no.bucket)
	no.watcher = roster.NewWatcher(ba.Control, no.roster, no.bucket)
	no.joiner = transfer.NewJoiner(rng)
	no.donor = transfer.NewDonor(delivery.NewBucket(
		transfer.AllowanceBytesPerSecond, transfer.AllowanceBurstBytes, now))
	no.gossip = delivery.New(delivery.Settings{Self: no.self, Bucket: no.bucket}, rng, now)
	return no
}

// NewAgent returns the node of an agent beside a backend server. The seeds are
// control addresses of balancers.
func NewAgent(ho register.Host, seeds []netip.AddrPort, rng *rand.Rand, now time.Time) *Node {
	no := newNode(delivery.Peer{Address: ho.Control, Domain: ho.Domain}, seeds, rng, now)
	no.announcer = roster.NewHostAnnouncer(ho, no.bucket)
	no.interest = newInterest(ho)
	no.gossip = delivery.New(delivery.Settings{
		Self:      no.self,
		Bucket:    no.bucket,
		Interests: no.interest.list(),
	}, rng, now)
	return no
}

func newNode(self delivery.Peer, seeds []netip.AddrPort, rng *rand.Rand, now time.Time) *Node {
	no := &Node{
		rng:    rng,
		self:   self,
		bucket: delivery.NewBudget(now),
		roster: roster.New(),
	}
	for _, seed := range seeds {
		if seed != self.Address {
			no.seeds = append(no.seeds, seed)
		}
	}
	return no
}

// Roster returns the view; the caller only reads it.
func (no *Node) Roster() *roster.Roster {
	return no.roster
}

// Table returns the items; the caller only reads it.
func (no *Node) Table() *delivery.Table {
	return no.gossip.Table()
}

// Announcer returns the writer of the node's own record; the caller only
// reads it.
func (no *Node) Announcer() *roster.Announcer {
	return no.announcer
}

// Suspects returns what this node suspects now.
func (no *Node) Suspects(now time.Time) []roster.Suspect {
	if no.watcher == nil {
		return nil
	}
	return no.watcher.Suspects(now)
}

// Spent returns the control bytes sent since the start, without transfers.
func (no *Node) Spent() uint64 {
	return no.bucket.Spent()
}

// ViewID returns the identity of the current view.
func (no *Node) ViewID() transfer.ViewID {
	view := no.marker
	view.Counter += no.roster.Changes()
	return view
}

// joined reports whether the view is open.
func (no *Node) joined() bool {
	return no.joiner == nil || no.joiner.Done()
}

// Start announces the node; a balancer begins to take the view from a donor.
func (no *Node) Start(now time.Time) []Action {
	acts := no.refresh(nil, now)
	acts = no.runRoster(acts, no.announcer.Start(now), now)
	if no.joiner != nil {
		acts = no.runTransfer(acts, no.joiner.Start(no.seeds, now), now)
	}
	return no.settle(acts, now)
}

// SetState announces a new state of this node.
func (no *Node) SetState(st register.State, now time.Time) []Action {
	return no.settle(no.runRoster(nil, no.announcer.SetState(st), now), now)
}

// SetVersion announces the configuration that a balancer has in force.
func (no *Node) SetVersion(term, version uint64, now time.Time) []Action {
	return no.settle(no.runRoster(nil, no.announcer.SetVersion(term, version), now), now)
}

// SetLoad announces the load of a host in percent, if it changed by much.
func (no *Node) SetLoad(load uint16, now time.Time) []Action {
	return no.settle(no.runRoster(nil, no.announcer.SetLoad(load, now), now), now)
}

// Publish spreads an item of another kind. It returns an error for one that no
// message can carry.
func (no *Node) Publish(it delivery.Item, now time.Time) ([]Action, error) {
	acts, err := no.gossip.Publish(it, now)
	if err != nil {
		return nil, err
	}
	return no.runGossip(nil, acts, now), nil
}

// Restore joins the items of a snapshot and opens the view without a donor.
func (no *Node) Restore(items []delivery.Item, now time.Time) []Action {
	acts := no.runGossip(nil, no.gossip.Load(items, now), now)
	if no.joiner != nil && !no.joiner.Done() {
		acts = no.runTransfer(acts, no.joiner.Start(nil, now), now)
	}
	return no.settle(acts, now)
}

// Receive handles a message from the peer at the control address.
func (no *Node) Receive(from netip.AddrPort, msg Message, now time.Time) []Action {
	var acts []Action
	if msg.Gossip != nil {
		acts = no.runGossip(acts, no.gossip.Receive(from, *msg.Gossip, now), now)
	}
	if msg.Roster != nil {
		acts = no.runRoster(acts, no.announcer.Receive(from, *msg.Roster, now), now)
		if no.watcher != nil {
			acts = no.runRoster(acts, no.watcher.Receive(from, *msg.Roster, now), now)
		}
	}
	if msg.Transfer != nil {
		acts = no.receiveTransfer(acts, from, *msg.Transfer, now)
	}
	return no.settle(acts, now)
}

// SendFailed tells that a message could not be sent to the peer.
func (no *Node) SendFailed(peer netip.AddrPort, now time.Time) []Action {
	no.gossip.Failed(peer, now)
	if no.joiner == nil {
		return nil
	}
	return no.settle(no.runTransfer(nil, no.joiner.SendFailed(peer, now), now), now)
}

// Tick sends what is due.
func (no *Node) Tick(now time.Time) []Action {
	no.roster.Tick(now)
	no.widen(now)
	acts := no.runRoster(nil, no.announcer.Tick(now), now)
	if no.watcher != nil && no.joined() {
		acts = no.runRoster(acts, no.watcher.Tick(now), now)
	}
	if no.joiner != nil {
		acts = no.runTransfer(acts, no.joiner.Tick(now), now)
	}
	acts = no.runGossip(acts, no.gossip.Tick(now), now)
	return no.settle(acts, now)
}
