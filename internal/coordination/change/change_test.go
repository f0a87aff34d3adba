package change_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if fl := flag.Lookup(name); fl != nil && fl.Value.String() == fl.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// addServiceEdit returns an edit that adds a service whose name contains the
// number, so that the configuration shows whether the edit took effect.
func addServiceEdit(number int) change.Edit {
	name := fmt.Sprintf("service-%d", number)
	return change.Edit{Summary: name, Apply: func(co *catalog.Configuration) error {
		co.Services = append(co.Services, catalog.Service{
			ID:        co.NextService,
			Name:      name,
			Addresses: []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 443)},
			Hosts:     []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")},
		})
		co.NextService++
		return nil
	}}
}

// attempt is one change with the outcome that its operator was told.
type attempt struct {
	number  int
	owner   string
	called  time.Time
	ended   time.Time
	outcome change.Outcome
	// status is what a StatusQuery returned after an unknown outcome.
	status change.Status
}

// raceOperators runs changes of four operators of two owners and garbage
// collections at the same time, around the moment when the authority to change
// the configuration passes from one owner to the other. Calls get lost or
// delayed, processes are paused, and the store may be down for a while. After
// each write or deletion, it checks that the store holds every shard that the
// root refers to.
func raceOperators(t *rapid.T) (*simulation, []*attempt) {
	si := newSimulation(rapid.Uint64().Draw(t, "seed"), monthEnd.Add(-2*time.Minute))
	si.lossPercent = rapid.SampledFrom([]int{0, 5, 20}).Draw(t, "loss")
	si.latePercent = rapid.SampledFrom([]int{0, 5, 20}).Draw(t, "late")
	pausePercent := rapid.SampledFrom([]int{0, 2, 10}).Draw(t, "pause")
	si.downFrom = si.now.Add(time.Duration(rapid.IntRange(10, 200).Draw(t, "down")) * time.Second)
	si.downUntil = si.downFrom.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 10, 60}).Draw(t, "outage")) * time.Second)
	owners := []owner{newOwner("glenrug"), newOwner("zhuldyz")}
	si.setup(owners...)
	si.check = func() {
		if _, err := si.snapshot(); err != nil {
			t.Fatalf("at %s: %v", si.now, err)
		}
	}
	var attempts []*attempt
	for operator := range 4 {
		ow := owners[operator%2]
		for range rapid.IntRange(2, 6).Draw(t, "changes") {
			at := &attempt{number: len(attempts), owner: ow.name}
			attempts = append(attempts, at)
			begin := si.now.Add(time.Duration(si.random.IntN(240_000)) * time.Millisecond)
			si.at(begin, func() { si.startAttempt(at, ow, pausePercent) })
		}
	}
	for range 6 {
		si.at(si.now.Add(time.Duration(si.random.IntN(240))*time.Second), func() {
			deadline := si.now.Add(20 * time.Second)
			si.startProcess(change.NewGarbageCollection(), func() time.Time { return deadline }, pausePercent, func() {})
		})
	}
	si.run()
	return si, attempts
}

func (si *simulation) startAttempt(at *attempt, ow owner, pausePercent int) {
	at.called = si.now
	co := change.NewCommit(change.Request{
		Owner:    ow.name,
		Sign:     ow.sign,
		Edits:    []change.Edit{addServiceEdit(at.number)},
		Deadline: si.now.Add(15 * time.Second),
	}, si.random)
	si.startProcess(co, co.Deadline, pausePercent, func() {
		at.ended = si.now
		at.outcome = co.Outcome()
		if at.outcome.Kind == change.OutcomeUnknown {
			si.resolve(at, pausePercent)
		}
	})
}

// resolve settles a change of unknown outcome, as an operator would with SETTLE
// CHANGE, and repeats that each second until the status is known.
func (si *simulation) resolve(at *attempt, pausePercent int) {
	query, err := change.NewStatusQuery(at.outcome.Identity, true)
	if err != nil {
		panic(err)
	}
	deadline := si.now.Add(10 * time.Second)
	si.startProcess(query, func() time.Time { return deadline }, pausePercent, func() {
		status, _, err := query.Status()
		if err != nil || status == change.StatusPending {
			si.at(si.now.Add(time.Second), func() { si.resolve(at, pausePercent) })
			return
		}
		at.status = status
	})
}

