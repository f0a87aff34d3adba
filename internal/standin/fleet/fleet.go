package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/coordination/membership"
	"corneltiller.dev/corneltiller/internal/coordination/roster"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Options describe the fleet to simulate.
type Options struct {
	Balancers int
	Hosts     int
	// HostsPerService is the number of consecutive hosts that serve one service, 7 if it is zero.
	HostsPerService int
	// Domains is the number of failure domains, 3 if it is zero.
	Domains int
	Seed    uint64
	// Cold leaves the views empty, so that the nodes have to discover each other
	// through their seeds.
	Cold bool
}

// Node is one simulated instance: a balancer or the agent of a host.
type Node struct {
	Core    *membership.Node
	Address netip.AddrPort
	Control netip.AddrPort
	Domain  string
	Service register.ServiceID
	Role    roster.Role
	// Removals are the removals of other members that the node published.
	Removals []roster.Removal
	// Delivered are the items that are no membership records, in the order of
	// arrival.
	Delivered []delivery.Item
	// JoinedAt is the virtual time at which the node had a complete view, zero
	// before.
	JoinedAt time.Time
	// TransferBytes is the number of bytes of view transfers that the node sent as
	// a donor.
	TransferBytes int
	// InitialSyncBytes is the number of bytes of initial items that the node sent to
	// new subscribers.
	InitialSyncBytes int

	// SentBytes is the number of bytes of all other messages that the node sent,
	// framing included; PeakSecondBytes is the most of them within one second.
	SentBytes       int
	PeakSecondBytes int

	crashed bool
	paused  bool
	left    bool
	// deferred are the events that a paused node handles when it resumes.
	deferred []*event
	// recentSends are the messages sent within the last second.
	recentSends []sentMessage
	// seenGone is the incarnation of each member that the balancer has seen as Gone.
	seenGone map[roster.Subject]uint64
}

// sentMessage holds the size of one message and the time at which it was sent.
type sentMessage struct {
	at    time.Time
	bytes int
}

// recordSend adds the bytes of a message to TransferBytes, InitialSyncBytes or
// SentBytes.
func (nd *Node) recordSend(act membership.Send, now time.Time) {
	msg := act.Message
	switch {
	case act.InitialSync:
		nd.InitialSyncBytes += msg.Gossip.Size() + delivery.FrameOverheadBytes
	case msg.Transfer != nil:
		nd.TransferBytes += msg.Transfer.Size() + delivery.FrameOverheadBytes
	case msg.Gossip != nil:
		nd.addSentBytes(msg.Gossip.Size()+delivery.FrameOverheadBytes, now)
	case msg.Roster != nil:
		nd.addSentBytes(msg.Roster.Size()+delivery.FrameOverheadBytes, now)
	}
}

// addSentBytes adds to SentBytes and updates PeakSecondBytes.
func (nd *Node) addSentBytes(bytes int, now time.Time) {
	nd.SentBytes += bytes
	nd.recentSends = append(nd.recentSends, sentMessage{at: now, bytes: bytes})
	recent := 0
	for len(nd.recentSends) > 0 && now.Sub(nd.recentSends[0].at) >= time.Second {
		nd.recentSends = nd.recentSends[1:]
	}
	for _, se := range nd.recentSends {
		recent += se.bytes
	}
	nd.PeakSecondBytes = max(nd.PeakSecondBytes, recent)
}

// Subject returns the identity under which the roster holds the node.
func (nd *Node) Subject() roster.Subject {
	return roster.Subject{Role: nd.Role, Address: nd.Address}
}

// Fleet is a set of nodes on one simulated network in virtual time.
type Fleet struct {
	*Network
	Now       time.Time
	Balancers []*Node
	Hosts     []*Node

	options Options
	nodes   map[netip.AddrPort]*Node
	// nodeCount is the number of nodes created so far.
	nodeCount int
	// dropSends makes the network drop every message, as during the construction of
	// a fleet with preloaded views.
	dropSends bool
}

// startTime is the virtual time at which every fleet starts.
var startTime = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// seedCount is the number of balancers that a node knows from its settings.
const seedCount = 3

