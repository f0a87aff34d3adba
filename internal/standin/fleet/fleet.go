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

// Options are the shape of a fleet.
type Options struct {
	Balancers int
	Hosts     int
	// HostsPerService is 7 if it is zero.
	HostsPerService int
	// Domains is the number of failure domains, 3 if it is zero.
	Domains int
	Seed    uint64
	// Cold leaves the views empty, so that the nodes have to find each other.
	Cold bool
}

// Node is one process of the fleet.
type Node struct {
	Core    *membership.Node
	Address netip.AddrPort
	Control netip.AddrPort
	Domain  string
	Service register.ServiceID
	Role    roster.Role
	// Removals are those that the node published.
	Removals []roster.Removal
	// Delivered are items of other kinds in the order of arrival.
	Delivered []delivery.Item
	// Joined is when the view opened.
	Joined time.Time
	// TransferBytes is what the node sent as a donor.
	TransferBytes int
	// FirstViewBytes is what new subscribers got from the node.
	FirstViewBytes int

	// SentBytes is all else that the node sent, framing included;
	// Most is the largest part of it within one second.
	SentBytes int
	Most      int

	crashed bool
	paused  bool
	left    bool
	missed  []*delivered
	// sends are the sends of the last second.
	sends    []sent
	seenGone map[roster.Subject]uint64
}

// sent is the size of one message and when it was sent.
type sent struct {
	at    time.Time
	bytes int
}

// account books the bytes of a message to the transfers, the first views or the
// budget.
func (nd *Node) account(act membership.Send, now time.Time) {
	msg := act.Message
	switch {
	case act.InitialSync:
		nd.FirstViewBytes += msg.Gossip.Size() + delivery.FrameOverheadBytes
	case msg.Transfer != nil:
		nd.TransferBytes += msg.Transfer.Size() + delivery.FrameOverheadBytes
	case msg.Gossip != nil:
		nd.charge(msg.Gossip.Size()+delivery.FrameOverheadBytes, now)
	case msg.Roster != nil:
		nd.charge(msg.Roster.Size()+delivery.FrameOverheadBytes, now)
	}
}

// charge books the bytes of a message.
func (nd *Node) charge(bytes int, now time.Time) {
	nd.SentBytes += bytes
	nd.sends = append(nd.sends, sent{at: now, bytes: bytes})
	recent := 0
	for len(nd.sends) > 0 && now.Sub(nd.sends[0].at) >= time.Second {
		nd.sends = nd.sends[1:]
	}
	for _, se := range nd.sends {
		recent += se.bytes
	}
	nd.Most = max(nd.Most, recent)
}

// Subject returns the name of the node's record.
func (nd *Node) Subject() roster.Subject {
	return roster.Subject{Role: nd.Role, Address: nd.Address}
}

// Fleet is a set of nodes on one network in virtual time.
type Fleet struct {
	*Network
	Now       time.Time
	Balancers []*Node
	Hosts     []*Node

	options Options
	nodes   map[netip.AddrPort]*Node
	made    int
	muted   bool
}

// start is the virtual time at which each fleet begins.
var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// seedCount is how many balancers a node knows from its settings.
const seedCount = 3

// New returns a running fleet whose members know each other, unless the
// options say that it starts cold.
func New(op Options) *Fleet {
	if op.HostsPerService == 0 {
		op.HostsPerService = 7
	}
	if op.Domains == 0 {
		op.Domains = 3
	}
	fl := &Fleet{
		Network: &Network{rng: rand.New(rand.NewPCG(op.Seed, 1))},
		Now:     start,
		options: op,
		nodes:   make(map[netip.AddrPort]*Node),
	}
	fl.muted = !op.Cold
	for range op.Balancers {
		fl.AddBalancer()
	}
	for range op.Hosts {
		fl.AddHost()
	}
	if !op.Cold {
		fl.introduce()
	}
	fl.muted = false
	return fl
}

// AddBalancer starts a balancer that finds the others by its seeds.
func (fl *Fleet) AddBalancer() *Node {
	nd := fl.node(roster.RoleBalancer, len(fl.Balancers))
	nd.Core = membership.NewBalancer(register.Balancer{
		Revision: register.Revision{Incarnation: 1},
		Address:  nd.Address,
		Control:  nd.Control,
		Domain:   nd.Domain,
	}, fl.seeds(), fl.random(), fl.Now)
	fl.Balancers = append(fl.Balancers, nd)
	fl.launch(nd)
	return nd
}

// AddHost starts the agent of a host.
func (fl *Fleet) AddHost() *Node {
	nd := fl.node(roster.RoleHost, len(fl.Hosts))
	nd.Service = register.ServiceID(1 + len(fl.Hosts)/fl.options.HostsPerService)
	nd.Core = membership.NewAgent(register.Host{
		Revision: register.Revision{Incarnation: 1},
		Address:  nd.Address,
		Control:  nd.Control,
		Domain:   nd.Domain,
		Service:  nd.Service,
		Weight:   register.FullWeight,
	}, fl.seeds(), fl.random(), fl.Now)
	fl.Hosts = append(fl.Hosts, nd)
	fl.launch(nd)
	return nd
}

