// Package fleet is the shell of the membership cores: it carries their messages
// over links and drives them with one ticker.
//
// Each peer has a bounded queue and a goroutine of its own, so a peer that does
// not answer holds up nobody. A full queue drops its oldest message: the cores
// expect losses.
//
// Lock order: Fleet.mu before sender.mu. No callback is called with a lock held.
//
// # Usage
//
//	fl := fleet.OpenBalancer(cfg, record)
//	fl.Register(mux)
//	go fl.Run(ctx)
//	hosts := fl.Rotations()
package fleet

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/coordination/membership"
	"corneltiller.dev/corneltiller/internal/coordination/roster"
	"corneltiller.dev/corneltiller/internal/coordination/transfer"
	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

// Config is what a node of the fleet needs to run.
type Config struct {
	Pool  *link.Pool
	Board *gauge.Board
	// Seeds are control addresses of balancers.
	Seeds []netip.AddrPort
	// Changed, if set, is called after the view changed.
	Changed func()
	// Joined, if set, is called once when a balancer's view is complete.
	Joined func()
	// Deliver, if set, is called for each new item that is not a record.
	Deliver func(from netip.AddrPort, it delivery.Item)
}

// parcel is the body of a KindMembership message.
type parcel struct {
	_ struct{} `cbor:",toarray"`
	// From is the sender's control address.
	From    netip.AddrPort
	Message membership.Message
}

// Fleet is the membership of one process.
type Fleet struct {
	cfg     Config
	control netip.AddrPort
	changed chan struct{}
	// closing ends the sends that are under way.
	closing context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	node    *membership.Node
	senders map[netip.AddrPort]*sender
	sending sync.WaitGroup
	closed  bool
}

// OpenBalancer returns the membership of a balancer, not yet started.
func OpenBalancer(cfg Config, ba register.Balancer) *Fleet {
	fl := newFleet(cfg, ba.Control)
	fl.node = membership.NewBalancer(ba, cfg.Seeds, newRandom(), time.Now())
	return fl
}

// OpenAgent returns the membership of an agent, not yet started.
func OpenAgent(cfg Config, ho register.Host) *Fleet {
	fl := newFleet(cfg, ho.Control)
	fl.node = membership.NewAgent(ho, cfg.Seeds, newRandom(), time.Now())
	return fl
}

func newFleet(cfg Config, control netip.AddrPort) *Fleet {
	closing, cancel := context.WithCancel(context.Background())
	return &Fleet{
		cfg:     cfg,
		control: control,
		closing: closing,
		cancel:  cancel,
		changed: make(chan struct{}, 1),
		senders: make(map[netip.AddrPort]*sender),
	}
}

// newRandom returns a source with an unpredictable seed.
func newRandom() *rand.Rand {
	var seed [32]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewChaCha8(seed))
}

// Register sets the handler of the cores' messages.
func (fl *Fleet) Register(mux *link.Mux) {
	link.On(mux, message.KindMembership, func(_ context.Context, _ link.Peer, pa parcel) (any, error) {
		fl.do(func(no *membership.Node, now time.Time) []membership.Action {
			return no.Receive(pa.From, pa.Message, now)
		})
		return nil, nil
	})
}

// Run announces the node and keeps the membership until the context ends.
func (fl *Fleet) Run(ctx context.Context) error {
	defer fl.close()
	fl.do((*membership.Node).Start)
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			fl.do((*membership.Node).Tick)
		case <-fl.changed:
			fl.notify()
		}
	}
}

// notify tells the owner that the view changed.
func (fl *Fleet) notify() {
	if fl.cfg.Changed != nil {
		fl.cfg.Changed()
	}
}

// do lets the core decide and carries out its actions.
func (fl *Fleet) do(decide func(no *membership.Node, now time.Time) []membership.Action) {
	fl.mu.Lock()
	if fl.closed {
		fl.mu.Unlock()
		return
	}
	acts := decide(fl.node, time.Now())
	for _, act := range acts {
		if se, ok := act.(membership.Send); ok {
			fl.send(se)
		}
	}
	fl.mu.Unlock()
	for _, act := range acts {
		fl.report(act)
	}
}

// report carries out the actions that are not sends.
func (fl *Fleet) report(act membership.Action) {
	switch act := act.(type) {
	case membership.ViewChanged:
		select {
		case fl.changed <- struct{}{}:
		default:
		}
	case membership.Deliver:
		if fl.cfg.Deliver != nil {
			fl.cfg.Deliver(act.From, act.Item)
		}
	case membership.Joined:
		klog.InfoS("View complete", "Donor", act.Donor, "Generation", act.View.Generation, "Counter", act.View.Counter)
		if fl.cfg.Joined != nil {
			fl.cfg.Joined()
		}
	case membership.RemovalPublished:
		fl.cfg.Board.Count("MembersRemoved", 1)
		klog.InfoS("Member removed", "Role", act.Removal.Subject.Role, "Peer", act.Removal.Subject.Address, "Incarnation", act.Removal.Incarnation, "Sequence", act.Removal.Sequence, "Watchers", act.Removal.Watchers)
	case membership.Rejected:
		fl.cfg.Board.Count("RecordsRejected", 1)
		klog.InfoS("Record rejected", "Peer", act.From, "Err", act.Err)
	}
}

// SetState announces a new state of this node.
func (fl *Fleet) SetState(st register.State) {
	fl.do(func(no *membership.Node, now time.Time) []membership.Action {
		return no.SetState(st, now)
	})
}

// SetLoad announces the load of a host in percent, if it changed by much.
func (fl *Fleet) SetLoad(load uint16) {
	fl.do(func(no *membership.Node, now time.Time) []membership.Action {
		return no.SetLoad(load, now)
	})
}

// SetVersion announces the configuration that a balancer has in force.
func (fl *Fleet) SetVersion(term, version uint64) {
	fl.do(func(no *membership.Node, now time.Time) []membership.Action {
		return no.SetVersion(term, version, now)
	})
}

// Publish spreads an item. It returns an error for one that is too large.
func (fl *Fleet) Publish(it delivery.Item) error {
	var err error
	fl.do(func(no *membership.Node, now time.Time) []membership.Action {
		var acts []membership.Action
		acts, err = no.Publish(it, now)
		return acts
	})
	return err
}

// Rotations returns the hosts that take new work, by service and address.
func (fl *Fleet) Rotations() []register.Host {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.node.Roster().Rotations(time.Now())
}

// TakeChangedHosts returns the hosts that changed since the last call, removed ones as
// Gone, for a table that is advanced by records.
func (fl *Fleet) TakeChangedHosts() []register.Host {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.node.Roster().TakeChangedHosts(time.Now())
}

// Hosts returns all hosts that belong to the fleet, draining ones included.
func (fl *Fleet) Hosts() []register.Host {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.node.Roster().Hosts(time.Now())
}

// Balancers returns the balancers that belong to the fleet.
func (fl *Fleet) Balancers() []register.Balancer {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.node.Roster().Balancers(time.Now())
}

// Members returns all that is known of hosts and balancers, by role and address.
func (fl *Fleet) Members() []roster.Member {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.node.Roster().Members()
}

// Suspects returns what this node suspects.
func (fl *Fleet) Suspects() []roster.Suspect {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.node.Suspects(time.Now())
}

// View returns the identity of the current view.
func (fl *Fleet) View() transfer.ViewID {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.node.ViewID()
}

// Record returns the record that an agent announces.
func (fl *Fleet) Record() register.Host {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.node.Announcer().Host()
}
