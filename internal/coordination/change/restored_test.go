package change_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/coordination/change"
)

// raceAcrossRestores starts operators' changes while the store is restored from copies,
// with calls that are lost or late. It returns the attempts and the time of the last
// restore.
func raceAcrossRestores(t *rapid.T, collections int) (*simulation, []*attempt, time.Time) {
	si := newSimulation(rapid.Uint64().Draw(t, "seed"), monthEnd)
	si.lossPercent = rapid.SampledFrom([]int{0, 5, 20}).Draw(t, "loss")
	si.latePercent = rapid.SampledFrom([]int{0, 20, 50}).Draw(t, "late")
	pausePercent := rapid.SampledFrom([]int{0, 2, 10}).Draw(t, "pause")
	ow := newOwner("glenrug")
	si.setup(ow)
	var last time.Time
	for range rapid.IntRange(1, 3).Draw(t, "restores") {
		at := si.now.Add(time.Duration(si.random.IntN(60_000)) * time.Millisecond)
		back := at.Add(time.Duration(si.random.IntN(10_000)) * time.Millisecond)
		si.at(at, func() {
			copied := si.objects.Backup()
			si.at(back, func() { si.objects.Restore(copied) })
		})
		if back.After(last) {
			last = back
		}
	}
	var attempts []*attempt
	for range rapid.IntRange(2, 20).Draw(t, "changes") {
		at := &attempt{number: len(attempts), owner: ow.name}
		attempts = append(attempts, at)
		begin := si.now.Add(time.Duration(si.random.IntN(90_000)) * time.Millisecond)
		si.at(begin, func() { si.startAttempt(at, ow, pausePercent) })
	}
	for range collections {
		si.at(si.now.Add(time.Duration(si.random.IntN(90))*time.Second), func() {
			deadline := si.now.Add(20 * time.Second)
			si.startProcess(change.NewGarbageCollection(), func() time.Time { return deadline }, pausePercent, func() {})
		})
	}
	si.run()
	return si, attempts, last
}

// checkChangesAfter checks that the outcome of each change that began after the time
// agrees with the history.
func checkChangesAfter(t *rapid.T, si *simulation, attempts []*attempt, after time.Time) {
	applied := make(map[string]int)
	for _, en := range si.history() {
		applied[en.Summary]++
	}
	for _, at := range attempts {
		name := addServiceEdit(at.number).Summary
		times := applied[name]
		if times > 1 {
			t.Fatalf("change %s applied %d times", name, times)
		}
		if !at.called.After(after) {
			continue
		}
		if at.outcome.Kind == change.OutcomeAccepted && times != 1 {
			t.Fatalf("accepted change %s is lost", name)
		}
		if at.outcome.Kind == change.OutcomeRefused && times != 0 {
			t.Fatalf("refused change %s took effect: %s", name, at.outcome.Reason)
		}
	}
}

func TestRestoreLeavesNoRootWithoutItsShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		si, attempts, last := raceAcrossRestores(t, 0)
		checkChangesAfter(t, si, attempts, last)
	})
}

func TestCollectionAcrossARestoreSparesTheShardsOfTheRoot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		si, attempts, last := raceAcrossRestores(t, 4)
		checkChangesAfter(t, si, attempts, last)
	})
}
