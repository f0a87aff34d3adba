package fleet

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/roster"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// rotationLimit is how soon a crashed host must be out of rotation.
const rotationLimit = 3 * time.Second

// everyBalancer reports whether the condition holds at all running balancers.
func (fl *Fleet) everyBalancer(condition func(nd *Node) bool) bool {
	for _, nd := range fl.Balancers {
		if !nd.crashed && !nd.left && !condition(nd) {
			return false
		}
	}
	return true
}

// sees returns the node's conclusion about another.
func (fl *Fleet) sees(nd, other *Node) roster.Standing {
	me, _ := nd.Core.Roster().Member(other.Subject())
	return me.Standing(fl.Now)
}

func (fl *Fleet) removals() []roster.Removal {
	var all []roster.Removal
	for _, nd := range fl.Balancers {
		all = append(all, nd.Removals...)
	}
	return all
}

func TestCrashLeavesRotationInTime(t *testing.T) {
	Convey("A crashed host is out of rotation everywhere in 3 s at 10% loss", t, func() {
		for seed := range uint64(4) {
			fl := New(Options{Balancers: 40, Hosts: 210, Domains: 9, Seed: seed})
			fl.Loss = 0.1
			fl.Run(3 * time.Second)
			victim := fl.Hosts[seed*7]
			fl.Crash(victim)
			took, ok := fl.RunUntil(rotationLimit, 50*time.Millisecond, func() bool {
				return fl.everyBalancer(func(nd *Node) bool {
					return fl.sees(nd, victim) == roster.StandingRemoved
				})
			})
			if !ok {
				So(took, ShouldBeLessThan, rotationLimit)
			}
		}
	})
}

func TestNoFalseRemovals(t *testing.T) {
	Convey("Ten percent loss and one-way partitions remove nobody", t, func() {
		for seed := range uint64(2) {
			fl := New(Options{Balancers: 12, Hosts: 60, Domains: 9, Seed: seed})
			fl.Loss, fl.Duplicate, fl.Jitter = 0.1, 0.1, 50*time.Millisecond
			cut := fl.Balancers[seed]
			fl.Blocked = func(from, to *Node) bool {
				return to == cut && from.Role == roster.RoleHost
			}
			fl.Run(90 * time.Second)
			So(fl.removals(), ShouldBeEmpty)
		}
	})
	Convey("A domain that hears nothing of another removes nobody alone", t, func() {
		fl := New(Options{Balancers: 9, Hosts: 27, Domains: 3, Seed: 3})
		deaf, silent := fl.Balancers[0].Domain, fl.Balancers[1].Domain
		fl.Blocked = func(from, to *Node) bool { return from.Domain == silent && to.Domain == deaf }
		fl.Run(time.Minute)
		So(fl.removals(), ShouldBeEmpty)
	})
	Convey("A balancer that was paused for 20 s removes nobody when it resumes", t, func() {
		fl := New(Options{Balancers: 3, Hosts: 9, Seed: 4})
		fl.Run(2 * time.Second)
		fl.Pause(fl.Balancers[0])
		fl.Run(20 * time.Second)
		before := len(fl.Balancers[0].Removals)
		fl.Resume(fl.Balancers[0])
		fl.Run(20 * time.Second)
		So(len(fl.Balancers[0].Removals), ShouldEqual, before)
		So(fl.everyBalancer(func(nd *Node) bool {
			return fl.sees(nd, fl.Balancers[0]) == roster.StandingPresent
		}), ShouldBeTrue)
	})
}

func TestPausedHostComesBack(t *testing.T) {
	Convey("A host paused for 8 s is removed and refutes when it resumes", t, func() {
		fl := New(Options{Balancers: 4, Hosts: 9, Seed: 5})
		fl.Run(2 * time.Second)
		host := fl.Hosts[2]
		fl.Pause(host)
		fl.Run(8 * time.Second)
		So(fl.everyBalancer(func(nd *Node) bool { return fl.sees(nd, host) == roster.StandingRemoved }), ShouldBeTrue)
		fl.Resume(host)
		_, ok := fl.RunUntil(3*time.Second, 100*time.Millisecond, func() bool {
			return fl.everyBalancer(func(nd *Node) bool { return fl.sees(nd, host) == roster.StandingPresent })
		})
		So(ok, ShouldBeTrue)
	})
}

func TestMassSuspicionIsDistrusted(t *testing.T) {
	Convey("When most hosts of a service fall silent at once they stay in rotation", t, func() {
		fl := New(Options{Balancers: 9, Hosts: 28, Domains: 3, Seed: 6})
		fl.Run(2 * time.Second)
		service := fl.Hosts[0].Service
		for _, nd := range fl.Hosts[:5] {
			fl.Pause(nd)
		}
		fl.Run(6 * time.Second)
		So(fl.everyBalancer(func(nd *Node) bool {
			return len(nd.Core.Roster().Rotation(service, fl.Now)) == 7 &&
				len(nd.Core.Roster().Distrusted(fl.Now)) >= 5
		}), ShouldBeTrue)
		Convey("and leave it when they stay silent", func() {
			fl.Run(roster.DistrustHold)
			So(fl.everyBalancer(func(nd *Node) bool {
				return len(nd.Core.Roster().Rotation(service, fl.Now)) == 2
			}), ShouldBeTrue)
		})
		Convey("and are present again when they resume", func() {
			for _, nd := range fl.Hosts[:5] {
				fl.Resume(nd)
			}
			fl.Run(3 * time.Second)
			So(fl.everyBalancer(func(nd *Node) bool {
				return len(nd.Core.Roster().Distrusted(fl.Now)) == 0
			}), ShouldBeTrue)
		})
	})
	Convey("The last hosts of a service stay in rotation", t, func() {
		fl := New(Options{Balancers: 9, Hosts: 28, Domains: 3, Seed: 7})
		for _, nd := range fl.Hosts[:7] {
			fl.Crash(nd)
		}
		fl.Run(time.Minute)
		So(fl.everyBalancer(func(nd *Node) bool {
			return len(nd.Core.Roster().Rotation(fl.Hosts[0].Service, fl.Now)) == 7
		}), ShouldBeTrue)
	})
}

