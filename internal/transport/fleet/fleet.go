// Package fleet runs the membership of one process: it sends and receives the
// messages of a membership.Node and calls its Tick from one ticker.
//
// Each peer has a bounded queue and a goroutine of its own, so a peer that doesn't
// answer delays no message to another. A full queue drops its oldest message: the
// membership protocol tolerates losses.
//
// Lock order: Fleet.mu before sender.mu. No callback is called with a lock held.
//
// # Usage
//
//	fl := fleet.OpenBalancer(cfg, record)
//	fl.Register(mux)
//	go fl.Run(ctx)
//	hosts := fl.Hosts()
package fleet

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
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

// Config holds the connections, metrics, seeds and callbacks of a Fleet.
type Config struct {
	Pool     *link.Pool
	Registry *gauge.Registry
	// Seeds are the control addresses of balancers to join by.
	Seeds []netip.AddrPort
	// OnChange, if set, is called after changes of the view. One call may stand for
	// several changes.
	OnChange func()
	// OnJoined, if set, is called once, when a balancer's view is complete.
	OnJoined func()
	// Deliver, if set, is called for each new item that is neither a record nor a
	// removal, with the control address that it came from.
	Deliver func(from netip.AddrPort, it delivery.Item)
}

// peerMessage is the body of a KindMembership message.
type peerMessage struct {
	_ struct{} `cbor:",toarray"`
	// From is the sender's control address.
	From    netip.AddrPort
	Message membership.Message
}

// Fleet is the membership of one process. It is safe for concurrent use.
type Fleet struct {
	cfg     Config
	control netip.AddrPort
	changed chan struct{}
	// sendContext is canceled by close, which ends the sends in progress.
	sendContext context.Context
	cancelSends context.CancelFunc

	mu      sync.Mutex
	node    *membership.Node
	senders map[netip.AddrPort]*sender
	sending sync.WaitGroup
	closed  bool
	// farewellsArrived counts the messages that arrived and say that this node is gone.
	farewellsArrived int
}

// OpenBalancer returns the membership of a balancer, which Run starts.
func OpenBalancer(cfg Config, ba register.Balancer) *Fleet {
	fl := newFleet(cfg, ba.Control)
	fl.node = membership.NewBalancer(ba, cfg.Seeds, newRandom(), time.Now())
	return fl
}

// OpenAgent returns the membership of an agent, which Run starts.
func OpenAgent(cfg Config, ho register.Host) *Fleet {
	fl := newFleet(cfg, ho.Control)
	fl.node = membership.NewAgent(ho, cfg.Seeds, newRandom(), time.Now())
	return fl
}

func newFleet(cfg Config, control netip.AddrPort) *Fleet {
	sendContext, cancelSends := context.WithCancel(context.Background())
	return &Fleet{
		cfg:         cfg,
		control:     control,
		sendContext: sendContext,
		cancelSends: cancelSends,
		changed:     make(chan struct{}, 1),
		senders:     make(map[netip.AddrPort]*sender),
	}
}

// newRandom returns a source with an unpredictable seed.
func newRandom() *rand.Rand {
	var seed [32]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewChaCha8(seed))
}

// Register sets the handler of other nodes' membership messages.
func (fl *Fleet) Register(mux *link.Mux) {
	link.On(mux, message.KindMembership, func(_ context.Context, _ link.Peer, pm peerMessage) (any, error) {
		handled := fl.handle(func(no *membership.Node, now time.Time) []membership.Action {
			return no.Receive(pm.From, pm.Message, now)
		})
		if !handled {
			return nil, errors.Errorf("handle membership message from %s: this node has left", pm.From)
		}
		return nil, nil
	})
}

// Run announces the node and keeps the membership current until the context ends.
// It then drops the queued messages; call Leave before.
func (fl *Fleet) Run(ctx context.Context) error {
	defer fl.close()
	fl.handle((*membership.Node).Start)
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			fl.handle((*membership.Node).Tick)
		case <-fl.changed:
			fl.notify()
		}
	}
}

// notify calls the callback for changes of the view.
func (fl *Fleet) notify() {
	if fl.cfg.OnChange != nil {
		fl.cfg.OnChange()
	}
}

// handle passes an event to the node and carries out the actions it returns. After
// close it does nothing and reports false.
func (fl *Fleet) handle(event func(no *membership.Node, now time.Time) []membership.Action) bool {
	fl.mu.Lock()
	if fl.closed {
		fl.mu.Unlock()
		return false
	}
	acts := event(fl.node, time.Now())
	for _, act := range acts {
		if se, ok := act.(membership.Send); ok {
			fl.send(se)
		}
	}
	fl.mu.Unlock()
	for _, act := range acts {
		fl.carryOut(act)
	}
	return true
}

// carryOut carries out an action that is not a send. It is called without the lock.
func (fl *Fleet) carryOut(act membership.Action) {
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
		if fl.cfg.OnJoined != nil {
			fl.cfg.OnJoined()
		}
	case membership.RemovalPublished:
		fl.cfg.Registry.Count("MembersRemoved", 1)
		klog.InfoS("Member removed", "Role", act.Removal.Subject.Role, "Peer", act.Removal.Subject.Address, "Incarnation", act.Removal.Incarnation, "Sequence", act.Removal.Sequence, "Watchers", act.Removal.Watchers)
	case membership.Rejected:
		fl.cfg.Registry.Count("RecordsRejected", 1)
		klog.InfoS("Record rejected", "Peer", act.From, "Err", act.Err)
	}
}

// SetState announces a new state of this node.
func (fl *Fleet) SetState(st register.State) {
	fl.handle(func(no *membership.Node, now time.Time) []membership.Action {
		return no.SetState(st, now)
	})
}

// SetLoad announces the load of a host in percent. Small changes and announcements too
// soon after the last are dropped.
func (fl *Fleet) SetLoad(load uint16) {
	fl.handle(func(no *membership.Node, now time.Time) []membership.Action {
		return no.SetLoad(load, now)
	})
}

// SetVersion announces the configuration that a balancer has in force.
func (fl *Fleet) SetVersion(term, version uint64) {
	fl.handle(func(no *membership.Node, now time.Time) []membership.Action {
		return no.SetVersion(term, version, now)
	})
}

// Publish spreads an item by gossip. It returns an error for one that is too large.
func (fl *Fleet) Publish(it delivery.Item) error {
	var err error
	fl.handle(func(no *membership.Node, now time.Time) []membership.Action {
		var acts []membership.Action
		acts, err = no.Publish(it, now)
		return acts
	})
	return err
}

// HostsInRotation returns the hosts that take new work, by service and address.
func (fl *Fleet) HostsInRotation() []register.Host {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.node.Roster().Rotations(time.Now())
}

// TakeChangedHosts returns the hosts that changed since the last call, as
// route.Table.Advance needs them: removed ones have the state Gone, unless that would
// leave a service without hosts that take new work.
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

// Members returns all known hosts and balancers, removed ones included, by role and
// address.
func (fl *Fleet) Members() []roster.Member {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.node.Roster().Members()
}

// Suspects returns the members that this node suspects of having failed; an agent
// suspects none.
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
