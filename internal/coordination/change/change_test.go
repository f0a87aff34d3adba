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

// marker returns an edit that adds a service of its own.
func marker(number int) change.Edit {
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

// attempt is one change as its operator saw it.
type attempt struct {
	number  int
	owner   string
	called  time.Time
	ended   time.Time
	outcome change.Outcome
	// fate is what an inquiry said after an unknown outcome.
	fate change.Status
}

// race lets operators change the configuration around the end of the month
// while calls get lost and processes are paused.
func race(t *rapid.T) (*world, []*attempt) {
	wo := newWorld(rapid.Uint64().Draw(t, "seed"), monthEnd.Add(-2*time.Minute))
	wo.lossPercent = rapid.SampledFrom([]int{0, 5, 20}).Draw(t, "loss")
	wo.stragglePercent = rapid.SampledFrom([]int{0, 5, 20}).Draw(t, "straggle")
	pausePercent := rapid.SampledFrom([]int{0, 2, 10}).Draw(t, "pause")
	wo.downFrom = wo.now.Add(time.Duration(rapid.IntRange(10, 200).Draw(t, "down")) * time.Second)
	wo.downUntil = wo.downFrom.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 10, 60}).Draw(t, "outage")) * time.Second)
	owners := []owner{newOwner("glenrug"), newOwner("zhuldyz")}
	wo.setup(owners...)
	wo.check = func() {
		if _, err := wo.snapshot(); err != nil {
			t.Fatalf("at %s: %v", wo.now, err)
		}
	}
	var attempts []*attempt
	for operator := range 4 {
		ow := owners[operator%2]
		for range rapid.IntRange(2, 6).Draw(t, "changes") {
			at := &attempt{number: len(attempts), owner: ow.name}
			attempts = append(attempts, at)
			begin := wo.now.Add(time.Duration(wo.random.IntN(240_000)) * time.Millisecond)
			wo.at(begin, func() { wo.attempt(at, ow, pausePercent) })
		}
	}
	for range 6 {
		wo.at(wo.now.Add(time.Duration(wo.random.IntN(240))*time.Second), func() {
			deadline := wo.now.Add(20 * time.Second)
			wo.process(change.NewGarbageCollection(), func() time.Time { return deadline }, pausePercent, func() {})
		})
	}
	wo.run()
	return wo, attempts
}

func (wo *world) attempt(at *attempt, ow owner, pausePercent int) {
	at.called = wo.now
	co := change.NewCommit(change.Request{
		Owner:    ow.name,
		Sign:     ow.sign,
		Edits:    []change.Edit{marker(at.number)},
		Deadline: wo.now.Add(15 * time.Second),
	}, wo.random)
	wo.process(co, co.Deadline, pausePercent, func() {
		at.ended = wo.now
		at.outcome = co.Outcome()
		if at.outcome.Kind == change.OutcomeUnknown {
			wo.inquire(at, pausePercent)
		}
	})
}

// inquire settles a change of unknown outcome, as an operator would, until the
// store answers.
func (wo *world) inquire(at *attempt, pausePercent int) {
	in, err := change.NewStatusQuery(at.outcome.Identity, true)
	if err != nil {
		panic(err)
	}
	deadline := wo.now.Add(10 * time.Second)
	wo.process(in, func() time.Time { return deadline }, pausePercent, func() {
		fate, _, err := in.Status()
		if err != nil || fate == change.StatusPending {
			wo.at(wo.now.Add(time.Second), func() { wo.inquire(at, pausePercent) })
			return
		}
		at.fate = fate
	})
}

func TestOutcomesAreTrue(t *testing.T) {
	kinds := make(map[change.OutcomeKind]int)
	rapid.Check(t, func(t *rapid.T) {
		wo, attempts := race(t)
		history := wo.history()
		applied := make(map[string]int)
		for _, en := range history {
			applied[en.Summary]++
		}
		sn, err := wo.snapshot()
		if err != nil {
			t.Fatal(err)
		}
		final, err := sn.Configuration()
		if err != nil {
			t.Fatal(err)
		}
		for _, at := range attempts {
			kinds[at.outcome.Kind]++
			name := marker(at.number).Summary
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
			case at.outcome.Kind == change.OutcomeUnknown && (at.fate == change.StatusAccepted) != (times == 1):
				t.Fatalf("change %s applied %d times, the inquiry said %d", name, times, at.fate)
			case at.outcome.Kind == 0:
				t.Fatalf("change %s has no outcome", name)
			}
		}
		checkSay(t, history)
	})
	if kinds[change.OutcomeAccepted] == 0 || kinds[change.OutcomeRefused] == 0 || kinds[change.OutcomeUnknown] == 0 {
		t.Fatalf("the runs reached too little: %v", kinds)
	}
	t.Logf("outcomes: %v", kinds)
}

