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

// monthEnd is when the second owner's turn to change the configuration begins.
var monthEnd = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// event is a step that is due at a virtual time. Events of the same time run in
// their order.
type event struct {
	at    time.Time
	order int
	do    func()
}

// queue is a heap of events, the earliest first.
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

// simulation runs state machines of the package against an in-memory store in virtual time.
type simulation struct {
	now     time.Time
	queue   queue
	order   int
	random  *rand.Rand
	objects *platform.Objects
	// lossPercent is the share of calls lost on the way to the store, and
	// independently the share of answers lost on the way back.
	lossPercent int
	// latePercent is the share of calls that are delayed by up to 20 s, which may
	// be beyond their timeout.
	latePercent int
	// Calls that arrive from downFrom until downUntil get no answer and have no
	// effect.
	downFrom  time.Time
	downUntil time.Time
	// check runs after each write or deletion in the store.
	check func()
}

func newSimulation(seed uint64, start time.Time) *simulation {
	return &simulation{
		now:     start,
		random:  rand.New(rand.NewPCG(seed, 1)),
		objects: platform.NewObjects(),
		check:   func() {},
	}
}

func (si *simulation) at(at time.Time, do func()) {
	si.order++
	heap.Push(&si.queue, event{at: at, order: si.order, do: do})
}

func (si *simulation) run() {
	for len(si.queue) > 0 {
		ev, _ := heap.Pop(&si.queue).(event)
		if ev.at.After(si.now) {
			si.now = ev.at
		}
		ev.do()
	}
}

func (si *simulation) chance(percent int) bool {
	return si.random.IntN(100) < percent
}

func (si *simulation) down() bool {
	return !si.now.Before(si.downFrom) && si.now.Before(si.downUntil)
}

// call delivers one call to the store and its answer back, with random latency.
// It may lose either.
func (si *simulation) call(eras *archive.Eras, ac archive.Action, answer func(archive.Answer)) {
	latency := func() time.Duration { return time.Duration(1+si.random.IntN(20)) * time.Millisecond }
	arrival := si.now.Add(latency())
	if si.chance(si.latePercent) {
		arrival = arrival.Add(time.Duration(si.random.IntN(20)) * time.Second)
	}
	lostBefore, lostAfter := si.chance(si.lossPercent), si.chance(si.lossPercent)
	if lostBefore {
		return
	}
	si.at(arrival, func() {
		if si.down() {
			return
		}
		an := eras.Perform(ac.Call, si.execute)
		an.ID, an.Attempt = ac.Call.ID, ac.Attempt
		if lostAfter {
			return
		}
		si.at(si.now.Add(latency()), func() { answer(an) })
	})
}

