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