// checkSay checks that each change was made by the holder of its time.
func checkSay(t *rapid.T, history []change.Entry) {
	for i, en := range history[1:] {
		before := history[i]
		if en.Version.Number != before.Version.Number+1 || en.Version.Term < before.Version.Term {
			t.Fatalf("version %s follows %s", en.Version, before.Version)
		}
		if en.Owner == "glenrug" && before.Say.Owner == "zhuldyz" {
			t.Fatalf("change %s by an owner who lost the say", en.Identity)
		}
		if en.Owner == "zhuldyz" && en.At.Before(monthEnd) {
			t.Fatalf("change %s by an owner who had not got the say", en.Identity)
		}
	}
}

// result is what one change returned, for the linearizability checker.
type result struct {
	kind   change.OutcomeKind
	number uint64
}

// versions is the sequential model: each accepted change raises the number by
// one, a refused one leaves it, an unknown one may do either.
var versions = porcupine.NondeterministicModel{
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

func TestHistoryIsLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, attempts := race(t)
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
		if !porcupine.CheckOperations(versions.ToModel(), operations) {
			t.Fatalf("the history of %d changes is not linearizable", len(operations))
		}
	})
}

func TestReinstatement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wo := newWorld(rapid.Uint64().Draw(t, "seed"), monthEnd)
		ow := newOwner("glenrug")
		wo.setup(ow)
		number := 0
		add := func() {
			number++
			at := &attempt{number: number}
			wo.attempt(at, ow, 0)
			wo.run()
			if at.outcome.Kind != change.OutcomeAccepted {
				t.Fatalf("change: %s", at.outcome.Reason)
			}
		}
		add()
		backup := wo.objects.Backup()
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			add()
		}
		inForce, err := wo.snapshot()
		if err != nil {
			t.Fatal(err)
		}
		wo.objects.Restore(backup)
		wo.lossPercent = rapid.SampledFrom([]int{0, 10, 25}).Draw(t, "loss")
		wo.stragglePercent = rapid.SampledFrom([]int{0, 20}).Draw(t, "straggle")
		deadline := func() time.Time { return monthEnd.Add(time.Hour) }
		for range 3 {
			wo.at(wo.now.Add(time.Duration(wo.random.IntN(2000))*time.Millisecond), func() {
				wo.process(change.NewGarbageCollection(), deadline, 20, func() {})
			})
		}
		re := change.NewReinstatement(inForce)
		wo.process(re, deadline, 5, func() {})
		wo.run()
		after, err := wo.snapshot()
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

func TestStoreThatWentBackIsNotChanged(t *testing.T) {
	wo := newWorld(1, monthEnd)
	ow := newOwner("glenrug")
	wo.setup(ow)
	co := change.NewCommit(change.Request{
		Owner:    ow.name,
		Sign:     ow.sign,
		Edits:    []change.Edit{marker(1)},
		NewestInForce:  catalog.Version{Term: 1, Number: 2},
		Deadline: wo.now.Add(time.Minute),
	}, wo.random)
	wo.process(co, co.Deadline, 0, func() {})
	wo.run()
	if ou := co.Outcome(); ou.Kind != change.OutcomeRefused {
		t.Fatalf("%s: %s", ou.Kind, ou.Reason)
	}
}

// stepper runs one core call by call, without faults.
type stepper struct {
	*world
	core  core
	calls []archive.Call
}

func (wo *world) stepper(co core) *stepper {
	return &stepper{world: wo, core: co, calls: co.Start(wo.now)}
}

// until runs the calls before the first of that kind, or all.
func (st *stepper) until(stop func(archive.Call) bool) {
	for len(st.calls) > 0 && !stop(st.calls[0]) {
		st.step()
	}
}

func (st *stepper) step() {
	ca := st.calls[0]
	an := st.execute(ca)
	an.ID = ca.ID
	st.calls = append(st.calls[1:], st.core.Handle(st.now, an)...)
}

func TestReinstatementOvertakesCollection(t *testing.T) {
	wo := newWorld(1, monthEnd)
	ow := newOwner("glenrug")
	wo.setup(ow)
	backup := wo.objects.Backup()
	at := &attempt{number: 1}
	wo.attempt(at, ow, 0)
	wo.run()
	inForce, err := wo.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	wo.objects.Restore(backup)

	reinstatement := wo.stepper(change.NewReinstatement(inForce))
	reinstatement.until(func(ca archive.Call) bool { return ca.Kind == archive.KindPut && ca.Name == change.RootName })
	collection := wo.stepper(change.NewGarbageCollection())
	collection.until(func(ca archive.Call) bool { return ca.Kind == archive.KindDelete })
	if len(collection.calls) == 0 {
		t.Fatal("the collection listed nothing to delete")
	}
	reinstatement.until(func(archive.Call) bool { return false })
	collection.until(func(archive.Call) bool { return false })
	after, err := wo.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if after.Root.Version != inForce.Root.Version {
		t.Fatalf("the store holds %s, not %s", after.Root.Version, inForce.Root.Version)
	}
}