// execute applies the call to the store and returns the answer.
func (si *simulation) execute(ca archive.Call) archive.Answer {
	var found object.Object
	var err error
	var an archive.Answer
	switch ca.Kind {
	case archive.KindPut:
		found, err = si.objects.Put(si.now, ca.Name, ca.Value, object.Version(ca.Version))
		defer si.check()
	case archive.KindDelete:
		err = si.objects.Delete(ca.Name, object.Version(ca.Version))
		defer si.check()
	case archive.KindList:
		for _, ob := range si.objects.List(ca.Name).Objects {
			an.Objects = append(an.Objects, archive.Object{Name: ob.Name, Version: uint64(ob.Version)})
		}
	default:
		found, err = si.objects.Get(ca.Name)
	}
	an.Object = archive.Object{
		Name: ca.Name, Version: uint64(found.Version), Era: uint64(si.objects.Era()), Value: found.Value, StoreTime: si.now,
	}
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

// stateMachine is a state machine of the package, such as a Commit.
type stateMachine interface {
	Start(time.Time) []archive.Call
	Handle(time.Time, archive.Answer) []archive.Call
	Done() bool
}

// process drives one state machine through a store client of its own. While it is
// paused, answers and timers wait until the pause ends.
type process struct {
	*simulation
	client      *archive.Client
	eras        *archive.Eras
	machine     stateMachine
	deadline    func() time.Time
	pausedUntil time.Time
	// pausePercent is the chance of a pause of up to 60 s before each step.
	pausePercent int
	done         func()
	ended        bool
}

func (si *simulation) startProcess(sm stateMachine, deadline func() time.Time, pausePercent int, done func()) {
	pr := &process{
		simulation:   si,
		client:       archive.New(archive.DefaultPolicy, si.random),
		eras:         archive.NewEras(change.RootName, 0),
		machine:      sm,
		deadline:     deadline,
		pausePercent: pausePercent,
		done:         done,
	}
	pr.submit(sm.Start(si.now))
}

// afterPause runs the step at once unless the process is paused or a pause
// begins; then the step runs when the pause ends.
func (pr *process) afterPause(do func()) {
	if pr.now.Before(pr.pausedUntil) {
		pr.at(pr.pausedUntil, func() { pr.afterPause(do) })
		return
	}
	if pr.chance(pr.pausePercent) {
		pr.pausedUntil = pr.now.Add(time.Duration(pr.random.IntN(60)) * time.Second)
		pr.at(pr.pausedUntil, do)
		return
	}
	do()
}

func (pr *process) submit(calls []archive.Call) {
	for _, ca := range calls {
		pr.act(pr.client.Submit(pr.now, ca, pr.deadline()))
	}
	if pr.machine.Done() && !pr.ended {
		pr.ended = true
		pr.done()
	}
}

func (pr *process) act(actions []archive.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case archive.ActionSend:
			pr.call(pr.eras, ac, func(an archive.Answer) {
				pr.afterPause(func() { pr.act(pr.client.HandleAnswer(pr.now, an)) })
			})
		case archive.ActionWake:
			if !pr.ended {
				pr.at(ac.Deadline, func() { pr.afterPause(func() { pr.act(pr.client.Tick(pr.now)) }) })
			}
		case archive.ActionComplete:
			pr.submit(pr.machine.Handle(pr.now, ac.Answer))
		}
	}
}

// owner is an owner of the configuration with the private key.
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

// setup commits the first configuration without faults. The first owner holds
// the authority to change it until monthEnd, then the second if there is one.
func (si *simulation) setup(owners ...owner) {
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
		Deadline: si.now.Add(time.Minute),
	}, si.random)
	loss, late := si.lossPercent, si.latePercent
	si.lossPercent, si.latePercent = 0, 0
	si.startProcess(co, co.Deadline, 0, func() {})
	si.run()
	si.lossPercent, si.latePercent = loss, late
	if ou := co.Outcome(); ou.Kind != change.OutcomeAccepted {
		panic(fmt.Sprintf("setup: %+v", ou))
	}
}

// snapshot reads the root and its shards directly from the store.
func (si *simulation) snapshot() (*change.Snapshot, error) {
	root := archive.Call{Kind: archive.KindGet, Object: archive.Object{Name: change.RootName}}
	found := archive.NewEras(change.RootName, 0).Perform(root, si.execute)
	if found.Result != archive.ResultDone {
		return nil, errors.New("no root")
	}
	ro, err := change.DecodeRoot(found.Object.Value)
	if err != nil {
		return nil, err
	}
	sn := &change.Snapshot{Root: ro}
	for _, sh := range ro.Shards {
		value, err := si.objects.Get(sh.Name)
		if err != nil {
			return nil, errors.Wrapf(err, "shard %s of version %s", sh.Name, ro.Version)
		}
		sn.Values = append(sn.Values, change.ShardValue{Name: sh.Name, Bytes: value.Value})
	}
	return sn, nil
}

// history returns the entries of all accepted changes, including those in
// pages.
func (si *simulation) history() []change.Entry {
	sn, err := si.snapshot()
	if err != nil {
		panic(err)
	}
	var entries []change.Entry
	for _, pa := range sn.Root.Pages {
		found, err := si.objects.Get(pa.Name)
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
