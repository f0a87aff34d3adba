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

// A process that had known a former service before left it out, though the address had had it
// again in versions that only others had seen.
func TestFormerServiceThatAnAddressHadAgain(t *testing.T) {
	began := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	address := netip.MustParseAddrPort("198.18.0.1:443")
	routes := func(version uint64, service string) *Routes {
		return &Routes{Version: version, Addresses: map[netip.AddrPort]Route{address: {Services: WeightedServices{{Service: service, Weight: 1}}}}}
	}
	// The process sees versions 1 to 3 and then 5, the member all of them.
	play := func(again time.Duration) (process *FormerServices, own, received *Routes) {
		process, member := NewFormerServices(time.Minute), NewFormerServices(time.Minute)
		var seen *Routes
		for version, service := range []string{"a", "c", "a"} {
			own = process.Succeed(began, own, routes(uint64(version+1), service))
			seen = member.Succeed(began, seen, routes(uint64(version+1), service))
		}
		for i, service := range []string{"c", "a"} {
			seen = member.Succeed(began.Add(again), seen, routes(uint64(i+4), service))
		}
		own = process.Succeed(began.Add(again), own, routes(5, "a").WithCoverage(Coverage{From: 5}))
		return process, own, seen
	}
	for _, again := range []time.Duration{20 * time.Second, 70 * time.Second} {
		Convey("It is kept until the flows of the later time have ended, if the address had it again after "+again.String(), t, func() {
			process, own, received := play(again)
			So(received.Former, ShouldResemble, map[FormerService]uint64{{Address: address, Service: "c"}: 5})
			own = process.Succeed(began.Add(again), received, own)
			later := process.Succeed(began.Add(again+59*time.Second), own, routes(6, "a"))
			So(later.Addresses[address].Services.Names("c"), ShouldBeTrue)
			later = process.Succeed(began.Add(again+61*time.Second), later, routes(7, "a"))
			So(later.Addresses[address].Services.Names("c"), ShouldBeFalse)
		})
	}
	Convey("What others still name for the time that is known doesn't make it last longer", t, func() {
		first, second := NewFormerServices(time.Minute), NewFormerServices(time.Minute)
		a := first.Succeed(began, first.Succeed(began, nil, routes(1, "c")), routes(2, "a"))
		b := second.Succeed(began, nil, a)
		for i := range 10 {
			version, now := uint64(3+2*i), began.Add(time.Duration(i)*10*time.Second)
			a = first.Succeed(now, a, routes(version, "a"))
			b = second.Succeed(now, b, a)
			b = second.Succeed(now, b, routes(version+1, "a"))
			a = first.Succeed(now, a, b)
		}
		So(a.Addresses[address].Services.Names("c"), ShouldBeFalse)
		So(b.Addresses[address].Services.Names("c"), ShouldBeFalse)
	})
}
