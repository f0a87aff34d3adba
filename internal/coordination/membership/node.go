// Package membership combines the parts that keep the view of the fleet in one
// process: the roster with its announcer and watcher, the gossip that distributes
// records, and the transfer of the view to a joining balancer.
//
// A balancer holds the records of all hosts and balancers. An agent holds those of
// the hosts of its own service and of some of the balancers. Items of other kinds
// are handed to the caller, which may publish its own.
//
// A node does no I/O and reads no clock: it takes messages and the current time
// and returns actions for the caller to carry out. It is not safe for concurrent
// use.
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

// TickInterval is the time between two calls of Node.Tick.
const TickInterval = 100 * time.Millisecond

// Message is a message between two nodes. Exactly one field is set.
type Message struct {
	Gossip   *delivery.Message `cbor:"1,keyasint,omitempty"`
	Roster   *roster.Message   `cbor:"2,keyasint,omitempty"`
	Transfer *transfer.Message `cbor:"3,keyasint,omitempty"`
}

// Action is something that a Node asks of its caller or tells it.
type Action interface{ isMembershipAction() }

// Send asks to send the message to the node with the control address To.
type Send struct {
	To      netip.AddrPort
	Message Message
	// InitialSync reports that the message belongs to the first items of a new
	// subscriber, which are not taken from the control budget.
	InitialSync bool
}

// ViewChanged tells that the roster changed, so that what the caller derived from
// it is out of date.
type ViewChanged struct{}

// RemovalPublished tells that this node published the removal of another on behalf
// of a majority of its watchers.
type RemovalPublished struct {
	Removal roster.Removal
}

// Deliver hands over an item that is neither a record nor a removal.
type Deliver struct {
	From netip.AddrPort
	Item delivery.Item
}

// Joined tells that the view of a balancer is complete. Donor is the zero value if
// the view was not taken from another balancer.
type Joined struct {
	Donor netip.AddrPort
	View  transfer.ViewID
}

// Rejected tells that an item could not be decoded, or that one of this node could
// not be published; From is then the control address of this node.
type Rejected struct {
	From netip.AddrPort
	Err  error
}

func (Send) isMembershipAction()             {}
func (ViewChanged) isMembershipAction()      {}
func (RemovalPublished) isMembershipAction() {}
func (Deliver) isMembershipAction()          {}
func (Joined) isMembershipAction()           {}
func (Rejected) isMembershipAction()         {}

// Node keeps the view of the fleet in one process, a balancer or an agent.
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
	// baseView plus the number of changes of the roster is the ID of the view.
	baseView transfer.ViewID
	// interest is what an agent subscribes to.
	interest interest
	// seenChanges, seenBalancerChanges and seenWatcherChanges are the counts of
	// the roster and the announcer up to which handleChanges has acted.
	seenChanges         uint64
	seenBalancerChanges uint64
	seenWatcherChanges  uint64
}

// NewBalancer returns the node of a balancer. The seeds are control addresses
// of other balancers; its own is ignored.
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
		Interests: no.interest.subscription(),
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

// Roster returns the view of the fleet, which the caller must not change; calls of
// TakeChangedHosts are allowed to one caller.
func (no *Node) Roster() *roster.Roster {
	return no.roster
}

// Table returns the items that gossip holds, which the caller must not change.
func (no *Node) Table() *delivery.Table {
	return no.gossip.Table()
}

// Announcer returns the announcer of the record of this node, which the caller must
// not change.
func (no *Node) Announcer() *roster.Announcer {
	return no.announcer
}

// Suspects returns the subjects that this node suspects now; none in an agent.
func (no *Node) Suspects(now time.Time) []roster.Suspect {
	if no.watcher == nil {
		return nil
	}
	return no.watcher.Suspects(now)
}

// ControlBytesSent returns the bytes sent from the control budget since the start.
// Transfers of the view and the first items of new subscribers are not counted.
func (no *Node) ControlBytesSent() uint64 {
	return no.bucket.BytesTaken()
}

// ViewID returns the identity of the current state of the view.
func (no *Node) ViewID() transfer.ViewID {
	view := no.baseView
	view.Counter += no.roster.Changes()
	return view
}

// joined reports whether the view is complete; always true in an agent.
func (no *Node) joined() bool {
	return no.joiner == nil || no.joiner.Done()
}

// Start announces the node. A balancer also starts to take the view from one of the
// seeds.
func (no *Node) Start(now time.Time) []Action {
	acts := no.refreshPeers(nil, now)
	acts = no.runRoster(acts, no.announcer.Start(now), now)
	if no.joiner != nil {
		acts = no.runTransfer(acts, no.joiner.Start(no.seeds, now), now)
	}
	return no.handleChanges(acts, now)
}

// SetState announces a new state of this node. A state that is not later than the
// current one is ignored.
func (no *Node) SetState(st register.State, now time.Time) []Action {
	return no.handleChanges(no.runRoster(nil, no.announcer.SetState(st), now), now)
}

// SetVersion announces the version of the configuration that a balancer has in
// force.
func (no *Node) SetVersion(term, version uint64, now time.Time) []Action {
	return no.handleChanges(no.runRoster(nil, no.announcer.SetVersion(term, version), now), now)
}

// SetLoad announces the load of a host in percent. Small changes and announcements
// too soon after the last are dropped; see roster.Announcer.SetLoad.
func (no *Node) SetLoad(load uint16, now time.Time) []Action {
	return no.handleChanges(no.runRoster(nil, no.announcer.SetLoad(load, now), now), now)
}

// Publish publishes an item that is neither a record nor a removal. It returns an
// error for an item that does not fit into a message.
func (no *Node) Publish(it delivery.Item, now time.Time) ([]Action, error) {
	acts, err := no.gossip.Publish(it, now)
	if err != nil {
		return nil, err
	}
	return no.runGossip(nil, acts, now), nil
}

// Restore merges the items of a snapshot. A joining balancer completes its view
// with them instead of taking the view from another balancer.
func (no *Node) Restore(items []delivery.Item, now time.Time) []Action {
	acts := no.runGossip(nil, no.gossip.Merge(items, now), now)
	if no.joiner != nil && !no.joiner.Done() {
		acts = no.runTransfer(acts, no.joiner.Start(nil, now), now)
	}
	return no.handleChanges(acts, now)
}

// Receive handles a message from the node with the control address from.
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
	return no.handleChanges(acts, now)
}

// SendFailed reports that a message could not be sent to the peer.
func (no *Node) SendFailed(peer netip.AddrPort, now time.Time) []Action {
	no.gossip.SendFailed(peer, now)
	if no.joiner == nil {
		return nil
	}
	return no.handleChanges(no.runTransfer(nil, no.joiner.SendFailed(peer, now), now), now)
}

// Tick handles timeouts and sends what is due. A balancer removes no member before
// its view is complete.
func (no *Node) Tick(now time.Time) []Action {
	no.roster.Tick(now)
	no.widenInterest(now)
	acts := no.runRoster(nil, no.announcer.Tick(now), now)
	if no.watcher != nil && no.joined() {
		acts = no.runRoster(acts, no.watcher.Tick(now), now)
	}
	if no.joiner != nil {
		acts = no.runTransfer(acts, no.joiner.Tick(now), now)
	}
	acts = no.runGossip(acts, no.gossip.Tick(now), now)
	return no.handleChanges(acts, now)
}
