package waybill

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// longerRoutes is encodedRoutes with one more element.
type longerRoutes struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	IdleTimeout time.Duration
	Services    []string
	Routes      []encodedRoute
	HealthPaths map[string]string
	More        map[string]string
}

// It guards against an encoding of routes that a former build refuses: its members would
// keep the former routes.
func TestFormerBuildRefusesLongerRoutes(t *testing.T) {
	Convey("A longer array and bytes behind the array are refused", t, func() {
		data, err := cbor.Marshal(longerRoutes{Version: 7})
		So(err, ShouldBeNil)
		_, err = DecodeRoutes(data)
		So(err, ShouldNotBeNil)
		data, err = cbor.Marshal(encodedRoutes{Version: 7})
		So(err, ShouldBeNil)
		_, err = DecodeRoutes(data)
		So(err, ShouldBeNil)
		_, err = DecodeRoutes(append(data, 0xf6))
		So(err, ShouldNotBeNil)
	})
}

// formerRoutes returns the health paths that a former build decodes.
func formerRoutes(data []byte) map[string]string {
	var en encodedRoutes
	So(cbor.Unmarshal(data, &en), ShouldBeNil)
	return en.HealthPaths
}

// It guards against limits that a former build refuses, or passes on altered.
func TestWarmUpsReachMembersThroughFormerBuilds(t *testing.T) {
	ro := &catalog.Routes{
		Version: 7, Addresses: map[netip.AddrPort]catalog.Route{}, HealthPaths: map[string]string{"a": "/health"},
		WarmUps: map[string]catalog.WarmUp{"a": {Duration: 2 * time.Second, PerSecond: 8}, "b c": {Duration: 1500 * time.Millisecond, PerSecond: 0.5}},
	}
	Convey("The limits are decoded as they were encoded, and equal limits give equal bytes", t, func() {
		data, err := EncodeRoutes(ro)
		So(err, ShouldBeNil)
		back, err := DecodeRoutes(data)
		So(err, ShouldBeNil)
		So(back, ShouldResemble, ro)
		So(ro.HealthPaths, ShouldResemble, map[string]string{"a": "/health"})
		for range 20 {
			again, err := EncodeRoutes(ro)
			So(err, ShouldBeNil)
			So(string(again), ShouldEqual, string(data))
		}
	})
	Convey("A former build finds the health paths, and what it encodes has the limits", t, func() {
		data, err := EncodeRoutes(ro)
		So(err, ShouldBeNil)
		paths := formerRoutes(data)
		So(paths["a"], ShouldEqual, "/health")
		data, err = cbor.Marshal(encodedRoutes{Version: 7, HealthPaths: paths})
		So(err, ShouldBeNil)
		back, err := DecodeRoutes(data)
		So(err, ShouldBeNil)
		So(back.WarmUps, ShouldResemble, ro.WarmUps)
	})
	Convey("Without limits the bytes are those of a former build", t, func() {
		without := &catalog.Routes{Version: 7, HealthPaths: map[string]string{"a": "/health"}}
		data, err := EncodeRoutes(without)
		So(err, ShouldBeNil)
		former, err := canonicalMode.Marshal(encodedRoutes{Version: 7, HealthPaths: without.HealthPaths})
		So(err, ShouldBeNil)
		So(string(data), ShouldEqual, string(former))
	})
	Convey("A limit that isn't valid is left out", t, func() {
		for _, text := range []string{"", "2s", "2s -1", "2s 0", "-2s 8", "2s NaN", "2s +Inf", "2s 1e9", "20000h 8", "x 8", "2s 8 9"} {
			data, err := cbor.Marshal(encodedRoutes{Version: 7, HealthPaths: map[string]string{warmUpPrefix + "a": text}})
			So(err, ShouldBeNil)
			back, err := DecodeRoutes(data)
			So(err, ShouldBeNil)
			So(back.WarmUps, ShouldBeNil)
			So(back.HealthPaths, ShouldBeEmpty)
		}
	})
}