// TestOutcomesMatchHistory checks that an operator is told the truth: an
// accepted change took effect exactly once, a refused change did not, and a
// query after an unknown outcome agrees with the history.
func TestOutcomesMatchHistory(t *testing.T) {
	kinds := make(map[change.OutcomeKind]int)
	rapid.Check(t, func(t *rapid.T) {
		si, attempts := raceOperators(t)
		history := si.history()
		applied := make(map[string]int)
		for _, en := range history {
			applied[en.Summary]++
		}
		sn, err := si.snapshot()
		if err != nil {
			t.Fatal(err)
		}
		final, err := sn.Configuration()
		if err != nil {
			t.Fatal(err)
		}
		for _, at := range attempts {
			kinds[at.outcome.Kind]++
			name := addServiceEdit(at.number).Summary
			times := applied[name]
			inForce := final.Service(name) != nil
			switch {
			case times > 1:
				t.Fatalf("change %s applied %d times", name, times)
			case (times == 1) != inForce:
				t.Fatalf("change %s in history %d times, in force %t", name, times, inForce)
			case at.outcome.Kind == change.OutcomeAccepted && times != 1:
				t.Fatalf("accepted change %s is not in force", name)
			case at.outcome.Kind == change.OutcomeRefused && times != 0:
				t.Fatalf("refused change %s took effect: %s", name, at.outcome.Reason)
			case at.outcome.Kind == change.OutcomeUnknown && (at.status == change.StatusAccepted) != (times == 1):
				t.Fatalf("change %s applied %d times, the query said %d", name, times, at.status)
			case at.outcome.Kind == 0:
				t.Fatalf("change %s has no outcome", name)
			}
		}
		checkAuthority(t, history)
	})
	if kinds[change.OutcomeAccepted] == 0 || kinds[change.OutcomeRefused] == 0 || kinds[change.OutcomeUnknown] == 0 {
		t.Fatalf("the runs did not reach every kind of outcome: %v", kinds)
	}
	t.Logf("outcomes: %v", kinds)
}

// checkAuthority checks that the first owner made no change after the second
// had taken over the authority, that the second made none before its turn, and
// that versions are consecutive.
func checkAuthority(t *rapid.T, history []change.Entry) {
	for i, en := range history[1:] {
		before := history[i]
		if en.Version.Number != before.Version.Number+1 || en.Version.Term < before.Version.Term {
			t.Fatalf("version %s follows %s", en.Version, before.Version)
		}
		if en.Owner == "glenrug" && before.Say.Owner == "zhuldyz" {
			t.Fatalf("change %s by an owner who had lost the authority", en.Identity)
		}
		if en.Owner == "zhuldyz" && en.At.Before(monthEnd) {
			t.Fatalf("change %s by an owner whose turn had not begun", en.Identity)
		}
	}
}

// result is the outcome of one change as the linearizability checker sees it.
type result struct {
	kind   change.OutcomeKind
	number uint64
}

// versionModel is the sequential model of the version's number. An accepted
// change raises it by one, a refused change leaves it, and one of unknown outcome
// may do either.
var versionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(1)} },
	Step: func(state, _, output any) []any {
		number, _ := state.(uint64)
		re, _ := output.(result)
		switch {
		case re.kind == change.OutcomeRefused:
			return []any{number}
		case re.kind == change.OutcomeUnknown:
			return []any{number, number + 1}
		case re.number == number+1:
			return []any{number + 1}
		default:
			return nil
		}
	},
}

// TestHistoryIsLinearizable checks that the outcomes agree with changes made
// one after another, each between its call and its end. A change of unknown
// outcome may take effect at any later time.
func TestHistoryIsLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, attempts := raceOperators(t)
		var operations []porcupine.Operation
		last := attempts[0].called
		for _, at := range attempts {
			if at.ended.After(last) {
				last = at.ended
			}
		}
		for i, at := range attempts {
			ended := at.ended
			if at.outcome.Kind == change.OutcomeUnknown {
				ended = last.Add(time.Hour)
			}
			operations = append(operations, porcupine.Operation{
				ClientId: i,
				Call:     at.called.UnixNano(),
				Output:   result{kind: at.outcome.Kind, number: at.outcome.Version.Number},
				Return:   ended.UnixNano(),
			})
		}
		if !porcupine.CheckOperations(versionModel.ToModel(), operations) {
			t.Fatalf("the history of %d changes is not linearizable", len(operations))
		}
	})
}

