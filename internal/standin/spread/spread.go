// Package spread runs the rollout cores of a whole fleet in virtual time over
// the stand-in store and a lossy network, to measure them and to test them
// under faults. Its gossip is a small fake: each new item is pushed to a few
// random peers, and a digest finds from time to time what got lost.
//
// # Usage
//
//	fl := spread.New(spread.Options{Instances: 4096, Domains: 9, LossPercent: 10, Seed: 7})
//	fl.Change(spread.Marker(1))
//	elapsed, ok := fl.UntilInForce(time.Minute)
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

// Start is when the virtual time begins.
var Start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// The pace of the fake gossip.
const (
	fanOut         = 4
	digestInterval = 2 * time.Second
	// digestBytes is the size of a digest, itemBytes what an item adds to its
	// body.
	digestBytes = 400
	itemBytes   = 40
	reportBytes = 80
)

// Options describe a fleet.
type Options struct {
	Instances int
	Domains   int
	// LossPercent is the share of lost messages between instances, and of lost
	// calls and answers of the store.
	LossPercent      int
	StoreLossPercent int
	// StaleWatchPercent is the share of watch answers that show an older root.
	StaleWatchPercent int
	// EveryWatches makes each instance hold a watch of its own, as a baseline.
	EveryWatches bool
	Seed         uint64
}

// Fleet is a fleet in virtual time.
type Fleet struct {
	Now     time.Time
	Options Options
	Nodes   []*Node
	Objects *platform.Objects
	// Calls counts the calls that reached the store.
	Calls platform.Calls
	// StoreDown makes the store lose every call.
	StoreDown bool
	// BytesSent counts what the instances sent to one another.
	BytesSent uint64
	// Notices holds what the replicas reported.
	Notices []rollout.Notice

	random  *rand.Rand
	queue   eventQueue
	order   int
	watches []watch
	roots   [][]byte
	owner   ed25519.PrivateKey
	view    *rollout.View
	places  map[netip.AddrPort]*Node
	// applied counts the states that were put in force.
	applied uint64
}

// Node is one instance.
type Node struct {
	Member  rollout.Member
	Replica *rollout.Replica
	// Applied are the versions put in force since the start, in order.
	Applied []catalog.Version
	// Stopped makes the instance deaf and silent.
	Stopped bool

	client *archive.Client
	items  map[string]rollout.Item
	wakeAt time.Time
	epoch  int
}

// watch is a watch call that waits at the store.
type watch struct {
	version uint64
	until   time.Time
	answer  func(archive.Answer)
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []event

// Len returns the number of events.
func (eq eventQueue) Len() int { return len(eq) }

// Less orders events by time, then by entry.
func (eq eventQueue) Less(i, j int) bool {
	if !eq[i].at.Equal(eq[j].at) {
		return eq[i].at.Before(eq[j].at)
	}
	return eq[i].order < eq[j].order
}

// Swap exchanges two events.
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }

// Push adds an event.
func (eq *eventQueue) Push(x any) {
	ev, _ := x.(event)
	*eq = append(*eq, ev)
}

// Pop removes the last event.
func (eq *eventQueue) Pop() any {
	old := *eq
	last := old[len(old)-1]
	*eq = old[:len(old)-1]
	return last
}

// New returns a fleet whose store holds the first version.
func New(op Options) *Fleet {
	fl := &Fleet{
		Now:     Start,
		Options: op,
		Objects: platform.NewObjects(),
		random:  rand.New(rand.NewPCG(op.Seed, 2)),
		owner:   ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
		places:  make(map[netip.AddrPort]*Node),
	}
	fl.commit(change.Request{Initial: true, Edits: []change.Edit{fl.first()}})
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
		fl.places[me.Address] = no
	}
	fl.view = rollout.NewView(members)
	for _, no := range fl.Nodes {
		fl.Restart(no)
	}
	return fl
}

// Restart starts the instance anew, without any memory.
func (fl *Fleet) Restart(no *Node) {
	no.epoch++
	no.Stopped = false
	no.Applied = nil
	no.items = make(map[string]rollout.Item)
	no.wakeAt = time.Time{}
	no.client = archive.New(archive.InstancePolicy, fl.random)
	no.Replica = rollout.New(no.Member, nil, fl.random)
	epoch := no.epoch
	fl.after(time.Duration(fl.random.IntN(1000))*time.Millisecond, func() {
		if no.epoch != epoch {
			return
		}
		fl.act(no, no.Replica.SetView(fl.Now, fl.viewOf(no)))
		fl.digest(no, epoch)
	})
}

// viewOf returns the view of the instance; a view of itself alone makes it a
// watcher.
func (fl *Fleet) viewOf(no *Node) *rollout.View {
	if fl.Options.EveryWatches {
		return rollout.NewView([]rollout.Member{no.Member})
	}
	return fl.view
}

func (fl *Fleet) after(delay time.Duration, do func()) {
	fl.order++
	heap.Push(&fl.queue, event{at: fl.Now.Add(delay), order: fl.order, do: do})
}

// Run lets the time pass.
func (fl *Fleet) Run(duration time.Duration) {
	fl.runUntil(fl.Now.Add(duration), func() bool { return false })
}

// runUntil lets the time pass until the end or until done, which is asked again
// whenever an instance has put a state in force.
func (fl *Fleet) runUntil(end time.Time, done func() bool) {
	asked := fl.applied - 1
	for len(fl.queue) > 0 && !fl.queue[0].at.After(end) {
		ev, _ := heap.Pop(&fl.queue).(event)
		if ev.at.After(fl.Now) {
			if asked != fl.applied && done() {
				heap.Push(&fl.queue, ev)
				return
			}
			asked = fl.applied
			fl.Now = ev.at
		}
		ev.do()
	}
	fl.Now = end
}

// StoreVersion returns the store's version.
func (fl *Fleet) StoreVersion() catalog.Version {
	ro, err := change.DecodeRoot(fl.roots[len(fl.roots)-1])
	if err != nil {
		panic(err)
	}
	return ro.Version
}

// CountInForce returns how many running instances have the version or a newer one.
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

// RunUntilInForce lets the time pass until every running instance has the store's
// version in force, and returns how long that took.
func (fl *Fleet) RunUntilInForce(most time.Duration) (time.Duration, bool) {
	version := fl.StoreVersion()
	begin := fl.Now
	everywhere := func() bool {
		current, running := fl.CountInForce(version)
		return current == running
	}
	fl.runUntil(begin.Add(most), everywhere)
	return fl.Now.Sub(begin), everywhere()
}

func (fl *Fleet) chance(percent int) bool {
	return percent > 0 && fl.random.IntN(100) < percent
}

// latency is that of one message between instances.
func (fl *Fleet) latency() time.Duration {
	return time.Duration(500+fl.random.IntN(2000)) * time.Microsecond
}
