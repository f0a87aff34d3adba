package catalog

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A search for a flow asked only the services that its address has now, so that flows
// whose route had been given to another service were not found.
func TestFormerServices(t *testing.T) {
	began := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	address := netip.MustParseAddrPort("198.18.0.1:443")
	routes := func(version uint64, services ...WeightedService) *Routes {
		return &Routes{Version: version, Addresses: map[netip.AddrPort]Route{address: {Services: services}}}
	}
	weighted := func(service string, weight uint32) WeightedService {
		return WeightedService{Service: service, Weight: weight}
	}
	Convey("A service that an address had is kept with weight zero while its flows may be open", t, func() {
		fs := NewFormerServices(time.Minute)
		first := fs.Succeed(began, nil, routes(1, weighted("a", 1)))
		second := fs.Succeed(began, first, routes(2, weighted("b", 1)))
		So(second.Version, ShouldEqual, 2)
		So(second.Addresses[address].Services, ShouldResemble, WeightedServices{weighted("b", 1), weighted("a", 0)})
		So(second.Addresses[address].Services.Pick(7), ShouldEqual, "b")
		third := fs.Succeed(began.Add(50*time.Second), second, routes(3, weighted("c", 1)))
		So(third.Addresses[address].Services, ShouldResemble, WeightedServices{weighted("c", 1), weighted("b", 0), weighted("a", 0)})
		fourth := fs.Succeed(began.Add(61*time.Second), third, routes(4, weighted("c", 1)))
		So(fourth.Addresses[address].Services, ShouldResemble, WeightedServices{weighted("c", 1), weighted("b", 0)})
	})
	Convey("A service that loses its weight stays, one that is back gets its flows", t, func() {
		fs := NewFormerServices(time.Minute)
		first := fs.Succeed(began, nil, routes(1, weighted("a", 1), weighted("b", 1)))
		second := fs.Succeed(began, first, routes(2, weighted("a", 0), weighted("b", 1)))
		So(second.Addresses[address].Services, ShouldResemble, WeightedServices{weighted("a", 0), weighted("b", 1)})
		third := fs.Succeed(began, second, routes(3, weighted("a", 2)))
		So(third.Addresses[address].Services, ShouldResemble, WeightedServices{weighted("a", 2), weighted("b", 0)})
	})
	Convey("Former services that a peer knows are kept from when they were heard of", t, func() {
		fs := NewFormerServices(time.Minute)
		own := fs.Succeed(began, nil, routes(2, weighted("b", 1)))
		heard := fs.Succeed(began, own, routes(2, weighted("b", 1), weighted("a", 0)))
		next := fs.Succeed(began.Add(time.Second), heard, routes(3, weighted("b", 1)))
		So(next.Addresses[address].Services, ShouldResemble, WeightedServices{weighted("b", 1), weighted("a", 0)})
		late := fs.Succeed(began.Add(62*time.Second), next, routes(4, weighted("b", 1)))
		So(late.Addresses[address].Services, ShouldResemble, WeightedServices{weighted("b", 1)})
	})
	Convey("An address whose route is dropped keeps nothing, and neither argument changes", t, func() {
		fs := NewFormerServices(time.Minute)
		first := fs.Succeed(began, nil, routes(1, weighted("a", 1)))
		So(fs.Succeed(began, first, &Routes{Version: 2}).Addresses, ShouldBeEmpty)
		next := routes(2, weighted("b", 1))
		fs.Succeed(began, first, next)
		So(next.Addresses[address].Services, ShouldResemble, WeightedServices{weighted("b", 1)})
	})
}
