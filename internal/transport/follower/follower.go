// Package follower keeps a process's configuration current: it runs a
// rollout.Replica and applies each accepted configuration. A follower answers the
// catch-up requests of others. A balancer's follower reads the store if its role in
// the rollout requires it; an agent's follower requests changes from peers only.
//
// # Usage
//
//	fo := follower.New(follower.Config{Self: member, Store: client, Pool: pool, Apply: apply})
//	fo.Register(mux)
//	fo.SetMembers(members)
//	err := fo.Run(ctx)
package follower

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/transport/link"
	"corneltiller.dev/corneltiller/internal/transport/store"
)

// The intervals and limits of a follower.
const (
	// PollIntervalDirect is the time between two polls of a peer by a process
	// without gossip.
	PollIntervalDirect = time.Second
	// PollIntervalGossip is the same for a balancer with gossip, which usually
	// delivers changes before a poll.
	PollIntervalGossip = 10 * time.Second
	// PollIntervalAgent is the same for an agent with gossip, which may reach an
	// agent late.
	PollIntervalAgent = 2 * time.Second
	// MaxDirectMembers is the greatest number of members to which a process without
	// gossip sends an item.
	MaxDirectMembers = 32
	// peerTimeout bounds a message to a peer and its response. The messages that
	// send one item to several members share it.
	peerTimeout = 5 * time.Second
	// tickInterval is the longest time between two ticks.
	tickInterval = time.Second
)

// Config holds the identity, connections and callbacks of a follower.
type Config struct {
	// Self is this process, with its control address.
	Self rollout.Member
	// Store is the platform's store, nil for a process that never calls it.
	Store *store.Client
	Pool  *link.Pool
	// Anchors are the owners whose signature of the first configuration is trusted.
	// If there are none, the signature of an owner that the configuration itself
	// names is trusted.
	Anchors []catalog.Owner
	// Apply puts a configuration in force. Calls don't overlap, and each has a newer
	// version than the one before.
	Apply func(*catalog.Configuration)
	// Publish spreads an item by gossip. If it is nil, the follower sends items to
	// the members itself, at most MaxDirectMembers of them.
	Publish func(rollout.Item)
	// OnNotice is called for each notice, if set.
	OnNotice func(rollout.Notice)
}

// Follower keeps one process's configuration current. It is safe for concurrent
// use. Its lock guards the replica and the store client; no message is sent and no
// callback but OnNotice is called while it is held.
type Follower struct {
	cfg Config

	mu      sync.Mutex
	replica *rollout.Replica
	client  *archive.Client
	ctx     context.Context
	// beforeStart holds the actions that the replica returned before Run.
	beforeStart []rollout.Action
	stopped     bool
	members     []rollout.Member
	group       sync.WaitGroup
	wake        chan struct{}
	wakeAt      time.Time
	// applying serializes calls of Apply and guards applied, the version last
	// applied.
	applying sync.Mutex
	applied  catalog.Version
}

// New returns a follower without a configuration in force.
func New(cfg Config) *Follower {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Follower{
		cfg:     cfg,
		replica: rollout.New(cfg.Self, cfg.Anchors, random),
		client:  archive.New(archive.InstancePolicy, random),
		wake:    make(chan struct{}, 1),
	}
}

// Reported is the body of a message with a report of the versions in force. From
// is the sender's control address.
type Reported struct {
	From   netip.AddrPort
	Report rollout.Report
}

// Register sets the handlers of other followers' messages.
func (fo *Follower) Register(mux *link.Mux) {
	link.On(mux, message.KindCatchUp, func(_ context.Context, _ link.Peer, rq rollout.CatchUpRequest) (any, error) {
		fo.mu.Lock()
		defer fo.mu.Unlock()
		return fo.replica.HandleCatchUp(rq), nil
	})
	link.On(mux, message.KindItem, func(_ context.Context, _ link.Peer, it rollout.Item) (any, error) {
		fo.HandleItem(it)
		return nil, nil
	})
	link.On(mux, message.KindReport, func(_ context.Context, _ link.Peer, re Reported) (any, error) {
		fo.handle(func(now time.Time) []rollout.Action { return fo.replica.HandleReport(now, re.From, re.Report) })
		return nil, nil
	})
}

