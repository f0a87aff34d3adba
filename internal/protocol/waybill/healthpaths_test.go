package waybill

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// A member that gets routes from one that has skipped versions must not take their former
// services for all of them.
func TestCoverageReachesMembers(t *testing.T) {
	ro := &catalog.Routes{Version: 9, Addresses: map[netip.AddrPort]catalog.Route{}, HealthPaths: map[string]string{"a": "/health"}}
	Convey("The oldest version covered is decoded as it was encoded", t, func() {
		data, err := EncodeRoutes(ro.WithCoverage(catalog.Coverage{From: 7}))
		So(err, ShouldBeNil)
		back, err := DecodeRoutes(data)
		So(err, ShouldBeNil)
		So(back, ShouldResemble, ro.WithCoverage(catalog.Coverage{From: 7}))
		So(ro.HealthPaths, ShouldResemble, map[string]string{"a": "/health"})
	})
	Convey("A former build passes it on as the health path of a service that it never meets", t, func() {
		data, err := EncodeRoutes(ro.WithCoverage(catalog.Coverage{From: 7}))
		So(err, ShouldBeNil)
		paths := formerRoutes(data)
		So(paths["a"], ShouldEqual, "/health")
		data, err = cbor.Marshal(encodedRoutes{Version: 9, HealthPaths: paths})
		So(err, ShouldBeNil)
		back, err := DecodeRoutes(data)
		So(err, ShouldBeNil)
		So(back.From, ShouldEqual, 7)
	})
	Convey("One that can't be decoded, or lies above the version, counts as the version", t, func() {
		for _, text := range []string{"", "x", "-1", "10", "99999999999999999999"} {
			data, err := cbor.Marshal(encodedRoutes{Version: 9, HealthPaths: map[string]string{coverageKey: text}})
			So(err, ShouldBeNil)
			back, err := DecodeRoutes(data)
			So(err, ShouldBeNil)
			So(back.From, ShouldEqual, 9)
			So(back.HealthPaths, ShouldBeEmpty)
		}
	})
}

// A member that can't tell when an address has lost a service drops it while its flows may
// be open, or keeps it for ever.
func TestVersionsOfFormerServicesReachMembers(t *testing.T) {
	addresses := []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:443")}
	ro := &catalog.Routes{
		Version: 97, HealthPaths: map[string]string{"a": "/health"},
		Addresses: map[netip.AddrPort]catalog.Route{
			addresses[0]: {Services: catalog.WeightedServices{{Service: "a", Weight: 1}, {Service: "b"}, {Service: "c"}}},
			addresses[1]: {Services: catalog.WeightedServices{{Service: "c"}, {Service: "a", Weight: 1}}},
		},
		Former: map[catalog.FormerService]uint64{
			{Address: addresses[0], Service: "b"}: 90, {Address: addresses[0], Service: "c"}: 95, {Address: addresses[1], Service: "c"}: 90,
		},
	}
	Convey("They are decoded as they were encoded", t, func() {
		data, err := EncodeRoutes(ro)
		So(err, ShouldBeNil)
		So(formerRoutes(data)[formerKey], ShouldEqual, "2i:0.1,1.0;2n:0.2")
		back, err := DecodeRoutes(data)
		So(err, ShouldBeNil)
		So(back, ShouldResemble, ro)
	})
	Convey("Those of the version itself aren't told, and what is not valid is left out", t, func() {
		for _, text := range []string{"", "x", "2i", "2i:", "2i:0", "2i:0.", "2i:.1", "2i:-1.1", "2i:0.0", "2i:9.9", "2i:0.zzzzzzzzz", ":0.1", "-1:0.1", ";;"} {
			other := *ro
			other.Former = map[catalog.FormerService]uint64{{Address: addresses[0], Service: "b"}: 97}
			data, err := EncodeRoutes(&other)
			So(err, ShouldBeNil)
			var en encodedRoutes
			So(cbor.Unmarshal(data, &en), ShouldBeNil)
			So(en.HealthPaths, ShouldResemble, ro.HealthPaths)
			en.HealthPaths[formerKey] = text
			data, err = cbor.Marshal(en)
			So(err, ShouldBeNil)
			back, err := DecodeRoutes(data)
			So(err, ShouldBeNil)
			So(back.Former, ShouldBeEmpty)
			So(back.HealthPaths, ShouldResemble, ro.HealthPaths)
		}
	})
}
