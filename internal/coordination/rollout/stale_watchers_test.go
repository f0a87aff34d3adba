package rollout_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/standin/spread"
)

// staleSeeds is the number of fleets that each test of lost watchers plays.
const staleSeeds = 5

// loseWatchers takes the store from all instances that always watch it.
func loseWatchers(fl *spread.Fleet, lose func(no *spread.Node)) {
	for _, no := range fl.Nodes {
		if no.Replica.IsWatcher() {
			lose(no)
		}
	}
}

// Guards against instances that take watchers for working because they still announce
// their version: a change was read only after 90 to 180 s.
func TestChangeIsReadThoughNoWatcherReachesTheStore(t *testing.T) {
	losses := []struct {
		kind string
		lose func(no *spread.Node)
	}{
		{"get no answer from the store", func(no *spread.Node) { no.StoreLost = true }},
		{"are refused by the store", func(no *spread.Node) { no.StoreRejects = true }},
	}
	for _, it := range losses {
		Convey("Changes are in force everywhere in time though all watchers "+it.kind, t, func() {
			for seed := range uint64(staleSeeds) {
				fl := spread.New(spread.Options{Instances: 40, Domains: 4, LossPercent: 10, Seed: seed})
				_, ok := fl.RunUntilInForce(time.Minute)
				So(ok, ShouldBeTrue)
				fl.Run(time.Duration(30+seed) * time.Second)
				loseWatchers(fl, it.lose)
				for i := range 5 {
					fl.Run(time.Duration(7*i) * time.Second)
					fl.Change(spread.AddService(i))
					elapsed, _ := fl.RunUntilInForce(4 * time.Minute)
					So(elapsed, ShouldBeLessThan, timeToInForce)
				}
			}
		})
	}
}

// Guards against an instance for which only its own failure domain's watchers count, and
// against reserves that are turned away too.
func TestChangeIsReadThoughMostInstancesAreTurnedAway(t *testing.T) {
	Convey("A change is in force everywhere in time though only two of 40 instances reach the store, none of them a watcher", t, func() {
		for seed := range uint64(staleSeeds) {
			fl := spread.New(spread.Options{Instances: 40, Domains: 4, LossPercent: 10, Seed: seed})
			_, ok := fl.RunUntilInForce(time.Minute)
			So(ok, ShouldBeTrue)
			fl.Run(time.Minute)
			left := 2
			for _, no := range fl.Nodes {
				if left > 0 && !no.Replica.IsWatcher() {
					left--
					continue
				}
				no.StoreRejects = true
			}
			fl.Change(spread.AddService(1))
			elapsed, _ := fl.RunUntilInForce(4 * time.Minute)
			So(elapsed, ShouldBeLessThan, timeToInForce)
		}
	})
}

// Guards against reserves that go on watching, or read again and again, while the
// watchers work.
func TestReservesAreQuietWhileTheWatchersWork(t *testing.T) {
	Convey("The store's calls in quiet don't grow with the fleet, also after all watchers were lost for a while", t, func() {
		fl := spread.New(spread.Options{Instances: 200, Domains: 4, LossPercent: 10, Seed: 3})
		fl.Run(time.Minute)
		loseWatchers(fl, func(no *spread.Node) { no.StoreLost = true })
		fl.Run(time.Minute)
		for _, no := range fl.Nodes {
			no.StoreLost = false
		}
		fl.Run(time.Minute)
		before := fl.Calls.Total()
		fl.Run(time.Minute)
		So(fl.Calls.Total()-before, ShouldBeLessThan, 2*60*8/6)
	})
}
