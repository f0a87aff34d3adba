package roster

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
)

var startTime = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

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
	changed, err := ro.Apply(it, startTime)
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

func TestViewIsIndependentOfOrder(t *testing.T) {
	Convey("A record that is not newer changes nothing, also after the subject is Gone", t, func() {
		ro := New()
		So(apply(ro, hostOf(1, 3, register.StateGone)), ShouldBeTrue)
		So(apply(ro, hostOf(1, 2, register.StateReady)), ShouldBeFalse)
		So(apply(ro, hostOf(1, 3, register.StateReady)), ShouldBeFalse)
		So(standingOf(ro, hostOf(1, 0, 0), startTime), ShouldEqual, StandingGone)
	})
	Convey("A removal covers the record whichever arrives first, until a newer record", t, func() {
		for _, first := range []bool{true, false} {
			ro := New()
			ho := hostOf(1, 2, register.StateReady)
			if first {
				remove(ro, ho, startTime)
			}
			apply(ro, ho)
			if !first {
				remove(ro, ho, startTime)
			}
			So(standingOf(ro, ho, startTime), ShouldEqual, StandingRemoved)
			apply(ro, hostOf(1, 3, register.StateReady))
			So(standingOf(ro, ho, startTime), ShouldEqual, StandingPresent)
		}
	})
	Convey("A malformed item is an error", t, func() {
		_, err := New().Apply(delivery.Item{Kind: delivery.KindHost, Body: []byte{1}}, startTime)
		So(err, ShouldNotBeNil)
		_, err = New().Apply(delivery.Item{Kind: delivery.KindHostRemoval, Body: []byte{1}}, startTime)
		So(err, ShouldNotBeNil)
	})
}

func TestRotationKeepsTheLastHosts(t *testing.T) {
	Convey("When all hosts of a service are removed, they stay in rotation", t, func() {
		ro := New()
		for number := range 3 {
			apply(ro, hostOf(number, 1, register.StateReady))
		}
		for number := range 3 {
			remove(ro, hostOf(number, 1, register.StateReady), startTime.Add(time.Duration(number)*time.Minute))
		}
		later := startTime.Add(time.Hour)
		So(standingOf(ro, hostOf(0, 0, 0), later), ShouldEqual, StandingRemoved)
		So(ro.Rotation(5, later), ShouldHaveLength, 3)
		for _, ho := range ro.TakeChangedHosts(later) {
			So(ho.State, ShouldEqual, register.StateReady)
		}
	})
}

func TestTakeChangedHostsReportsRemovalsAndReturns(t *testing.T) {
	Convey("A removed host is returned as Gone, and as Ready after it refuted the removal", t, func() {
		ro := New()
		for number := range 3 {
			apply(ro, hostOf(number, 1, register.StateReady))
		}
		So(ro.TakeChangedHosts(startTime), ShouldHaveLength, 3)
		So(ro.TakeChangedHosts(startTime), ShouldBeEmpty)
		remove(ro, hostOf(0, 1, register.StateReady), startTime)
		gone := ro.TakeChangedHosts(startTime)
		So(gone, ShouldHaveLength, 1)
		So(gone[0].State, ShouldEqual, register.StateGone)
		apply(ro, hostOf(0, 2, register.StateReady))
		back := ro.TakeChangedHosts(startTime)
		So(back, ShouldHaveLength, 1)
		So(back[0].State, ShouldEqual, register.StateReady)
		So(back[0].Supersedes(gone[0].Revision), ShouldBeTrue)
	})
}

// newTestWatcher returns a watcher that received one heartbeat of a host, with a
// list of three watchers.
func newTestWatcher() (*Watcher, Subject) {
	wa := NewWatcher(controlOf(1), New(), delivery.NewBudget(startTime))
	su := Subject{Role: RoleHost, Address: hostOf(9, 0, 0).Address}
	wa.Receive(controlOf(9), Message{Heartbeat: &Heartbeat{
		Subject:  su,
		Revision: register.Revision{Incarnation: 1, Sequence: 1},
		Beat:     7,
		Watchers: []netip.AddrPort{controlOf(1), controlOf(2), controlOf(3)},
	}}, startTime)
	return wa, su
}

// tickUntilRemoval ticks the watcher while the voters suspect the host, and returns
// the time at which it published a removal, or false if it did not before until.
func tickUntilRemoval(wa *Watcher, until time.Time, voters ...int) (time.Time, bool) {
	su := Suspicion{Subject: Subject{Role: RoleHost, Address: hostOf(9, 0, 0).Address}, Incarnation: 1, Beat: 7}
	for now := startTime; now.Before(until); now = now.Add(100 * time.Millisecond) {
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
		{"with a balancer that does not watch", []int{4}, false},
		{"with one other watcher", []int{2}, true},
		{"with both other watchers", []int{2, 3}, true},
	}
	for _, ca := range cases {
		Convey("A watcher that suspects "+ca.name, t, func() {
			wa, _ := newTestWatcher()
			at, removed := tickUntilRemoval(wa, startTime.Add(10*time.Second), ca.voters...)
			So(removed, ShouldEqual, ca.removed)
			if removed {
				So(at, ShouldHappenOnOrAfter, startTime.Add(SuspectAfter+RefuteWindow))
			}
		})
	}
	Convey("A later heartbeat that another watcher heard ends the suspicion", t, func() {
		wa, su := newTestWatcher()
		tickUntilRemoval(wa, startTime.Add(SuspectAfter+300*time.Millisecond), 2)
		now := startTime.Add(SuspectAfter + 400*time.Millisecond)
		So(wa.Suspects(now), ShouldHaveLength, 1)
		wa.Receive(controlOf(3), Message{Refutation: &Refutation{Subject: su, Incarnation: 1, Beat: 8, Age: time.Second}}, now)
		So(wa.Suspects(now), ShouldBeEmpty)
	})
	Convey("A heartbeat longer ago than SuspectAfter does not end the suspicion", t, func() {
		wa, su := newTestWatcher()
		tickUntilRemoval(wa, startTime.Add(SuspectAfter+300*time.Millisecond), 2)
		now := startTime.Add(SuspectAfter + 400*time.Millisecond)
		wa.Receive(controlOf(3), Message{Refutation: &Refutation{Subject: su, Incarnation: 1, Beat: 8, Age: SuspectAfter + time.Second}}, now)
		So(wa.Suspects(now), ShouldHaveLength, 1)
	})
	Convey("A watcher whose process was paused suspects no subject when it resumes", t, func() {
		wa, _ := newTestWatcher()
		wa.Tick(startTime)
		So(wa.Tick(startTime.Add(time.Minute)), ShouldBeEmpty)
		So(wa.Suspects(startTime.Add(time.Minute)), ShouldBeEmpty)
		So(wa.Tick(startTime.Add(time.Minute+100*time.Millisecond)), ShouldBeEmpty)
	})
}

func TestLivenessMessagesLeaveBudgetForGossip(t *testing.T) {
	Convey("Heartbeats and suspicions cannot take the whole control budget", t, func() {
		bu := delivery.NewBudget(startTime)
		now := startTime
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			for bu.TakeLiveness(now, 40) {
				continue
			}
		}
		So(bu.BytesTaken(), ShouldBeLessThanOrEqualTo, delivery.LivenessBurstBytes+10*delivery.LivenessBytesPerSecond)
		So(bu.Available(now, delivery.LivenessReserveBytes), ShouldBeGreaterThan, 0)
	})
}

func TestWatchersAreSpreadAndStable(t *testing.T) {
	Convey("Watchers come from different failure domains, that of the subject first, and few change when a balancer leaves", t, func() {
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