func TestRegionsHealAfterMinutes(t *testing.T) {
	Convey("Regions apart for 5 minutes agree again, changes on both sides included", t, func() {
		fl := New(Options{Balancers: 12, Hosts: 56, Domains: 6, Seed: 8})
		region := func(nd *Node) byte { return nd.Domain[len("region-")] }
		fl.Blocked = func(from, to *Node) bool { return region(from) != region(to) }
		fl.Run(time.Minute)
		fl.Crash(fl.Hosts[1])
		fl.Crash(fl.Hosts[4])
		fl.Do(fl.Hosts[2], fl.Hosts[2].Core.SetState(register.StateDraining, fl.Now))
		fl.AddHost()
		fl.Run(4 * time.Minute)
		fl.Blocked = nil
		bo := &book{fl: fl}
		took, ok := fl.RunUntil(time.Minute, time.Second, func() bool { return bo.converged() == nil })
		if !ok {
			So(bo.converged(), ShouldBeNil)
		}
		So(took, ShouldBeLessThan, time.Minute)
	})
}

func TestRecordFromBeforeTheCrash(t *testing.T) {
	Convey("A record announced just before a crash does not bring the host back", t, func() {
		fl := New(Options{Balancers: 5, Hosts: 9, Seed: 9})
		fl.Run(2 * time.Second)
		victim := fl.Hosts[0]
		held := victim.Core.SetState(register.StateDraining, fl.Now)
		fl.Crash(victim)
		fl.Run(5 * time.Second)
		fl.Do(victim, held)
		fl.Run(15 * time.Second)
		So(fl.everyBalancer(func(nd *Node) bool {
			return fl.sees(nd, victim) == roster.StandingRemoved
		}), ShouldBeTrue)
	})
}

func TestSilentMajorityDoesNotStarveGossip(t *testing.T) {
	Convey("A balancer resumed among dead subjects learns the view in seconds", t, func() {
		fl := New(Options{Balancers: 5, Hosts: 60, Seed: 10})
		fl.Run(2 * time.Second)
		fl.Pause(fl.Balancers[0])
		for _, nd := range fl.Hosts[:20] {
			fl.Crash(nd)
		}
		fl.Run(10 * time.Second)
		fl.Resume(fl.Balancers[0])
		_, ok := fl.RunUntil(20*time.Second, time.Second, func() bool {
			return fl.Balancers[0].Core.Table().Root() == fl.Balancers[1].Core.Table().Root()
		})
		So(ok, ShouldBeTrue)
	})
}

func TestGoneStaysGone(t *testing.T) {
	Convey("A host that left is not brought back by older records or removals", t, func() {
		fl := New(Options{Balancers: 4, Hosts: 9, Seed: 11})
		fl.Run(time.Second)
		leaver := fl.Hosts[3]
		older := leaver.Core.SetState(register.StateDraining, fl.Now)
		fl.Do(leaver, leaver.Core.SetState(register.StateGone, fl.Now))
		fl.Run(time.Second)
		fl.Do(leaver, older)
		fl.Crash(leaver)
		fl.Run(30 * time.Second)
		So(fl.everyBalancer(func(nd *Node) bool { return fl.sees(nd, leaver) == roster.StandingGone }), ShouldBeTrue)
		So(fl.removals(), ShouldBeEmpty)
	})
}

func TestJoinSurvivesDonorLoss(t *testing.T) {
	Convey("A joiner gets the whole view although donors die at each step", t, func() {
		for step := range 8 {
			fl := New(Options{Balancers: 5, Hosts: 400, Seed: uint64(step)})
			fl.Run(time.Second)
			joiner := fl.AddBalancer()
			for range step {
				fl.Run(300 * time.Microsecond)
			}
			for _, nd := range fl.Balancers[:2] {
				fl.Crash(nd)
			}
			_, ok := fl.RunUntil(5*time.Second, 10*time.Millisecond, func() bool { return !joiner.Joined.IsZero() })
			So(ok, ShouldBeTrue)
			So(joiner.Core.Roster().Len(), ShouldBeGreaterThanOrEqualTo, 405)
			So(joiner.Core.ViewID().Generation, ShouldEqual, fl.Balancers[2].Core.ViewID().Generation)
		}
	})
}

func TestWatchersDieWithTheirHost(t *testing.T) {
	Convey("A host that dies together with two of its watchers is removed", t, func() {
		fl := New(Options{Balancers: 9, Hosts: 12, Domains: 9, Seed: 12})
		fl.Run(2 * time.Second)
		victim := fl.Hosts[0]
		for _, pe := range victim.Core.Announcer().Watchers()[:2] {
			fl.Crash(fl.nodes[pe.Address])
		}
		fl.Crash(victim)
		_, ok := fl.RunUntil(20*time.Second, time.Second, func() bool {
			return fl.everyBalancer(func(nd *Node) bool { return fl.sees(nd, victim) == roster.StandingRemoved })
		})
		So(ok, ShouldBeTrue)
	})
}
