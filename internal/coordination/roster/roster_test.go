package roster

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
)

var began = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func controlOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7443)
}

func hostOf(number int, sequence uint64, st register.State) register.Host {
	return register.Host{
		Revision: register.Revision{Incarnation: 1, Sequence: sequence},
		Address:  netip.AddrPortFrom(controlOf(number).Addr(), 4433),
		Control:  controlOf(number),
		Service:  5,
		Domain:   "a",
		State:    st,
		Weight:   register.FullWeight,
	}
}

func apply(ro *Roster, ho register.Host) bool {
	it, err := HostItem(ho)
	So(err, ShouldBeNil)
	changed, err := ro.Apply(it, began)
	So(err, ShouldBeNil)
	return changed
}

func remove(ro *Roster, ho register.Host, now time.Time) {
	re := Removal{Subject: Subject{Role: RoleHost, Address: ho.Address}, Revision: ho.Revision}
	it, err := RemovalItem(re, uint32(ho.Service))
	So(err, ShouldBeNil)
	_, err = ro.Apply(it, now)
	So(err, ShouldBeNil)
}

func standingOf(ro *Roster, ho register.Host, now time.Time) Standing {
	me, _ := ro.Member(Subject{Role: RoleHost, Address: ho.Address})
	return me.Standing(now)
}

func TestViewIsAJoin(t *testing.T) {
	Convey("An older record changes nothing, not even a Gone one", t, func() {
		ro := New()
		So(apply(ro, hostOf(1, 3, register.StateGone)), ShouldBeTrue)
		So(apply(ro, hostOf(1, 2, register.StateReady)), ShouldBeFalse)
		So(apply(ro, hostOf(1, 3, register.StateReady)), ShouldBeFalse)
		So(standingOf(ro, hostOf(1, 0, 0), began), ShouldEqual, StandingGone)
	})
	Convey("A removal counts whether it comes before or after the record", t, func() {
		for _, first := range []bool{true, false} {
			ro := New()
			ho := hostOf(1, 2, register.StateReady)
			if first {
				remove(ro, ho, began)
			}
			apply(ro, ho)
			if !first {
				remove(ro, ho, began)
			}
			So(standingOf(ro, ho, began), ShouldEqual, StandingRemoved)
			apply(ro, hostOf(1, 3, register.StateReady))
			So(standingOf(ro, ho, began), ShouldEqual, StandingPresent)
		}
	})
	Convey("A malformed item is refused", t, func() {
		_, err := New().Apply(delivery.Item{Kind: delivery.KindHost, Body: []byte{1}}, began)
		So(err, ShouldNotBeNil)
		_, err = New().Apply(delivery.Item{Kind: delivery.KindHostRemoval, Body: []byte{1}}, began)
		So(err, ShouldNotBeNil)
	})
}

func TestRotationKeepsTheLastHosts(t *testing.T) {
	Convey("When all hosts of a service were removed they stay in rotation", t, func() {
		ro := New()
		for number := range 3 {
			apply(ro, hostOf(number, 1, register.StateReady))
		}
		for number := range 3 {
			remove(ro, hostOf(number, 1, register.StateReady), began.Add(time.Duration(number)*time.Minute))
		}
		later := began.Add(time.Hour)
		So(standingOf(ro, hostOf(0, 0, 0), later), ShouldEqual, StandingRemoved)
		So(ro.Rotation(5, later), ShouldHaveLength, 3)
		for _, ho := range ro.TakeChangedHosts(later) {
			So(ho.State, ShouldEqual, register.StateReady)
		}
	})
}

func TestProjectShowsRemovalsAndReturns(t *testing.T) {
	Convey("A removed host is Gone in the projection and comes back by a refutation", t, func() {
		ro := New()
		for number := range 3 {
			apply(ro, hostOf(number, 1, register.StateReady))
		}
		So(ro.TakeChangedHosts(began), ShouldHaveLength, 3)
		So(ro.TakeChangedHosts(began), ShouldBeEmpty)
		remove(ro, hostOf(0, 1, register.StateReady), began)
		gone := ro.TakeChangedHosts(began)
		So(gone, ShouldHaveLength, 1)
		So(gone[0].State, ShouldEqual, register.StateGone)
		apply(ro, hostOf(0, 2, register.StateReady))
		back := ro.TakeChangedHosts(began)
		So(back, ShouldHaveLength, 1)
		So(back[0].State, ShouldEqual, register.StateReady)
		So(back[0].Supersedes(gone[0].Revision), ShouldBeTrue)
	})
}