// SetMembers sets the members that the follower exchanges messages with: the live
// balancers, a balancer's own entry included. An agent that knows no balancer sets
// other peers that may have the configuration.
func (fo *Follower) SetMembers(members []rollout.Member) {
	fo.mu.Lock()
	same := fo.members != nil && slices.Equal(fo.members, members)
	fo.mu.Unlock()
	if same {
		return
	}
	vi := rollout.NewView(members)
	fo.handle(func(now time.Time) []rollout.Action {
		fo.members = members
		return fo.replica.SetView(now, vi)
	})
}

// HandleItem handles an item from gossip or directly from a peer.
func (fo *Follower) HandleItem(it rollout.Item) {
	fo.handle(func(now time.Time) []rollout.Action { return fo.replica.HandleItem(now, it) })
}

// InForce returns how many instances have which version in force, as far as this
// process knows.
func (fo *Follower) InForce() rollout.Report {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.replica.InForce(time.Now())
}

// State returns the state that this process has in force, nil for none.
func (fo *Follower) State() *change.State {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.replica.State()
}

// Run keeps the configuration current until the context ends, then waits for the
// calls in progress.
func (fo *Follower) Run(ctx context.Context) error {
	fo.start(ctx)
	defer fo.stop()
	poll := PollIntervalDirect
	switch {
	case fo.cfg.Publish != nil && fo.cfg.Store == nil:
		poll = PollIntervalAgent
	case fo.cfg.Publish != nil:
		poll = PollIntervalGossip
	}
	polls := time.NewTicker(poll)
	defer polls.Stop()
	ticks := time.NewTimer(0)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-polls.C:
			fo.handle(func(time.Time) []rollout.Action { return fo.replica.Poll() })
		case <-fo.wake:
			ticks.Reset(fo.untilWake())
		case <-ticks.C:
			fo.handle(fo.tick)
			ticks.Reset(fo.untilWake())
		}
	}
}

// start carries out the actions that the replica returned before Run.
func (fo *Follower) start(ctx context.Context) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.ctx = ctx
	fo.carryOut(fo.beforeStart)
	fo.beforeStart = nil
}

// stop ignores new events and waits for the calls in progress.
func (fo *Follower) stop() {
	fo.mu.Lock()
	fo.stopped = true
	fo.mu.Unlock()
	fo.group.Wait()
}

// tick passes the time to the store client and the replica. The caller holds the
// lock.
func (fo *Follower) tick(now time.Time) []rollout.Action {
	fo.wakeAt = time.Time{}
	fo.carryOutCalls(fo.client.Tick(now))
	return fo.replica.Tick(now)
}

// untilWake returns the time until the next tick, at most tickInterval.
func (fo *Follower) untilWake() time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.wakeAt.IsZero() {
		return tickInterval
	}
	return min(max(time.Until(fo.wakeAt), 0), tickInterval)
}

// handle passes an event to the replica and carries out the actions it returns.
// Actions that are returned before Run are carried out by start. After stop, handle
// does nothing.
func (fo *Follower) handle(ev func(now time.Time) []rollout.Action) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	switch {
	case fo.stopped:
	case fo.ctx == nil:
		fo.beforeStart = append(fo.beforeStart, ev(time.Now())...)
	default:
		fo.carryOut(ev(time.Now()))
	}
}

// carryOut carries out the replica's actions. The caller holds the lock.
func (fo *Follower) carryOut(actions []rollout.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case rollout.ActionCall:
			fo.carryOutCalls(fo.client.Submit(time.Now(), ac.Call, ac.Deadline))
		case rollout.ActionPublish:
			members := fo.members
			fo.group.Go(func() { fo.publish(members, ac.Item) })
		case rollout.ActionApply:
			fo.group.Go(fo.apply)
		case rollout.ActionCatchUp:
			fo.group.Go(func() { fo.catchUp(ac.Peer, ac.Request) })
		case rollout.ActionReport:
			fo.group.Go(func() { fo.report(ac.Peer, ac.Report) })
		case rollout.ActionNotice:
			fo.notice(ac.Notice)
		case rollout.ActionWake:
			fo.wakeBy(ac.Deadline)
		}
	}
}

