package change_test

import (
	"container/heap"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/protocol/object"
	"corneltiller.dev/corneltiller/internal/standin/platform"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// monthEnd is when the say turns from the first owner to the second.
var monthEnd = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at    time.Time
	order int
	do    func()
}

type queue []event

func (qu queue) Len() int { return len(qu) }
func (qu queue) Less(i, j int) bool {
	if !qu[i].at.Equal(qu[j].at) {
		return qu[i].at.Before(qu[j].at)
	}
	return qu[i].order < qu[j].order
}
func (qu queue) Swap(i, j int) { qu[i], qu[j] = qu[j], qu[i] }
func (qu *queue) Push(x any)   { *qu = append(*qu, x.(event)) }
func (qu *queue) Pop() any {
	old := *qu
	last := old[len(old)-1]
	*qu = old[:len(old)-1]
	return last
}

// world runs cores against a store in virtual time.
type world struct {
	now     time.Time
	queue   queue
	order   int
	random  *rand.Rand
	objects *platform.Objects
	// lossPercent is the share of calls lost before and after their effect each.
	lossPercent int
	// stragglePercent is the share of calls that arrive long after their timeout.
	stragglePercent int
	downFrom        time.Time
	downUntil       time.Time
	// check runs after each write.
	check func()
}

func newWorld(seed uint64, start time.Time) *world {
	return &world{
		now:     start,
		random:  rand.New(rand.NewPCG(seed, 1)),
		objects: platform.NewObjects(),
		check:   func() {},
	}
}

func (wo *world) at(at time.Time, do func()) {
	wo.order++
	heap.Push(&wo.queue, event{at: at, order: wo.order, do: do})
}

func (wo *world) run() {
	for len(wo.queue) > 0 {
		ev, _ := heap.Pop(&wo.queue).(event)
		if ev.at.After(wo.now) {
			wo.now = ev.at
		}
		ev.do()
	}
}

func (wo *world) chance(percent int) bool {
	return wo.random.IntN(100) < percent
}

func (wo *world) down() bool {
	return !wo.now.Before(wo.downFrom) && wo.now.Before(wo.downUntil)
}

// call carries one attempt to the store and its answer back, or loses either.
func (wo *world) call(ac archive.Action, answer func(archive.Answer)) {
	latency := func() time.Duration { return time.Duration(1+wo.random.IntN(20)) * time.Millisecond }
	arrival := wo.now.Add(latency())
	if wo.chance(wo.stragglePercent) {
		arrival = arrival.Add(time.Duration(wo.random.IntN(20)) * time.Second)
	}
	lostBefore, lostAfter := wo.chance(wo.lossPercent), wo.chance(wo.lossPercent)
	if lostBefore {
		return
	}
	wo.at(arrival, func() {
		if wo.down() {
			return
		}
		an := wo.execute(ac.Call)
		an.ID, an.Attempt = ac.Call.ID, ac.Attempt
		if lostAfter {
			return
		}
		wo.at(wo.now.Add(latency()), func() { answer(an) })
	})
}

// execute applies the call to the store.
func (wo *world) execute(ca archive.Call) archive.Answer {
	var found object.Object
	var err error
	var an archive.Answer
	switch ca.Kind {
	case archive.KindPut:
		found, err = wo.objects.Put(wo.now, ca.Name, ca.Value, object.Version(ca.Version))
		defer wo.check()
	case archive.KindDelete:
		err = wo.objects.Delete(ca.Name, object.Version(ca.Version))
		defer wo.check()
	case archive.KindList:
		for _, ob := range wo.objects.List(ca.Name).Objects {
			an.Objects = append(an.Objects, archive.Object{Name: ob.Name, Version: uint64(ob.Version)})
		}
	default:
		found, err = wo.objects.Get(ca.Name)
	}
	an.Object = archive.Object{Name: ca.Name, Version: uint64(found.Version), Value: found.Value, StoreTime: wo.now}
	switch {
	case err == nil:
		an.Result = archive.ResultDone
	case errors.Is(err, object.ErrNotFound):
		an.Result = archive.ResultNotFound
	case errors.Is(err, object.ErrConflict):
		an.Result = archive.ResultConflict
	default:
		an.Result = archive.ResultTooLarge
	}
	return an
}

// core is a Commit or a Collection.
type core interface {
	Start(time.Time) []archive.Call
	Handle(time.Time, archive.Answer) []archive.Call
	Done() bool
}

// process drives one core through a store client of its own. It may be paused:
// whatever happens meanwhile reaches it afterwards.
type process struct {
	*world
	client   *archive.Client
	core     core
	deadline func() time.Time
	paused   time.Time
	// pausePercent is the chance of a long pause before each step.
	pausePercent int
	done         func()
	ended        bool
}