// node returns a node with addresses of its own.
func (fl *Fleet) node(role roster.Role, number int) *Node {
	fl.made++
	ip := addressOf(fl.made)
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

// addressOf returns the address of the node that was made as the given one.
func addressOf(made int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(made >> 16), byte(made >> 8), byte(made)})
}

// random returns a source for one node.
func (fl *Fleet) random() *rand.Rand {
	return rand.New(rand.NewPCG(fl.options.Seed, uint64(fl.made)+2))
}

// launch starts the node and its ticks, at a phase of its own.
func (fl *Fleet) launch(nd *Node) {
	fl.run(nd, nd.Core.Start(fl.Now))
	phase := time.Duration(fl.rng.Int64N(int64(membership.TickInterval)))
	fl.schedule(&delivered{at: fl.Now.Add(phase), to: nd, tick: true})
}

// introduce gives every node the records that it would know after a long quiet
// time, with all hosts warm.
func (fl *Fleet) introduce() {
	var all []delivery.Item
	services := make(map[register.ServiceID][]delivery.Item)
	cells := make(map[uint32][]delivery.Item)
	for _, nd := range append(append([]*Node(nil), fl.Balancers...), fl.Hosts...) {
		nd.Core.SetState(register.StateReady, fl.Now)
		it, _ := nd.Core.Table().Get(roster.RecordIdentity(nd.Subject()), fl.Now)
		all = append(all, it)
		if nd.Role == roster.RoleHost {
			services[nd.Service] = append(services[nd.Service], it)
		} else {
			cells[it.Scope] = append(cells[it.Scope], it)
		}
	}
	for _, nd := range fl.Balancers {
		fl.run(nd, nd.Core.Restore(all, fl.Now))
	}
	for _, nd := range fl.Hosts {
		nd.Core.Restore(append(nearby(nd, cells), services[nd.Service]...), fl.Now)
	}
}

// nearby returns the balancers of the cells that an agent would subscribe to.
func nearby(nd *Node, cells map[uint32][]delivery.Item) []delivery.Item {
	const wanted = 24
	own := roster.HashBucketOf(nd.Address)
	var items []delivery.Item
	for count := uint32(1); count <= roster.HashBucketCount; count *= 2 {
		first := own &^ (count - 1)
		items = items[:0:0]
		for cell := first; cell < first+count; cell++ {
			items = append(items, cells[cell]...)
		}
		if len(items) >= wanted {
			break
		}
	}
	return items
}

// Run lets the time pass.
func (fl *Fleet) Run(span time.Duration) {
	deadline := fl.Now.Add(span)
	for de := fl.next(deadline); de != nil; de = fl.next(deadline) {
		fl.Now = de.at
		fl.handle(de)
	}
	fl.Now = deadline
}

// RunUntil lets the time pass until the condition holds, which is looked at
// every step, and returns the time it took and whether it held in time.
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

// handle lets one node take a message or a tick.
func (fl *Fleet) handle(de *delivered) {
	nd := de.to
	switch {
	case nd.crashed:
	case nd.paused:
		nd.missed = append(nd.missed, de)
	case de.tick:
		fl.run(nd, nd.Core.Tick(fl.Now))
		fl.schedule(&delivered{at: fl.Now.Add(membership.TickInterval), to: nd, tick: true})
	default:
		fl.run(nd, nd.Core.Receive(de.from, de.message, fl.Now))
	}
}

// run carries out the actions of a node.
func (fl *Fleet) run(nd *Node, acts []membership.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case membership.Send:
			nd.account(act, fl.Now)
			if to := fl.nodes[act.To]; to != nil && !fl.muted {
				fl.send(nd, to, act.Message, fl.Now)
			}
		case membership.RemovalPublished:
			nd.Removals = append(nd.Removals, act.Removal)
		case membership.Deliver:
			nd.Delivered = append(nd.Delivered, act.Item)
		case membership.Joined:
			nd.Joined = fl.Now
		}
	}
}

// Do carries out actions that a test or benchmark got from a node's core.
func (fl *Fleet) Do(nd *Node, acts []membership.Action) {
	fl.run(nd, acts)
}

// Crash stops a node for good.
func (fl *Fleet) Crash(nd *Node) {
	nd.crashed = true
}

// Crashed reports whether the node was stopped.
func (nd *Node) Crashed() bool {
	return nd.crashed
}

// Pause stops a node until it is resumed; messages wait for it.
func (fl *Fleet) Pause(nd *Node) {
	nd.paused = true
}

// Resume lets a paused node go on with what it missed.
func (fl *Fleet) Resume(nd *Node) {
	nd.paused = false
	for _, de := range nd.missed {
		de.at = fl.Now
		fl.schedule(de)
	}
	nd.missed = nil
}
