package catalog

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A process took the former services that it knew for all of them, though it had skipped the
// versions in which an address had others.
func TestCoverage(t *testing.T) {
	began := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	address := netip.MustParseAddrPort("198.18.0.1:443")
	read := func(version, from uint64, service string) *Routes {
		ro := &Routes{Version: version, Addresses: map[netip.AddrPort]Route{address: {Services: WeightedServices{{Service: service, Weight: 1}}}}}
		return ro.WithCoverage(Coverage{From: from})
	}
	later := func(after time.Duration) time.Time { return began.Add(after) }
	Convey("Routes that were read first are complete a flow's lifetime later", t, func() {
		fs := NewFormerServices(time.Minute)
		first := fs.Succeed(began, nil, read(4, 4, "a"))
		So(first.IsComplete(later(59*time.Second)), ShouldBeFalse)
		So(first.IsComplete(later(time.Minute)), ShouldBeTrue)
		second := fs.Succeed(later(time.Second), first, read(7, 4, "b"))
		So(second.Coverage, ShouldResemble, first.Coverage)
		third := fs.Succeed(later(time.Minute), second, read(9, 4, "a"))
		So(third.Coverage, ShouldResemble, Coverage{})
	})
	Convey("A version that may have been skipped makes complete routes incomplete", t, func() {
		fs := NewFormerServices(time.Minute)
		first := fs.Succeed(began, nil, read(4, 0, "a"))
		So(first.IsComplete(began), ShouldBeTrue)
		skipped := fs.Succeed(began, first, read(9, 9, "a"))
		So(skipped.Coverage, ShouldResemble, Coverage{From: 9, CompleteAt: later(time.Minute)})
		again := fs.Succeed(later(30*time.Second), skipped, read(12, 12, "a"))
		So(again.Coverage, ShouldResemble, Coverage{From: 12, CompleteAt: later(90 * time.Second)})

		Convey("until the skipped versions are read", func() {
			filled := fs.Succeed(later(time.Second), read(7, 4, "b"), skipped)
			So(filled.IsComplete(later(time.Second)), ShouldBeFalse)
			filled = fs.Succeed(later(time.Second), read(9, 4, "a"), filled)
			So(filled.From, ShouldEqual, 4)
			So(filled.CompleteAt, ShouldEqual, later(time.Minute))
			So(filled.Addresses[address].Services.Names("b"), ShouldBeTrue)
		})
		Convey("until a member names the services of all versions", func() {
			So(fs.Succeed(began, read(9, 0, "a"), skipped).Coverage, ShouldResemble, Coverage{})
		})
		Convey("and a member that has skipped them too changes nothing", func() {
			So(fs.Succeed(later(time.Second), read(9, 9, "a"), skipped).Coverage, ShouldResemble, skipped.Coverage)
		})
	})
	Convey("A service record covers its own version only", t, func() {
		fs := NewFormerServices(time.Minute)
		record := NewServiceRecord(read(7, 0, "a")).Routes()
		So(fs.Succeed(began, record, read(9, 9, "a")).From, ShouldEqual, 9)
		So(fs.Succeed(began, record, read(7, 7, "a")).From, ShouldEqual, 7)
	})
	Convey("Routes cover what they name, and older versions once they are complete", t, func() {
		fs := NewFormerServices(time.Minute)
		held := fs.Succeed(began, nil, read(9, 7, "a"))
		So(held.Covers(began, read(9, 9, "a")), ShouldBeTrue)
		So(held.Covers(began, read(9, 4, "a")), ShouldBeFalse)
		So(held.Covers(later(time.Minute), read(9, 4, "a")), ShouldBeTrue)
		So(held.Covers(later(time.Minute), read(10, 4, "a")), ShouldBeFalse)
	})
}