func (wo *world) process(co core, deadline func() time.Time, pausePercent int, done func()) {
	pr := &process{
		world:        wo,
		client:       archive.New(archive.DefaultPolicy, wo.random),
		core:         co,
		deadline:     deadline,
		pausePercent: pausePercent,
		done:         done,
	}
	pr.submit(co.Start(wo.now))
}

// wake runs the step, after the pause if the process is in one.
func (pr *process) wake(do func()) {
	if pr.now.Before(pr.paused) {
		pr.at(pr.paused, func() { pr.wake(do) })
		return
	}
	if pr.chance(pr.pausePercent) {
		pr.paused = pr.now.Add(time.Duration(pr.random.IntN(60)) * time.Second)
		pr.at(pr.paused, do)
		return
	}
	do()
}

func (pr *process) submit(calls []archive.Call) {
	for _, ca := range calls {
		pr.act(pr.client.Submit(pr.now, ca, pr.deadline()))
	}
	if pr.core.Done() && !pr.ended {
		pr.ended = true
		pr.done()
	}
}

func (pr *process) act(actions []archive.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case archive.ActionSend:
			pr.call(ac, func(an archive.Answer) {
				pr.wake(func() { pr.act(pr.client.HandleAnswer(pr.now, an)) })
			})
		case archive.ActionWake:
			if !pr.ended {
				pr.at(ac.Deadline, func() { pr.wake(func() { pr.act(pr.client.Tick(pr.now)) }) })
			}
		case archive.ActionComplete:
			pr.submit(pr.core.Handle(pr.now, ac.Answer))
		}
	}
}

// owner is a named key.
type owner struct {
	name string
	key  ed25519.PrivateKey
}

func newOwner(name string) owner {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return owner{name: name, key: ed25519.NewKeyFromSeed(seed)}
}

func (ow owner) public() catalog.Owner {
	return catalog.Owner{Name: ow.name, Key: change.PublicKey(ow.key)}
}

func (ow owner) sign(message []byte) []byte {
	return ed25519.Sign(ow.key, message)
}

// setup puts the first configuration into the store without any fault.
func (wo *world) setup(owners ...owner) {
	edits := []change.Edit{{Summary: "first", Apply: func(co *catalog.Configuration) error {
		for _, ow := range owners {
			co.Owners = append(co.Owners, ow.public())
		}
		co.SetTurn(catalog.Turn{From: monthEnd.AddDate(0, -1, 0), Owner: owners[0].name})
		co.SetTurn(catalog.Turn{From: monthEnd, Owner: owners[1%len(owners)].name})
		return nil
	}}}
	co := change.NewCommit(change.Request{
		Owner:    owners[0].name,
		Sign:     owners[0].sign,
		Edits:    edits,
		Initial:  true,
		Deadline: wo.now.Add(time.Minute),
	}, wo.random)
	loss, straggle := wo.lossPercent, wo.stragglePercent
	wo.lossPercent, wo.stragglePercent = 0, 0
	wo.process(co, co.Deadline, 0, func() {})
	wo.run()
	wo.lossPercent, wo.stragglePercent = loss, straggle
	if ou := co.Outcome(); ou.Kind != change.OutcomeAccepted {
		panic(fmt.Sprintf("setup: %+v", ou))
	}
}

// snapshot reads the store's present state directly.
func (wo *world) snapshot() (*change.Snapshot, error) {
	found, err := wo.objects.Get(change.RootName)
	if err != nil {
		return nil, err
	}
	ro, err := change.DecodeRoot(found.Value)
	if err != nil {
		return nil, err
	}
	sn := &change.Snapshot{Root: ro}
	for _, sh := range ro.Shards {
		value, err := wo.objects.Get(sh.Name)
		if err != nil {
			return nil, errors.Wrapf(err, "shard %s of version %s", sh.Name, ro.Version)
		}
		sn.Values = append(sn.Values, change.ShardValue{Name: sh.Name, Bytes: value.Value})
	}
	return sn, nil
}

// history returns all accepted changes, pages included.
func (wo *world) history() []change.Entry {
	sn, err := wo.snapshot()
	if err != nil {
		panic(err)
	}
	var entries []change.Entry
	for _, pa := range sn.Root.Pages {
		found, err := wo.objects.Get(pa.Name)
		if err != nil {
			panic(err)
		}
		page, err := change.DecodePage(found.Value)
		if err != nil {
			panic(err)
		}
		entries = append(entries, page...)
	}
	return append(entries, sn.Root.History...)
}
