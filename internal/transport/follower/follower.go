// Package follower keeps the accepted configuration in force in one process: it
// is the shell of the rollout core. A balancer's follower reads the store when
// its role asks for it and answers the questions of others; an agent's follower
// asks balancers only.
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

// The pace of a follower.
const (
	// PollDirect is the time between two questions to peers without gossip.
	PollDirect = time.Second
	// PollGossip is the same with gossip, which brings changes sooner.
	PollGossip = 10 * time.Second
	// PollAgent is the same for an agent, which gossip may reach late.
	PollAgent = 2 * time.Second
	// MaxDirect is the number of members that get items without gossip.
	MaxDirect = 32
	// peerTimeout bounds a message to a peer and its answer.
	peerTimeout = 5 * time.Second
	// tickInterval is the longest time between two ticks.
	tickInterval = time.Second
)

// Config is what a follower needs.
type Config struct {
	// Self is this process; its address is the one for links.
	Self rollout.Member
	// Store is the platform's store, nil for a process that never calls it.
	Store *store.Client
	Pool  *link.Pool
	// Anchors are the owners whose signature of the first configuration is
	// trusted; without any, that of the store's own owners is.
	Anchors []catalog.Owner
	// Apply puts a configuration in force.
	Apply func(*catalog.Configuration)
	// Publish hands an item to gossip. Without it the follower sends items to
	// the members itself, at most MaxDirect of them.
	Publish func(rollout.Item)
	// OnNotice is called for each notice, if set.
	OnNotice func(rollout.Notice)
}

// Follower keeps one process's configuration in force. Its lock guards the
// cores; no call is made while it is held.
type Follower struct {
	cfg Config

	mu      sync.Mutex
	replica *rollout.Replica
	client  *archive.Client
	ctx     context.Context
	// early holds what the replica asked for before the start.
	early   []rollout.Action
	stopped bool
	members []rollout.Member
	group   sync.WaitGroup
	wake    chan struct{}
	wakeAt  time.Time
	// applying keeps the order in which states come in force.
	applying sync.Mutex
	applied  catalog.Version
}

// New returns a follower that has nothing in force.
func New(cfg Config) *Follower {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Follower{
		cfg:     cfg,
		replica: rollout.New(cfg.Self, cfg.Anchors, random),
		client:  archive.New(archive.InstancePolicy, random),
		wake:    make(chan struct{}, 1),
	}
}

// Reported is the body of a report between processes.
type Reported struct {
	From   netip.AddrPort
	Report rollout.Report
}

// Register takes the messages of other followers.
func (fo *Follower) Register(mux *link.Mux) {
	link.On(mux, message.KindCatchUp, func(_ context.Context, _ link.Peer, qu rollout.CatchUpRequest) (any, error) {
		fo.mu.Lock()
		defer fo.mu.Unlock()
		return fo.replica.HandleCatchUp(qu), nil
	})
	link.On(mux, message.KindItem, func(_ context.Context, _ link.Peer, it rollout.Item) (any, error) {
		fo.Heard(it)
		return nil, nil
	})
	link.On(mux, message.KindReport, func(_ context.Context, _ link.Peer, re Reported) (any, error) {
		fo.do(func(now time.Time) []rollout.Action { return fo.replica.HandleReport(now, re.From, re.Report) })
		return nil, nil
	})
}

// SetMembers takes the live balancers. A balancer's own entry is among them.
func (fo *Follower) SetMembers(members []rollout.Member) {
	fo.mu.Lock()
	same := fo.members != nil && slices.Equal(fo.members, members)
	fo.mu.Unlock()
	if same {
		return
	}
	vi := rollout.NewView(members)
	fo.do(func(now time.Time) []rollout.Action {
		fo.members = members
		return fo.replica.SetView(now, vi)
	})
}

// Heard takes an item that gossip brought.
func (fo *Follower) Heard(it rollout.Item) {
	fo.do(func(now time.Time) []rollout.Action { return fo.replica.HandleItem(now, it) })
}

// InForce returns what the fleet has in force, as far as this process knows.
func (fo *Follower) InForce() rollout.Report {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.replica.InForce(time.Now())
}

// State returns what this process has in force, nil for nothing.
func (fo *Follower) State() *change.State {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.replica.State()
}

// Run follows the configuration until the context ends.
func (fo *Follower) Run(ctx context.Context) error {
	fo.start(ctx)
	defer fo.stop()
	poll := PollDirect
	switch {
	case fo.cfg.Publish != nil && fo.cfg.Store == nil:
		poll = PollAgent
	case fo.cfg.Publish != nil:
		poll = PollGossip
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
			fo.do(func(time.Time) []rollout.Action { return fo.replica.Poll() })
		case <-fo.wake:
			ticks.Reset(fo.untilWake())
		case <-ticks.C:
			fo.do(fo.tick)
			ticks.Reset(fo.untilWake())
		}
	}
}