// watched returns a watcher that was told of one host by three watchers.
func watched() (*Watcher, Subject) {
	wa := NewWatcher(controlOf(1), New(), delivery.NewBudget(began))
	su := Subject{Role: RoleHost, Address: hostOf(9, 0, 0).Address}
	wa.Receive(controlOf(9), Message{Heartbeat: &Heartbeat{
		Subject:  su,
		Revision: register.Revision{Incarnation: 1, Sequence: 1},
		Beat:     7,
		Watchers: []netip.AddrPort{controlOf(1), controlOf(2), controlOf(3)},
	}}, began)
	return wa, su
}

// pass ticks the watcher and returns when it published a removal.
func pass(wa *Watcher, until time.Time, voters ...int) (time.Time, bool) {
	su := Suspicion{Subject: Subject{Role: RoleHost, Address: hostOf(9, 0, 0).Address}, Incarnation: 1, Beat: 7}
	for now := began; now.Before(until); now = now.Add(100 * time.Millisecond) {
		for _, voter := range voters {
			wa.Receive(controlOf(voter), Message{Suspicion: &su}, now)
		}
		for _, act := range wa.Tick(now) {
			if _, ok := act.(Publish); ok {
				return now, true
			}
		}
	}
	return time.Time{}, false
}

func TestRemovalNeedsMajorityAndTime(t *testing.T) {
	cases := []struct {
		name    string
		voters  []int
		removed bool
	}{
		{"alone", nil, false},
		{"with a stranger", []int{4}, false},
		{"with one other watcher", []int{2}, true},
		{"with both other watchers", []int{2, 3}, true},
	}
	for _, ca := range cases {
		Convey("A watcher that suspects "+ca.name, t, func() {
			wa, _ := watched()
			at, removed := pass(wa, began.Add(10*time.Second), ca.voters...)
			So(removed, ShouldEqual, ca.removed)
			if removed {
				So(at, ShouldHappenOnOrAfter, began.Add(SuspectAfter+RefuteWindow))
			}
		})
	}
	Convey("A later beat from anybody ends the suspicion", t, func() {
		wa, su := watched()
		pass(wa, began.Add(SuspectAfter+300*time.Millisecond), 2)
		now := began.Add(SuspectAfter + 400*time.Millisecond)
		So(wa.Suspects(now), ShouldHaveLength, 1)
		wa.Receive(controlOf(3), Message{Proof: &Refutation{Subject: su, Incarnation: 1, Beat: 8, Age: time.Second}}, now)
		So(wa.Suspects(now), ShouldBeEmpty)
	})
	Convey("A proof as old as the silence does not end it", t, func() {
		wa, su := watched()
		pass(wa, began.Add(SuspectAfter+300*time.Millisecond), 2)
		now := began.Add(SuspectAfter + 400*time.Millisecond)
		wa.Receive(controlOf(3), Message{Proof: &Refutation{Subject: su, Incarnation: 1, Beat: 8, Age: SuspectAfter + time.Second}}, now)
		So(wa.Suspects(now), ShouldHaveLength, 1)
	})
	Convey("A watcher that was paused itself suspects nobody when it resumes", t, func() {
		wa, _ := watched()
		wa.Tick(began)
		So(wa.Tick(began.Add(time.Minute)), ShouldBeEmpty)
		So(wa.Suspects(began.Add(time.Minute)), ShouldBeEmpty)
		So(wa.Tick(began.Add(time.Minute+100*time.Millisecond)), ShouldBeEmpty)
	})
}

func TestLivenessLeavesGossipItsPart(t *testing.T) {
	Convey("Heartbeats and suspicions can't take the whole budget", t, func() {
		bu := delivery.NewBudget(began)
		now := began
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			for bu.TakeLiveness(now, 40) {
				continue
			}
		}
		So(bu.Spent(), ShouldBeLessThanOrEqualTo, delivery.LivenessBurstBytes+10*delivery.LivenessBytesPerSecond)
		So(bu.Available(now, delivery.LivenessReserveBytes), ShouldBeGreaterThan, 0)
	})
}

func TestWatchersAreSpreadAndStable(t *testing.T) {
	Convey("Watchers come from different failure domains, the own one first", t, func() {
		var peers []delivery.Peer
		for number := range 30 {
			peers = append(peers, delivery.Peer{Address: controlOf(number), Domain: string(rune('a' + number%5))})
		}
		moved := 0
		for number := range 100 {
			su := Subject{Role: RoleHost, Address: hostOf(100+number, 0, 0).Address}
			chosen := ChooseWatchers(su, "b", peers)
			So(chosen, ShouldHaveLength, WatcherCount)
			So(chosen[0].Domain, ShouldEqual, "b")
			So(chosen[1].Domain, ShouldNotEqual, chosen[2].Domain)
			for _, pe := range ChooseWatchers(su, "b", peers[:29]) {
				if pe != chosen[0] && pe != chosen[1] && pe != chosen[2] {
					moved++
				}
			}
		}
		So(moved, ShouldBeBetween, 0, 30)
	})
}
