// Package spread simulates how configuration changes reach a whole fleet: it runs
// the rollout cores of many instances in virtual time over the stand-in store and a
// lossy network, for measurements and for tests under faults. Gossip is simplified:
// each new item is pushed to a few random peers, and periodic digest exchanges
// repair losses.
//
// # Usage
//
//	fl := spread.New(spread.Options{Instances: 4096, Domains: 9, LossPercent: 10, Seed: 7})
//	fl.Change(spread.AddService(1))
//	elapsed, ok := fl.RunUntilInForce(time.Minute)
package spread

import (
	"container/heap"
	"crypto/ed25519"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/standin/platform"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// Start is the virtual time at which every fleet starts.
var Start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// Fan-out, interval and message sizes of the simplified gossip.
const (
	gossipFanOut   = 4
	digestInterval = 2 * time.Second
	// digestBytes is the size of a digest, itemBytes the overhead of an item or a
	// catch-up message beyond its content, reportBytes the size of a report.
	digestBytes = 400
	itemBytes   = 40
	reportBytes = 80
)

// Options describe the fleet to simulate.
type Options struct {
	Instances int
	Domains   int
	// LossPercent is the share of messages between instances that are lost.
	// StoreLossPercent is the share of store calls, and separately that of the
	// store's answers, that are lost.
	LossPercent      int
	StoreLossPercent int
	// StaleWatchPercent is the share of watch answers that carry the previous version
	// and a randomly chosen root, most often an older one.
	StaleWatchPercent int
	// WatchPerInstance makes every instance watch the store itself, as a baseline.
	WatchPerInstance bool
	Seed             uint64
}

// Fleet is a simulated fleet in virtual time.
type Fleet struct {
	Now     time.Time
	Options Options
	Nodes   []*Node
	Objects *platform.Objects
	// Calls counts the instances' calls that reached the store.
	Calls platform.Calls
	// StoreDown makes the store leave every call unanswered.
	StoreDown bool
	// BytesSent is the number of bytes that the instances sent to one another, lost
	// messages included.
	BytesSent uint64
	// Notices holds the notices of all replicas, in order.
	Notices []rollout.Notice

	random *rand.Rand
	queue  eventQueue
	// scheduled is the number of events scheduled so far.
	scheduled int
	// watches are the watch calls since the last write; those that ended as unchanged
	// stay until the next write.
	watches []watch
	// roots are all roots written so far, oldest first; a restored one counts as
	// written.
	roots          [][]byte
	owner          ed25519.PrivateKey
	view           *rollout.View
	nodesByAddress map[netip.AddrPort]*Node
	// appliedCount is the number of states that instances have put in force.
	appliedCount uint64
}

// Node is one simulated instance.
type Node struct {
	Member  rollout.Member
	Replica *rollout.Replica
	// Applied are the versions put in force since the last start, in order.
	Applied []catalog.Version
	// Stopped makes the instance neither send nor receive messages and ignore the
	// store's answers.
	Stopped bool
	// StoreLost makes the store leave the instance's calls unanswered, StoreRejects makes
	// it refuse them.
	StoreLost, StoreRejects bool

	client *archive.Client
	items  map[string]rollout.Item
	wakeAt time.Time
	// starts is the number of starts; events scheduled before the last are discarded.
	starts int
}

// watch is a watch call that waits for a write, at most until the time in until.
type watch struct {
	version uint64
	until   time.Time
	answer  func(archive.Answer)
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

// Len returns the number of events.
func (eq eventQueue) Len() int { return len(eq) }

// Less orders events by time, then by the order in which they were scheduled.
func (eq eventQueue) Less(i, j int) bool {
	if !eq[i].at.Equal(eq[j].at) {
		return eq[i].at.Before(eq[j].at)
	}
	return eq[i].order < eq[j].order
}

// Swap exchanges two events.
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }

// Push adds an event; called by container/heap.
func (eq *eventQueue) Push(x any) {
	ev, _ := x.(event)
	*eq = append(*eq, ev)
}

// Pop removes the last event; called by container/heap.
func (eq *eventQueue) Pop() any {
	old := *eq
	last := old[len(old)-1]
	*eq = old[:len(old)-1]
	return last
}

// New returns a fleet whose store holds the first version. The instances start
// within the first second.
func New(op Options) *Fleet {
	fl := &Fleet{
		Now:            Start,
		Options:        op,
		Objects:        platform.NewObjects(),
		random:         rand.New(rand.NewPCG(op.Seed, 2)),
		owner:          ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
		nodesByAddress: make(map[netip.AddrPort]*Node),
	}
	fl.commit(change.Request{Initial: true, Edits: []change.Edit{fl.initialEdit()}})
	members := make([]rollout.Member, 0, op.Instances)
	for i := range op.Instances {
		var host [4]byte
		binary.BigEndian.PutUint32(host[:], 10<<24+uint32(i))
		me := rollout.Member{
			Address: netip.AddrPortFrom(netip.AddrFrom4(host), 7000),
			Domain:  fmt.Sprintf("domain-%d", i%op.Domains),
		}
		no := &Node{Member: me}
		members = append(members, me)
		fl.Nodes = append(fl.Nodes, no)
		fl.nodesByAddress[me.Address] = no
	}
	fl.view = rollout.NewView(members)
	for _, no := range fl.Nodes {
		fl.Restart(no)
	}
	return fl
}

// Restart starts the instance with empty memory, after a random delay of less than
// one second. Events scheduled for it before the restart are discarded.
func (fl *Fleet) Restart(no *Node) {
	no.starts++
	no.Stopped = false
	no.Applied = nil
	no.items = make(map[string]rollout.Item)
	no.wakeAt = time.Time{}
	no.client = archive.New(archive.InstancePolicy, fl.random)
	no.Replica = rollout.New(no.Member, nil, fl.random)
	starts := no.starts
	fl.after(time.Duration(fl.random.IntN(1000))*time.Millisecond, func() {
		if no.starts != starts {
			return
		}
		fl.perform(no, no.Replica.SetView(fl.Now, fl.viewOf(no)))
		fl.exchangeDigest(no, starts)
	})
}

// viewOf returns the members that the instance knows. An instance that knows only
// itself watches the store.
func (fl *Fleet) viewOf(no *Node) *rollout.View {
	if fl.Options.WatchPerInstance {
		return rollout.NewView([]rollout.Member{no.Member})
	}
	return fl.view
}

func (fl *Fleet) after(delay time.Duration, do func()) {
	fl.scheduled++
	heap.Push(&fl.queue, event{at: fl.Now.Add(delay), order: fl.scheduled, run: do})
}

// Run advances the virtual time by the duration and handles the events within it.
func (fl *Fleet) Run(duration time.Duration) {
	fl.runUntil(fl.Now.Add(duration), func() bool { return false })
}

// runUntil advances the virtual time until the end or until done returns true. It
// calls done only when the time is about to advance: the first time, then whenever
// an instance has put a state in force since the last check.
func (fl *Fleet) runUntil(end time.Time, done func() bool) {
	checked := fl.appliedCount - 1
	for len(fl.queue) > 0 && !fl.queue[0].at.After(end) {
		ev, _ := heap.Pop(&fl.queue).(event)
		if ev.at.After(fl.Now) {
			if checked != fl.appliedCount && done() {
				heap.Push(&fl.queue, ev)
				return
			}
			checked = fl.appliedCount
			fl.Now = ev.at
		}
		ev.run()
	}
	fl.Now = end
}

// StoreVersion returns the version of the configuration in the store.
func (fl *Fleet) StoreVersion() catalog.Version {
	ro, err := change.DecodeRoot(fl.roots[len(fl.roots)-1])
	if err != nil {
		panic(err)
	}
	return ro.Version
}

// CountInForce returns how many running instances have the version or a newer one
// in force, and how many run.
func (fl *Fleet) CountInForce(version catalog.Version) (current, running int) {
	for _, no := range fl.Nodes {
		if no.Stopped {
			continue
		}
		running++
		if !no.Replica.State().Version().Less(version) {
			current++
		}
	}
	return current, running
}

// RunUntilInForce advances the virtual time, at most by the limit, until every
// running instance has the store's version in force. It returns the elapsed time
// and whether that was reached.
func (fl *Fleet) RunUntilInForce(limit time.Duration) (time.Duration, bool) {
	version := fl.StoreVersion()
	begin := fl.Now
	everywhere := func() bool {
		current, running := fl.CountInForce(version)
		return current == running
	}
	fl.runUntil(begin.Add(limit), everywhere)
	return fl.Now.Sub(begin), everywhere()
}

func (fl *Fleet) chance(percent int) bool {
	return percent > 0 && fl.random.IntN(100) < percent
}

// latency returns a random one-way latency, from 0.5 ms to less than 2.5 ms.
func (fl *Fleet) latency() time.Duration {
	return time.Duration(500+fl.random.IntN(2000)) * time.Microsecond
}