// start does what was asked for before.
func (fo *Follower) start(ctx context.Context) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.ctx = ctx
	fo.act(fo.early)
	fo.early = nil
}

// stop lets nothing new begin and waits for what is open.
func (fo *Follower) stop() {
	fo.mu.Lock()
	fo.stopped = true
	fo.mu.Unlock()
	fo.group.Wait()
}

// tick ticks both cores.
func (fo *Follower) tick(now time.Time) []rollout.Action {
	fo.wakeAt = time.Time{}
	fo.call(fo.client.Tick(now))
	return fo.replica.Tick(now)
}

// untilWake returns the time until the next tick.
func (fo *Follower) untilWake() time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.wakeAt.IsZero() {
		return tickInterval
	}
	return min(max(time.Until(fo.wakeAt), 0), tickInterval)
}

// do runs one event through the replica and does what it asks for.
func (fo *Follower) do(ev func(now time.Time) []rollout.Action) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	switch {
	case fo.stopped:
	case fo.ctx == nil:
		fo.early = append(fo.early, ev(time.Now())...)
	default:
		fo.act(ev(time.Now()))
	}
}

// act does what the replica asks for. The caller holds the lock.
func (fo *Follower) act(actions []rollout.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case rollout.ActionCall:
			fo.call(fo.client.Submit(time.Now(), ac.Call, ac.Deadline))
		case rollout.ActionPublish:
			members := fo.members
			fo.group.Go(func() { fo.publish(members, ac.Item) })
		case rollout.ActionApply:
			fo.group.Go(fo.apply)
		case rollout.ActionCatchUp:
			fo.group.Go(func() { fo.ask(ac.Peer, ac.Request) })
		case rollout.ActionReport:
			fo.group.Go(func() { fo.report(ac.Peer, ac.Report) })
		case rollout.ActionNotice:
			fo.notice(ac.Notice)
		case rollout.ActionWake:
			fo.wakeBy(ac.Deadline)
		}
	}
}

// apply puts the newest state in force. States that come close together may be
// skipped, but never one after a newer one.
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

func (fo *Follower) notice(no rollout.Notice) {
	klog.InfoS("Configuration not applied", "Kind", no.Kind, "Store", no.Store, "InForce", no.InForce, "Reason", no.Reason)
	if fo.cfg.OnNotice != nil {
		fo.cfg.OnNotice(no)
	}
}

// wakeBy lets the next tick come no later. The caller holds the lock.
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

// call does what the store client asks for. The caller holds the lock.
func (fo *Follower) call(actions []archive.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case archive.ActionSend:
			fo.group.Go(func() { fo.perform(ac) })
		case archive.ActionComplete:
			fo.act(fo.replica.HandleAnswer(time.Now(), ac.Answer))
		case archive.ActionWake:
			fo.wakeBy(ac.Deadline)
		}
	}
}

// perform makes one attempt of a call.
func (fo *Follower) perform(ac archive.Action) {
	an := archive.Answer{ID: ac.Call.ID, Attempt: ac.Attempt, Result: archive.ResultRefused}
	if fo.cfg.Store != nil {
		an = fo.cfg.Store.Perform(fo.ctx, ac)
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if !fo.stopped {
		fo.call(fo.client.HandleAnswer(time.Now(), an))
	}
}

// ask puts a question to a peer.
func (fo *Follower) ask(peer netip.AddrPort, qu rollout.CatchUpRequest) {
	ctx, cancel := context.WithTimeout(fo.ctx, peerTimeout)
	defer cancel()
	var do rollout.CatchUpResponse
	if err := fo.cfg.Pool.Call(ctx, peer, message.KindCatchUp, qu, &do); err != nil {
		klog.V(1).InfoS("Question not answered", "Peer", peer, "Err", err)
		return
	}
	fo.do(func(now time.Time) []rollout.Action { return fo.replica.HandleCatchUpResponse(now, peer, do) })
}

// publish hands an item to gossip, or sends it to the members directly.
func (fo *Follower) publish(members []rollout.Member, it rollout.Item) {
	if fo.cfg.Publish != nil {
		fo.cfg.Publish(it)
		return
	}
	ctx, cancel := context.WithTimeout(fo.ctx, peerTimeout)
	defer cancel()
	for _, me := range members[:min(len(members), MaxDirect)] {
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
