package rollout_test

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/standin/platform"
	"corneltiller.dev/corneltiller/internal/standin/spread"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if fl := flag.Lookup(name); fl != nil && fl.Value.String() == fl.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// checkVersionsIncrease checks that no instance applied a version that is not
// newer than the one before.
func checkVersionsIncrease(t *rapid.T, fl *spread.Fleet) {
	for _, no := range fl.Nodes {
		var last catalog.Version
		for _, ve := range no.Applied {
			if !last.Less(ve) || ve.Number <= last.Number {
				t.Fatalf("%s applied %s after %s", no.Member.Address, ve, last)
			}
			last = ve
		}
	}
}

func TestInstancesFollowUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fl := spread.New(spread.Options{
			Instances:         rapid.IntRange(1, 12).Draw(t, "instances"),
			Domains:           3,
			LossPercent:       rapid.SampledFrom([]int{0, 10, 40}).Draw(t, "loss"),
			StoreLossPercent:  rapid.SampledFrom([]int{0, 10, 40}).Draw(t, "storeLoss"),
			StaleWatchPercent: rapid.SampledFrom([]int{0, 20, 50}).Draw(t, "stale"),
			Seed:              rapid.Uint64().Draw(t, "seed"),
		})
		var backup *platform.Objects
		changes := 0
		var highest catalog.Version
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"change", "change", "down", "up", "restart", "stop", "backup", "restore", "wait"}).Draw(t, "step") {
			case "change":
				// The console refuses changes while the store holds an older version
				// than the one in force.
				if !fl.StoreVersion().Less(highest) {
					changes++
					fl.Change(spread.AddService(changes))
				}
			case "down":
				fl.StoreDown = true
			case "up":
				fl.StoreDown = false
			case "restart":
				fl.Restart(fl.Nodes[rapid.IntRange(0, len(fl.Nodes)-1).Draw(t, "node")])
			case "stop":
				fl.Nodes[rapid.IntRange(0, len(fl.Nodes)-1).Draw(t, "node")].Stopped = true
			case "backup":
				backup = fl.Objects.Backup()
			case "restore":
				if backup != nil {
					fl.RestoreStore(backup)
				}
			}
			fl.Run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause")) * time.Millisecond)
			checkVersionsIncrease(t, fl)
			highest = newer(highest, highestApplied(fl))
		}
		highest = highestApplied(fl)
		fl.StoreDown = false
		fl.Options.LossPercent, fl.Options.StoreLossPercent, fl.Options.StaleWatchPercent = 0, 0, 0
		for _, no := range fl.Nodes {
			if no.Stopped {
				fl.Restart(no)
			}
		}
		fl.Run(3 * time.Minute)
		checkVersionsIncrease(t, fl)
		target := newer(fl.StoreVersion(), highest)
		current, running := fl.CountInForce(target)
		if current != running {
			t.Fatalf("%d of %d instances have %s in force", current, running, target)
		}
	})
}

// newer returns the newer of two versions.
func newer(first, second catalog.Version) catalog.Version {
	if first.Less(second) {
		return second
	}
	return first
}

// highestApplied returns the highest version that a running instance has in force.
func highestApplied(fl *spread.Fleet) catalog.Version {
	var highest catalog.Version
	for _, no := range fl.Nodes {
		if ve := no.Replica.State().Version(); !no.Stopped && highest.Less(ve) {
			highest = ve
		}
	}
	return highest
}

func TestFleet(t *testing.T) {
	Convey("Given a fleet of 40 instances in 4 failure domains", t, func() {
		fl := spread.New(spread.Options{Instances: 40, Domains: 4, LossPercent: 10, Seed: 7})
		_, ok := fl.RunUntilInForce(time.Minute)
		So(ok, ShouldBeTrue)

		Convey("two instances of each failure domain watch the root object", func() {
			watchers := make(map[string]int)
			for _, no := range fl.Nodes {
				if no.Replica.IsWatcher() {
					watchers[no.Member.Domain]++
				}
			}
			So(watchers, ShouldResemble, map[string]int{"domain-0": 2, "domain-1": 2, "domain-2": 2, "domain-3": 2})
		})
		Convey("a change is in force everywhere within 5 seconds, and every instance reports that", func() {
			fl.Change(spread.AddService(1))
			elapsed, ok := fl.RunUntilInForce(time.Minute)
			So(ok, ShouldBeTrue)
			So(elapsed, ShouldBeLessThan, 5*time.Second)
			fl.Run(2 * time.Minute)
			for _, no := range fl.Nodes {
				rp := no.Replica.InForce(fl.Now)
				So(rp.Instances, ShouldEqual, 40)
				So(rp.Current, ShouldEqual, 40)
				So(rp.InForceOnAll(40), ShouldResemble, fl.StoreVersion())
			}
		})
		Convey("an instance that lags is counted and listed as a laggard", func() {
			lagging := fl.Nodes[17]
			fl.Run(2 * time.Minute)
			lagging.Stopped = true
			fl.Change(spread.AddService(1))
			fl.Run(30 * time.Second)
			rp := fl.Nodes[0].Replica.InForce(fl.Now)
			So(rp.Instances, ShouldEqual, 40)
			So(rp.Current, ShouldEqual, 39)
			So(rp.Laggards, ShouldContain, lagging.Member.Address)
			So(rp.InForceOnAll(40).Less(fl.StoreVersion()), ShouldBeTrue)
		})
		Convey("an instance that starts while the store is down gets the configuration from a peer", func() {
			fl.StoreDown = true
			fl.Restart(fl.Nodes[3])
			fl.Run(10 * time.Second)
			So(fl.Nodes[3].Replica.State().Version(), ShouldResemble, fl.StoreVersion())
		})
		Convey("a store with an older version than the one in force leads to a notice and is not applied", func() {
			backup := fl.Objects.Backup()
			fl.Change(spread.AddService(1))
			fl.Change(spread.AddService(2))
			_, ok := fl.RunUntilInForce(time.Minute)
			So(ok, ShouldBeTrue)
			high := fl.StoreVersion()
			fl.RestoreStore(backup)
			fl.Run(time.Minute)
			current, running := fl.CountInForce(high)
			So(current, ShouldEqual, running)
			So(fl.Notices, ShouldNotBeEmpty)
			So(fl.Notices[0].Kind, ShouldEqual, rollout.NoticeStoreBehind)
			So(fl.Notices[0].InForce, ShouldResemble, high)
		})
	})
}
