package catalog

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestServiceRecord(t *testing.T) {
	address := netip.MustParseAddrPort("198.18.0.1:443")
	routes := func(version uint64, services ...WeightedService) *Routes {
		return &Routes{Version: version, Addresses: map[netip.AddrPort]Route{address: {Services: services, LatencyTarget: time.Second}}}
	}
	Convey("A record names the services of routes, also those of weight zero", t, func() {
		sr := NewServiceRecord(routes(7, WeightedService{"yardline", 75}, WeightedService{"ledgerwash", 0}))
		So(sr.Version, ShouldEqual, 7)
		So(sr.Services, ShouldResemble, map[netip.AddrPort][]string{address: {"yardline", "ledgerwash"}})
	})
	Convey("It covers routes whose services it names", t, func() {
		sr := NewServiceRecord(routes(7, WeightedService{"yardline", 75}, WeightedService{"ledgerwash", 25}))
		So(sr.Covers(routes(8, WeightedService{"ledgerwash", 1})), ShouldBeTrue)
		So(sr.Covers(routes(8, WeightedService{"gallery", 1})), ShouldBeFalse)
		So(sr.Covers(&Routes{}), ShouldBeTrue)
		So((*ServiceRecord)(nil).Covers(&Routes{}), ShouldBeFalse)
	})
	Convey("Its services are former ones of the next routes for a flow's lifetime, and get no new flows", t, func() {
		now := time.Now()
		fs := NewFormerServices(time.Minute)
		sr := NewServiceRecord(routes(7, WeightedService{"yardline", 75}, WeightedService{"ledgerwash", 25}))
		next := fs.Succeed(now, sr.Routes(), routes(8, WeightedService{"yardline", 1}))
		So(next.Version, ShouldEqual, 8)
		So(next.Addresses[address].Services, ShouldResemble, WeightedServices{{"yardline", 1}, {"ledgerwash", 0}})
		So(next.Addresses[address].LatencyTarget, ShouldEqual, time.Second)
		later := fs.Succeed(now.Add(time.Minute), next, routes(9, WeightedService{"yardline", 1}))
		So(later.Addresses[address].Services, ShouldResemble, WeightedServices{{"yardline", 1}})
		So((*ServiceRecord)(nil).Routes(), ShouldBeNil)
	})
}