// apply applies the newest state unless it is applied already. Versions that follow
// each other quickly may be skipped; an older one is never applied after a newer.
func (fo *Follower) apply() {
	fo.applying.Lock()
	defer fo.applying.Unlock()
	decoded := fo.State().Configuration
	if !fo.applied.Less(decoded.Version) {
		return
	}
	fo.applied = decoded.Version
	fo.cfg.Apply(decoded)
	klog.InfoS("Configuration in force", "Version", decoded.Version, "Services", len(decoded.Services), "Holder", decoded.Say.Owner)
}

// notice logs a notice and passes it to the callback. The caller holds the lock.
func (fo *Follower) notice(no rollout.Notice) {
	klog.InfoS("Configuration not applied", "Kind", no.Kind, "Store", no.Store, "InForce", no.InForce, "Reason", no.Reason)
	if fo.cfg.OnNotice != nil {
		fo.cfg.OnNotice(no)
	}
}

// wakeBy schedules the next tick at the given time at the latest. The caller holds
// the lock.
func (fo *Follower) wakeBy(at time.Time) {
	if !fo.wakeAt.IsZero() && !at.Before(fo.wakeAt) {
		return
	}
	fo.wakeAt = at
	select {
	case fo.wake <- struct{}{}:
	default:
	}
}

// carryOutCalls carries out the store client's actions. The caller holds the lock.
func (fo *Follower) carryOutCalls(actions []archive.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case archive.ActionSend:
			fo.group.Go(func() { fo.attemptCall(ac) })
		case archive.ActionComplete:
			fo.carryOut(fo.replica.HandleAnswer(time.Now(), ac.Answer))
		case archive.ActionWake:
			fo.wakeBy(ac.Deadline)
		}
	}
}

// attemptCall makes one attempt of a call of the store. Without a store the attempt
// is refused.
func (fo *Follower) attemptCall(ac archive.Action) {
	an := archive.Answer{ID: ac.Call.ID, Attempt: ac.Attempt, Result: archive.ResultRefused}
	if fo.cfg.Store != nil {
		an = fo.cfg.Store.Perform(fo.ctx, ac)
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if !fo.stopped {
		fo.carryOutCalls(fo.client.HandleAnswer(time.Now(), an))
	}
}

// catchUp requests missed changes from a peer.
func (fo *Follower) catchUp(peer netip.AddrPort, rq rollout.CatchUpRequest) {
	ctx, cancel := context.WithTimeout(fo.ctx, peerTimeout)
	defer cancel()
	var rs rollout.CatchUpResponse
	if err := fo.cfg.Pool.Call(ctx, peer, message.KindCatchUp, rq, &rs); err != nil {
		klog.V(1).InfoS("Catch-up request failed", "Peer", peer, "Err", err)
		return
	}
	fo.handle(func(now time.Time) []rollout.Action { return fo.replica.HandleCatchUpResponse(now, peer, rs) })
}

// publish spreads an item by gossip, or sends it to the members directly if there
// is no gossip.
func (fo *Follower) publish(members []rollout.Member, it rollout.Item) {
	if fo.cfg.Publish != nil {
		fo.cfg.Publish(it)
		return
	}
	ctx, cancel := context.WithTimeout(fo.ctx, peerTimeout)
	defer cancel()
	for _, me := range members[:min(len(members), MaxDirectMembers)] {
		if me.Address == fo.cfg.Self.Address {
			continue
		}
		if err := fo.cfg.Pool.Send(ctx, me.Address, message.KindItem, it); err != nil {
			klog.V(1).InfoS("Item not sent", "Peer", me.Address, "Err", err)
		}
	}
}

// report sends a report to a peer.
func (fo *Follower) report(peer netip.AddrPort, rp rollout.Report) {
	ctx, cancel := context.WithTimeout(fo.ctx, peerTimeout)
	defer cancel()
	body := Reported{From: fo.cfg.Self.Address, Report: rp}
	if err := fo.cfg.Pool.Send(ctx, peer, message.KindReport, body); err != nil {
		klog.V(1).InfoS("Report not sent", "Peer", peer, "Err", err)
	}
}