// TestReinstatementRestoresVersion restores a backup of the store after later
// changes, then reinstates the version in force while calls get lost and
// garbage collections run. The outcome must agree with what the store holds,
// and no shard may be missing.
func TestReinstatementRestoresVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		si := newSimulation(rapid.Uint64().Draw(t, "seed"), monthEnd)
		ow := newOwner("glenrug")
		si.setup(ow)
		number := 0
		add := func() {
			number++
			at := &attempt{number: number}
			si.startAttempt(at, ow, 0)
			si.run()
			if at.outcome.Kind != change.OutcomeAccepted {
				t.Fatalf("change: %s", at.outcome.Reason)
			}
		}
		add()
		backup := si.objects.Backup()
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			add()
		}
		inForce, err := si.snapshot()
		if err != nil {
			t.Fatal(err)
		}
		si.objects.Restore(backup)
		si.lossPercent = rapid.SampledFrom([]int{0, 10, 25}).Draw(t, "loss")
		si.latePercent = rapid.SampledFrom([]int{0, 20}).Draw(t, "late")
		deadline := func() time.Time { return monthEnd.Add(time.Hour) }
		for range 3 {
			si.at(si.now.Add(time.Duration(si.random.IntN(2000))*time.Millisecond), func() {
				si.startProcess(change.NewGarbageCollection(), deadline, 20, func() {})
			})
		}
		re := change.NewReinstatement(inForce)
		si.startProcess(re, deadline, 5, func() {})
		si.run()
		after, err := si.snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if re.Outcome().Kind == change.OutcomeAccepted && after.Root.Version != inForce.Root.Version {
			t.Fatalf("the store holds %s after %s was reinstated", after.Root.Version, inForce.Root.Version)
		}
		if re.Outcome().Kind == change.OutcomeRefused && after.Root.Version == inForce.Root.Version {
			t.Fatalf("refused, but reinstated: %s", re.Outcome().Reason)
		}
		if _, err := after.Configuration(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestChangeIsRefusedIfStoreIsOlder guards against a change made on top of an
// older version, which would drop the accepted changes that the store lost.
func TestChangeIsRefusedIfStoreIsOlder(t *testing.T) {
	si := newSimulation(1, monthEnd)
	ow := newOwner("glenrug")
	si.setup(ow)
	co := change.NewCommit(change.Request{
		Owner:         ow.name,
		Sign:          ow.sign,
		Edits:         []change.Edit{addServiceEdit(1)},
		NewestInForce: catalog.Version{Term: 1, Number: 2},
		Deadline:      si.now.Add(time.Minute),
	}, si.random)
	si.startProcess(co, co.Deadline, 0, func() {})
	si.run()
	if ou := co.Outcome(); ou.Kind != change.OutcomeRefused {
		t.Fatalf("outcome %s, want refused: %s", ou.Kind, ou.Reason)
	}
}

// stepper runs one state machine call by call, without faults.
type stepper struct {
	*simulation
	eras    *archive.Eras
	machine stateMachine
	calls   []archive.Call
}

func (si *simulation) stepper(sm stateMachine) *stepper {
	return &stepper{simulation: si, eras: archive.NewEras(change.RootName, 0), machine: sm, calls: sm.Start(si.now)}
}

// until runs calls until the next one matches or none is left.
func (st *stepper) until(stop func(archive.Call) bool) {
	for len(st.calls) > 0 && !stop(st.calls[0]) {
		st.step()
	}
}

func (st *stepper) step() {
	ca := st.calls[0]
	an := st.eras.Perform(ca, st.execute)
	an.ID = ca.ID
	st.calls = append(st.calls[1:], st.machine.Handle(st.now, an)...)
}

// TestGarbageCollectionSparesReinstatedShards guards against the deletion of
// shards that a reinstated root refers to. A collection lists the shards that a
// reinstatement has written, while the root is still the old one, and deletes
// them after the reinstatement has ended.
func TestGarbageCollectionSparesReinstatedShards(t *testing.T) {
	si := newSimulation(1, monthEnd)
	ow := newOwner("glenrug")
	si.setup(ow)
	backup := si.objects.Backup()
	at := &attempt{number: 1}
	si.startAttempt(at, ow, 0)
	si.run()
	inForce, err := si.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	si.objects.Restore(backup)

	reinstatement := si.stepper(change.NewReinstatement(inForce))
	reinstatement.until(func(ca archive.Call) bool { return ca.Kind == archive.KindPut && ca.Name == change.RootName })
	collection := si.stepper(change.NewGarbageCollection())
	collection.until(func(ca archive.Call) bool { return ca.Kind == archive.KindDelete })
	if len(collection.calls) == 0 {
		t.Fatal("the collection listed nothing to delete")
	}
	reinstatement.until(func(archive.Call) bool { return false })
	collection.until(func(archive.Call) bool { return false })
	after, err := si.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if after.Root.Version != inForce.Root.Version {
		t.Fatalf("the store holds %s, not %s", after.Root.Version, inForce.Root.Version)
	}
}

// TestConditionOfAnEarlierEraDoesNotOverwriteAChange guards against a change that is
// lost because a write sent before a restore meets its condition on other content.
func TestConditionOfAnEarlierEraDoesNotOverwriteAChange(t *testing.T) {
	si := newSimulation(1, monthEnd)
	ow := newOwner("glenrug")
	si.setup(ow)
	backup := si.objects.Backup()
	commit := func(number int) (*change.Commit, *stepper) {
		co := change.NewCommit(change.Request{
			Owner: ow.name, Sign: ow.sign, Edits: []change.Edit{addServiceEdit(number)}, Deadline: si.now.Add(time.Minute),
		}, si.random)
		return co, si.stepper(co)
	}
	everything := func(archive.Call) bool { return false }
	_, lost := commit(1)
	lost.until(everything)
	paused, late := commit(2)
	late.until(func(ca archive.Call) bool { return ca.Kind == archive.KindPut && ca.Name == change.RootName })

	si.objects.Restore(backup)
	accepted, other := commit(3)
	other.until(everything)
	late.until(everything)

	sn, err := si.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, co := range []*change.Commit{accepted, paused} {
		ou := co.Outcome()
		base, err := ou.Identity.Base()
		if err != nil {
			t.Fatal(err)
		}
		if status := sn.Root.StatusOf(ou.Identity, base); ou.Kind != change.OutcomeAccepted || status != change.StatusAccepted {
			t.Errorf("outcome %s: the store says %v of %s", ou.Kind, status, ou.Identity)
		}
	}
}