// New returns a running fleet whose members know each other, unless op.Cold is
// set.
func New(op Options) *Fleet {
	if op.HostsPerService == 0 {
		op.HostsPerService = 7
	}
	if op.Domains == 0 {
		op.Domains = 3
	}
	fl := &Fleet{
		Network: &Network{rng: rand.New(rand.NewPCG(op.Seed, 1))},
		Now:     startTime,
		options: op,
		nodes:   make(map[netip.AddrPort]*Node),
	}
	fl.dropSends = !op.Cold
	for range op.Balancers {
		fl.AddBalancer()
	}
	for range op.Hosts {
		fl.AddHost()
	}
	if !op.Cold {
		fl.preloadViews()
	}
	fl.dropSends = false
	return fl
}

// AddBalancer starts a balancer that discovers the others through its seeds.
func (fl *Fleet) AddBalancer() *Node {
	nd := fl.newNode(roster.RoleBalancer, len(fl.Balancers))
	nd.Core = membership.NewBalancer(register.Balancer{
		Revision: register.Revision{Incarnation: 1},
		Address:  nd.Address,
		Control:  nd.Control,
		Domain:   nd.Domain,
	}, fl.seeds(), fl.newRand(), fl.Now)
	fl.Balancers = append(fl.Balancers, nd)
	fl.launch(nd)
	return nd
}

// AddHost starts the agent of a host, which discovers the balancers through its
// seeds.
func (fl *Fleet) AddHost() *Node {
	nd := fl.newNode(roster.RoleHost, len(fl.Hosts))
	nd.Service = register.ServiceID(1 + len(fl.Hosts)/fl.options.HostsPerService)
	nd.Core = membership.NewAgent(register.Host{
		Revision: register.Revision{Incarnation: 1},
		Address:  nd.Address,
		Control:  nd.Control,
		Domain:   nd.Domain,
		Service:  nd.Service,
		Weight:   register.FullWeight,
	}, fl.seeds(), fl.newRand(), fl.Now)
	fl.Hosts = append(fl.Hosts, nd)
	fl.launch(nd)
	return nd
}

// newNode registers a node with new addresses. The number selects its failure
// domain.
func (fl *Fleet) newNode(role roster.Role, number int) *Node {
	fl.nodeCount++
	ip := addressOf(fl.nodeCount)
	nd := &Node{
		Address: netip.AddrPortFrom(ip, datagramPort),
		Control: netip.AddrPortFrom(ip, controlPort),
		Domain:  fmt.Sprintf("region-%d/domain-%d", number%fl.options.Domains/3, number%fl.options.Domains),
		Role:    role,

		seenGone: make(map[roster.Subject]uint64),
	}
	fl.nodes[nd.Control] = nd
	return nd
}

// seeds returns the control addresses of the first balancers, as the settings
// of every node name them.
func (fl *Fleet) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for number := range min(fl.options.Balancers, seedCount) {
		seeds = append(seeds, netip.AddrPortFrom(addressOf(number+1), controlPort))
	}
	return seeds
}

// The ports of each node.
const (
	datagramPort = 4433
	controlPort  = 7443
)

// addressOf returns the IP address of the node with the number, counted from 1 in
// the order of creation.
func addressOf(number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)})
}

// newRand returns the random source of the node that was created last.
func (fl *Fleet) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(fl.options.Seed, uint64(fl.nodeCount)+2))
}

// launch starts the node, with its first tick after a random part of the tick
// interval so that nodes do not tick in step.
func (fl *Fleet) launch(nd *Node) {
	fl.performActions(nd, nd.Core.Start(fl.Now))
	phase := time.Duration(fl.rng.Int64N(int64(membership.TickInterval)))
	fl.schedule(&event{at: fl.Now.Add(phase), to: nd, tick: true})
}

