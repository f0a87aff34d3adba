package fleet

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/roster"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// removalLimit is the time within which every balancer must have removed a
// crashed host from rotation.
const removalLimit = 3 * time.Second

// allBalancers reports whether the condition holds for every balancer that has
// neither crashed nor left.
func (fl *Fleet) allBalancers(condition func(nd *Node) bool) bool {
	for _, nd := range fl.Balancers {
		if !nd.crashed && !nd.left && !condition(nd) {
			return false
		}
	}
	return true
}

// standing returns the standing of another node in the node's roster.
func (fl *Fleet) standing(nd, other *Node) roster.Standing {
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

func TestCrashedHostLeavesRotationInTime(t *testing.T) {
	Convey("Every balancer removes a crashed host from rotation within 3 s at 10% loss", t, func() {
		for seed := range uint64(4) {
			fl := New(Options{Balancers: 40, Hosts: 210, Domains: 9, Seed: seed})
			fl.Loss = 0.1
			fl.Run(3 * time.Second)
			crashed := fl.Hosts[seed*7]
			fl.Crash(crashed)
			took, ok := fl.RunUntil(removalLimit, 50*time.Millisecond, func() bool {
				return fl.allBalancers(func(nd *Node) bool {
					return fl.standing(nd, crashed) == roster.StandingRemoved
				})
			})
			if !ok {
				So(took, ShouldBeLessThan, removalLimit)
			}
		}
	})
}

func TestNoFalseRemovals(t *testing.T) {
	Convey("No node is removed at 10% loss while a balancer receives nothing from hosts", t, func() {
		for seed := range uint64(2) {
			fl := New(Options{Balancers: 12, Hosts: 60, Domains: 9, Seed: seed})
			fl.Loss, fl.Duplicate, fl.Jitter = 0.1, 0.1, 50*time.Millisecond
			unreached := fl.Balancers[seed]
			fl.Blocked = func(from, to *Node) bool {
				return to == unreached && from.Role == roster.RoleHost
			}
			fl.Run(90 * time.Second)
			So(fl.removals(), ShouldBeEmpty)
		}
	})
	Convey("No node is removed when one failure domain receives nothing from another", t, func() {
		fl := New(Options{Balancers: 9, Hosts: 27, Domains: 3, Seed: 3})
		receiver, sender := fl.Balancers[0].Domain, fl.Balancers[1].Domain
		fl.Blocked = func(from, to *Node) bool { return from.Domain == sender && to.Domain == receiver }
		fl.Run(time.Minute)
		So(fl.removals(), ShouldBeEmpty)
	})
	Convey("A balancer that was paused for 20 s removes no node when it resumes", t, func() {
		fl := New(Options{Balancers: 3, Hosts: 9, Seed: 4})
		fl.Run(2 * time.Second)
		fl.Pause(fl.Balancers[0])
		fl.Run(20 * time.Second)
		before := len(fl.Balancers[0].Removals)
		fl.Resume(fl.Balancers[0])
		fl.Run(20 * time.Second)
		So(len(fl.Balancers[0].Removals), ShouldEqual, before)
		So(fl.allBalancers(func(nd *Node) bool {
			return fl.standing(nd, fl.Balancers[0]) == roster.StandingPresent
		}), ShouldBeTrue)
	})
}

func TestPausedHostReturns(t *testing.T) {
	Convey("A host paused for 8 s is removed, and refutes the removal when it resumes", t, func() {
		fl := New(Options{Balancers: 4, Hosts: 9, Seed: 5})
		fl.Run(2 * time.Second)
		host := fl.Hosts[2]
		fl.Pause(host)
		fl.Run(8 * time.Second)
		So(fl.allBalancers(func(nd *Node) bool { return fl.standing(nd, host) == roster.StandingRemoved }), ShouldBeTrue)
		fl.Resume(host)
		_, ok := fl.RunUntil(3*time.Second, 100*time.Millisecond, func() bool {
			return fl.allBalancers(func(nd *Node) bool { return fl.standing(nd, host) == roster.StandingPresent })
		})
		So(ok, ShouldBeTrue)
	})
}

func TestMassSuspicionIsDistrusted(t *testing.T) {
	Convey("When most hosts of a service stop answering at once they stay in rotation", t, func() {
		fl := New(Options{Balancers: 9, Hosts: 28, Domains: 3, Seed: 6})
		fl.Run(2 * time.Second)
		service := fl.Hosts[0].Service
		for _, nd := range fl.Hosts[:5] {
			fl.Pause(nd)
		}
		fl.Run(6 * time.Second)
		So(fl.allBalancers(func(nd *Node) bool {
			return len(nd.Core.Roster().Rotation(service, fl.Now)) == 7 &&
				len(nd.Core.Roster().Distrusted(fl.Now)) >= 5
		}), ShouldBeTrue)
		Convey("and leave it when they stay silent for the hold time", func() {
			fl.Run(roster.DistrustHold)
			So(fl.allBalancers(func(nd *Node) bool {
				return len(nd.Core.Roster().Rotation(service, fl.Now)) == 2
			}), ShouldBeTrue)
		})
		Convey("and are present again when they resume", func() {
			for _, nd := range fl.Hosts[:5] {
				fl.Resume(nd)
			}
			fl.Run(3 * time.Second)
			So(fl.allBalancers(func(nd *Node) bool {
				return len(nd.Core.Roster().Distrusted(fl.Now)) == 0
			}), ShouldBeTrue)
		})
	})
	Convey("The last hosts of a service stay in rotation", t, func() {
		fl := New(Options{Balancers: 9, Hosts: 28, Domains: 3, Seed: 7})
		for _, nd := range fl.Hosts[:7] {
			fl.Crash(nd)
		}
		_, ok := fl.RunUntil(5*time.Minute, time.Second, func() bool {
			return fl.allBalancers(func(nd *Node) bool {
				return !slices.ContainsFunc(fl.Hosts[:7], func(ho *Node) bool {
					return fl.standing(nd, ho) != roster.StandingRemoved
				})
			})
		})
		So(ok, ShouldBeTrue)
		So(fl.allBalancers(func(nd *Node) bool {
			return len(nd.Core.Roster().Rotation(fl.Hosts[0].Service, fl.Now)) == 7
		}), ShouldBeTrue)
	})
}

func TestPartitionedRegionsConverge(t *testing.T) {
	Convey("Regions partitioned for 5 minutes converge, changes on both sides included", t, func() {
		fl := New(Options{Balancers: 12, Hosts: 56, Domains: 6, Seed: 8})
		region := func(nd *Node) byte { return nd.Domain[len("region-")] }
		fl.Blocked = func(from, to *Node) bool { return region(from) != region(to) }
		fl.Run(time.Minute)
		fl.Crash(fl.Hosts[1])
		fl.Crash(fl.Hosts[4])
		fl.Perform(fl.Hosts[2], fl.Hosts[2].Core.SetState(register.StateDraining, fl.Now))
		fl.AddHost()
		fl.Run(4 * time.Minute)
		fl.Blocked = nil
		ch := &checker{fl: fl}
		took, ok := fl.RunUntil(time.Minute, time.Second, func() bool { return ch.checkConverged() == nil })
		if !ok {
			So(ch.checkConverged(), ShouldBeNil)
		}
		So(took, ShouldBeLessThan, time.Minute)
	})
}

func TestLateRecordOfCrashedHost(t *testing.T) {
	Convey("A record announced before a crash and received after it does not restore the host", t, func() {
		fl := New(Options{Balancers: 5, Hosts: 9, Seed: 9})
		fl.Run(2 * time.Second)
		crashed := fl.Hosts[0]
		delayed := crashed.Core.SetState(register.StateDraining, fl.Now)
		fl.Crash(crashed)
		fl.Run(5 * time.Second)
		fl.Perform(crashed, delayed)
		fl.Run(15 * time.Second)
		So(fl.allBalancers(func(nd *Node) bool {
			return fl.standing(nd, crashed) == roster.StandingRemoved
		}), ShouldBeTrue)
	})
}

func TestManyCrashedHostsDoNotDelayGossip(t *testing.T) {
	Convey("A balancer that resumes after many hosts crashed has the current view within 20 s", t, func() {
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

func TestHostThatLeftStaysGone(t *testing.T) {
	Convey("A host that left is neither restored by an older record nor removed", t, func() {
		fl := New(Options{Balancers: 4, Hosts: 9, Seed: 11})
		fl.Run(time.Second)
		leaver := fl.Hosts[3]
		older := leaver.Core.SetState(register.StateDraining, fl.Now)
		fl.Perform(leaver, leaver.Core.SetState(register.StateGone, fl.Now))
		fl.Run(time.Second)
		fl.Perform(leaver, older)
		fl.Crash(leaver)
		fl.Run(30 * time.Second)
		So(fl.allBalancers(func(nd *Node) bool { return fl.standing(nd, leaver) == roster.StandingGone }), ShouldBeTrue)
		So(fl.removals(), ShouldBeEmpty)
	})
}

func TestJoinSurvivesDonorLoss(t *testing.T) {
	Convey("A joining balancer gets the whole view although two balancers crash at any step", t, func() {
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
			_, ok := fl.RunUntil(5*time.Second, 10*time.Millisecond, func() bool { return !joiner.JoinedAt.IsZero() })
			So(ok, ShouldBeTrue)
			So(joiner.Core.Roster().Len(), ShouldBeGreaterThanOrEqualTo, 405)
			So(joiner.Core.ViewID().Generation, ShouldEqual, fl.Balancers[2].Core.ViewID().Generation)
		}
	})
}

// crashWithWatchers crashes the first host and the given number of its watchers, of
// which there must be WatcherCount, and returns the host.
func (fl *Fleet) crashWithWatchers(count int) *Node {
	crashed := fl.Hosts[0]
	watchers := crashed.Core.Announcer().Watchers()
	So(watchers, ShouldHaveLength, roster.WatcherCount)
	for _, pe := range watchers[:count] {
		fl.Crash(fl.nodes[pe.Address])
	}
	fl.Crash(crashed)
	return crashed
}

func TestHostCrashesWithItsWatchers(t *testing.T) {
	Convey("A host that crashes together with two of its watchers is removed", t, func() {
		fl := New(Options{Balancers: 9, Hosts: 12, Domains: 9, Seed: 12})
		fl.Run(2 * time.Second)
		crashed := fl.crashWithWatchers(2)
		_, ok := fl.RunUntil(20*time.Second, time.Second, func() bool {
			return fl.allBalancers(func(nd *Node) bool { return fl.standing(nd, crashed) == roster.StandingRemoved })
		})
		So(ok, ShouldBeTrue)
	})
}

func TestHostThatCrashesWithAllItsWatchersIsRemoved(t *testing.T) {
	Convey("A host that crashes together with all of its watchers is removed by the others", t, func() {
		fl := New(Options{Balancers: 9, Hosts: 12, Domains: 9, Seed: 12})
		fl.Run(2 * time.Second)
		crashed := fl.crashWithWatchers(roster.WatcherCount)
		_, ok := fl.RunUntil(5*time.Minute, time.Second, func() bool {
			return fl.allBalancers(func(nd *Node) bool { return fl.standing(nd, crashed) == roster.StandingRemoved })
		})
		So(ok, ShouldBeTrue)
	})
}

func TestLoneBalancerRemovesNobody(t *testing.T) {
	Convey("A balancer without a majority of the watchers suspects a silent host and keeps it", t, func() {
		fl := New(Options{Balancers: 4, Hosts: 1, Domains: 4, Seed: 12})
		fl.Run(2 * time.Second)
		crashed := fl.crashWithWatchers(roster.WatcherCount)
		fl.Run(5 * time.Minute)
		So(fl.allBalancers(func(nd *Node) bool {
			suspected := slices.ContainsFunc(nd.Core.Suspects(fl.Now), func(su roster.Suspect) bool {
				return su.Subject == crashed.Subject() && len(su.Votes) <= 1 && len(su.Watchers) == roster.WatcherCount
			})
			return suspected && fl.standing(nd, crashed) == roster.StandingPresent
		}), ShouldBeTrue)
	})
}
