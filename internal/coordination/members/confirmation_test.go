package members

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// maxApplyTime is the time after its acknowledgement by which a configuration has to be
// in force at every balancer in touch.
const maxApplyTime = 3 * time.Second

// watchFleet simulates the balancers of one failure domain and the store's
// configuration. Only the messages about confirmations and configurations are sent.
type watchFleet struct {
	now       time.Time
	balancers []*watchingBalancer
	// version is that of the store's configuration since changed.
	version uint64
	changed time.Time
	reads   int
	late    []netip.AddrPort
}

// watchingBalancer is a simulated balancer.
type watchingBalancer struct {
	*View
	// lost says that the balancer is gone or cut off, refused that the store turns it
	// away.
	lost, refused bool
	// watchEnds is when the present watch returns, zero while none is under way; next is
	// when the balancer checks next whether it is to watch.
	watchEnds, next time.Time
}

func newWatchFleet(count int) *watchFleet {
	wf := &watchFleet{now: began, version: 1, changed: began}
	for i := range count {
		self := Record{Revision: register.Revision{Incarnation: 1}, Address: addressOf(i + 1), Role: RoleBalancer, Domain: "a", State: register.StateReady}
		wf.balancers = append(wf.balancers, &watchingBalancer{View: NewView(self)})
	}
	for _, wb := range wf.balancers {
		for _, other := range wf.balancers {
			wb.merge(wf.now, other.Self(), true)
		}
		wb.read(wf)
	}
	return wf
}

// read reads the store's configuration and publishes it.
func (wb *watchingBalancer) read(wf *watchFleet) {
	list := wb.Publish(wf.version, []byte("routes"), wb.Version() == 0)
	wb.Confirm(wf.now)
	wf.deliver(wb, list)
}

// deliver performs the actions of a balancer. Messages arrive at once.
func (wf *watchFleet) deliver(from *watchingBalancer, list []Action) {
	for _, ac := range append([]Action(nil), list...) {
		if ac.Kind == KindConfiguration {
			from.Accept(ac.Version, ac.Data, false)
			continue
		}
		for _, to := range wf.balancers {
			if to.Self().Address != ac.To || to.lost || from.lost {
				continue
			}
			switch ac.Kind {
			case KindAskConfirmation:
				wf.deliver(to, to.HandleAskConfirmation(from.Self().Address, ac.Version))
			case KindConfirmation:
				wf.deliver(to, to.HandleConfirmation(from.Self().Address, ac.Version, ac.Since))
			case KindSend:
				wf.deliver(to, to.Handle(wf.now, from.Self().Address, ac.Message))
			}
		}
	}
}

// step lets each balancer do what is due, and then lets a millisecond pass.
func (wf *watchFleet) step() {
	for _, wb := range wf.balancers {
		wf.follow(wb)
		if !wb.lost && !wb.refused && wb.Version() != wf.version && wf.now.Sub(wf.changed) > maxApplyTime {
			wf.late = append(wf.late, wb.Self().Address)
		}
	}
	wf.now = wf.now.Add(time.Millisecond)
}

// follow lets the balancer follow the store as package carrier does.
func (wf *watchFleet) follow(wb *watchingBalancer) {
	if wb.lost {
		return
	}
	if !wb.watchEnds.IsZero() {
		if wb.refused {
			wb.watchEnds, wb.next = time.Time{}, wf.now.Add(time.Second)
			return
		}
		if wb.Version() == wf.version && wf.now.Before(wb.watchEnds) {
			return
		}
		wb.watchEnds = time.Time{}
		wb.read(wf)
	}
	if wf.now.Before(wb.next) {
		return
	}
	wf.deliver(wb, wb.AskConfirmation(wf.now))
	if !wb.WatchesStore(wf.now) {
		wb.next = wb.NextWatchCheck()
		return
	}
	wf.reads++
	wb.watchEnds = wb.WatchDeadline(wf.now)
}

func (wf *watchFleet) run(span time.Duration) {
	for end := wf.now.Add(span); wf.now.Before(end); {
		wf.step()
	}
}

// change changes the store's configuration.
func (wf *watchFleet) change() {
	wf.version++
	wf.changed = wf.now
}

// A change was never read while the balancers that watch the store were lost, or turned
// away by it, and not yet removed from the views of the others.
func TestConfirmations(t *testing.T) {
	Convey("While all is well only the first balancers of a failure domain read the store", t, func() {
		wf := newWatchFleet(12)
		wf.run(30 * time.Second)
		So(wf.reads, ShouldBeLessThanOrEqualTo, watchersPerDomain*18)
		wf.change()
		wf.run(100 * time.Millisecond)
		for _, wb := range wf.balancers {
			So(wb.Version(), ShouldEqual, wf.version)
		}
	})
	Convey("The balancer that is left of many reads a change in time", t, func() {
		wf := newWatchFleet(7)
		wf.run(10 * time.Second)
		for _, wb := range wf.balancers[:6] {
			wb.lost = true
		}
		for range 4 {
			wf.change()
			wf.run(3500 * time.Millisecond)
		}
		So(wf.late, ShouldBeEmpty)
	})
	Convey("A change is read in time when the store turns the watching balancers away", t, func() {
		wf := newWatchFleet(7)
		wf.run(10 * time.Second)
		for _, wb := range wf.balancers[:4] {
			wb.refused = true
		}
		wf.run(700 * time.Millisecond)
		wf.change()
		wf.run(3500 * time.Millisecond)
		So(wf.late, ShouldBeEmpty)
	})
	Convey("When the watching balancers are lost a few others take their place", t, func() {
		wf := newWatchFleet(100)
		wf.run(10 * time.Second)
		wf.balancers[0].lost, wf.balancers[1].lost = true, true
		wf.reads = 0
		wf.run(18 * time.Second)
		So(wf.reads, ShouldBeLessThan, 60)
	})
	Convey("A balancer without others of its failure domain watches the store", t, func() {
		vi := NewView(Record{Address: addressOf(1), Role: RoleBalancer, Domain: "a"})
		vi.Confirm(began)
		So(vi.WatchesStore(began), ShouldBeTrue)
		So(vi.AskConfirmation(began.Add(time.Minute)), ShouldBeEmpty)
	})
}

// Losses, cuts and refusals by the store at random times around changes.
func TestConfigurationUnderRandomLosses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wf := newWatchFleet(rapid.IntRange(1, 12).Draw(rt, "balancers"))
		wf.run(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "calm")) * time.Millisecond)
		for range rapid.IntRange(1, 6).Draw(rt, "events") {
			wb := wf.balancers[rapid.IntRange(0, len(wf.balancers)-1).Draw(rt, "balancer")]
			switch rapid.SampledFrom([]string{"lose", "refuse", "heal", "change"}).Draw(rt, "kind") {
			case "lose":
				wb.lost, wb.watchEnds = true, time.Time{}
			case "refuse":
				wb.refused = true
			case "heal":
				if wb.lost || wb.refused {
					// It counts as in touch some seconds later.
					wb.lost, wb.refused, wb.next = false, false, wf.now
					wf.changed = wf.now
				}
			case "change":
				wf.change()
			}
			wf.run(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "pause")) * time.Millisecond)
		}
		wf.run(maxApplyTime + time.Second)
		if len(wf.late) > 0 {
			rt.Fatalf("late at %v", wf.late)
		}
	})
}