// preloadViews gives every node the records that it would have after a long time
// without changes, with every instance in the state Ready.
func (fl *Fleet) preloadViews() {
	var all []delivery.Item
	services := make(map[register.ServiceID][]delivery.Item)
	buckets := make(map[uint32][]delivery.Item)
	for _, nd := range append(append([]*Node(nil), fl.Balancers...), fl.Hosts...) {
		nd.Core.SetState(register.StateReady, fl.Now)
		it, _ := nd.Core.Table().Get(roster.RecordIdentity(nd.Subject()), fl.Now)
		all = append(all, it)
		if nd.Role == roster.RoleHost {
			services[nd.Service] = append(services[nd.Service], it)
		} else {
			buckets[it.Scope] = append(buckets[it.Scope], it)
		}
	}
	for _, nd := range fl.Balancers {
		fl.performActions(nd, nd.Core.Restore(all, fl.Now))
	}
	for _, nd := range fl.Hosts {
		nd.Core.Restore(append(subscribedBalancers(nd, buckets), services[nd.Service]...), fl.Now)
	}
}

// subscribedBalancers returns the balancers of the hash buckets that an agent
// would subscribe to.
func subscribedBalancers(nd *Node, buckets map[uint32][]delivery.Item) []delivery.Item {
	const wanted = 24
	own := roster.HashBucketOf(nd.Address)
	var items []delivery.Item
	for count := uint32(1); count <= roster.HashBucketCount; count *= 2 {
		first := own &^ (count - 1)
		items = items[:0:0]
		for bucket := first; bucket < first+count; bucket++ {
			items = append(items, buckets[bucket]...)
		}
		if len(items) >= wanted {
			break
		}
	}
	return items
}

// Run advances the virtual time by the span and handles the events within it.
func (fl *Fleet) Run(span time.Duration) {
	deadline := fl.Now.Add(span)
	for ev := fl.next(deadline); ev != nil; ev = fl.next(deadline) {
		fl.Now = ev.at
		fl.handle(ev)
	}
	fl.Now = deadline
}

// RunUntil advances the virtual time until the condition holds, at most until the
// limit is reached; the condition is evaluated once per step. It returns the
// elapsed virtual time and whether the condition held.
func (fl *Fleet) RunUntil(limit, step time.Duration, condition func() bool) (time.Duration, bool) {
	began := fl.Now
	for fl.Now.Sub(began) < limit {
		if condition() {
			return fl.Now.Sub(began), true
		}
		fl.Run(step)
	}
	return fl.Now.Sub(began), condition()
}

// handle passes a message or a tick to its node. Events of a paused node are
// deferred until it resumes; those of a crashed node are discarded.
func (fl *Fleet) handle(ev *event) {
	nd := ev.to
	switch {
	case nd.crashed:
	case nd.paused:
		nd.deferred = append(nd.deferred, ev)
	case ev.tick:
		fl.performActions(nd, nd.Core.Tick(fl.Now))
		fl.schedule(&event{at: fl.Now.Add(membership.TickInterval), to: nd, tick: true})
	default:
		fl.performActions(nd, nd.Core.Receive(ev.from, ev.message, fl.Now))
	}
}

// performActions carries out the actions that a node's core returned.
func (fl *Fleet) performActions(nd *Node, acts []membership.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case membership.Send:
			nd.recordSend(act, fl.Now)
			if to := fl.nodes[act.To]; to != nil && !fl.dropSends {
				fl.send(nd, to, act.Message, fl.Now)
			}
		case membership.RemovalPublished:
			nd.Removals = append(nd.Removals, act.Removal)
		case membership.Deliver:
			nd.Delivered = append(nd.Delivered, act.Item)
		case membership.Joined:
			nd.JoinedAt = fl.Now
		}
	}
}

// Perform carries out actions that a test or benchmark obtained by calling a
// node's core itself.
func (fl *Fleet) Perform(nd *Node, acts []membership.Action) {
	fl.performActions(nd, acts)
}

// Crash stops a node permanently and without notice to the others.
func (fl *Fleet) Crash(nd *Node) {
	nd.crashed = true
}

// Crashed reports whether the node was stopped by Crash.
func (nd *Node) Crashed() bool {
	return nd.crashed
}

// Pause suspends a node until Resume; messages to it are kept, not lost.
func (fl *Fleet) Pause(nd *Node) {
	nd.paused = true
}

// Resume continues a paused node, which first receives the deferred messages and
// ticks.
func (fl *Fleet) Resume(nd *Node) {
	nd.paused = false
	for _, ev := range nd.deferred {
		ev.at = fl.Now
		fl.schedule(ev)
	}
	nd.deferred = nil
}
