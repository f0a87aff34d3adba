package waybill

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

var (
	sampleFlow = carriage.Flow{
		Caller:  netip.MustParseAddrPort("100.64.0.7:40001"),
		Service: netip.MustParseAddrPort("198.18.0.1:443"),
	}
	sampleReport = carriage.Report{State: register.StateWarming, InProgress: 3, Slots: 2, ServiceTime: 21 * time.Millisecond, Version: 1 << 40}
)

func TestMessagesSurviveTheWire(t *testing.T) {
	Convey("Each message is read as it was written", t, func() {
		ca, packet, err := DecodeCarry(AppendCarry(nil, Carry{
			Urgency: carriage.UrgencyTry, Tag: 77, Version: 9, Waited: 1234 * time.Millisecond,
		}, []byte("packet")))
		So(err, ShouldBeNil)
		So(ca, ShouldResemble, Carry{Urgency: carriage.UrgencyTry, Tag: 77, Version: 9, Waited: 1234 * time.Millisecond})
		So(string(packet), ShouldEqual, "packet")

		flow, re, err := DecodeConfirm(AppendConfirm(nil, sampleFlow, sampleReport))
		So(err, ShouldBeNil)
		So(flow, ShouldResemble, sampleFlow)
		So(re, ShouldResemble, sampleReport)

		why, re, packet, err := DecodeDecline(AppendDecline(nil, carriage.ReasonBusy, sampleReport, []byte("p")))
		So(err, ShouldBeNil)
		So(why, ShouldEqual, carriage.ReasonBusy)
		So(re, ShouldResemble, sampleReport)
		So(string(packet), ShouldEqual, "p")

		flow, number, err := DecodeFind(AppendFind(nil, sampleFlow, 5))
		So(err, ShouldBeNil)
		So(flow, ShouldResemble, sampleFlow)
		So(number, ShouldEqual, 5)

		flow, sure, err := DecodeHeld(AppendHeld(nil, sampleFlow, true))
		So(err, ShouldBeNil)
		So(flow, ShouldResemble, sampleFlow)
		So(sure, ShouldBeTrue)

		re, err = DecodeReport(AppendReport(nil, sampleReport))
		So(err, ShouldBeNil)
		So(re, ShouldResemble, sampleReport)
	})
	Convey("A wait is cut to what the message can tell", t, func() {
		ca, _, err := DecodeCarry(AppendCarry(nil, Carry{Waited: time.Hour}, nil))
		So(err, ShouldBeNil)
		So(ca.Waited, ShouldEqual, MaxTold)
		ca, _, err = DecodeCarry(AppendCarry(nil, Carry{Waited: -time.Hour}, nil))
		So(err, ShouldBeNil)
		So(ca.Waited, ShouldEqual, 0)
	})
}

func TestRoutesSurviveTheWire(t *testing.T) {
	Convey("Routes are read as they were written, equal ones as equal bytes", t, func() {
		ro := &catalog.Routes{
			Version: 7, IdleTimeout: 15 * time.Second, HealthPaths: map[string]string{"a": "/health", "b": "/ok"},
			Addresses: map[netip.AddrPort]catalog.Route{
				sampleFlow.Service: {
					Services:      catalog.WeightedServices{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}},
					LatencyTarget: 100 * time.Millisecond, Priority: 2,
				},
				netip.MustParseAddrPort("198.18.0.2:80"): {Services: catalog.WeightedServices{{Service: "b", Weight: 1}}},
			},
		}
		data, err := EncodeRoutes(ro)
		So(err, ShouldBeNil)
		back, err := DecodeRoutes(data)
		So(err, ShouldBeNil)
		So(reflect.DeepEqual(back, ro), ShouldBeTrue)
		for range 20 {
			again, err := EncodeRoutes(ro)
			So(err, ShouldBeNil)
			So(string(again), ShouldEqual, string(data))
		}
	})
}

func FuzzMessages(f *testing.F) {
	f.Add(AppendCarry(nil, Carry{}, []byte("x")))
	f.Add(AppendConfirm(nil, sampleFlow, sampleReport))
	f.Add(AppendDecline(nil, carriage.ReasonFull, sampleReport, []byte("x")))
	f.Add(AppendFind(nil, sampleFlow, 1))
	f.Add(AppendHeld(nil, sampleFlow, false))
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 {
			return
		}
		if ca, packet, err := DecodeCarry(data); err == nil && len(data) >= 2 && data[0] == byte(KindCarry) {
			if string(AppendCarry(nil, ca, packet)) != string(data) {
				t.Fatal("a carried packet changed on the way")
			}
		}
		_, _, _ = DecodeConfirm(data)
		_, _, _, _ = DecodeDecline(data)
		_, _, _ = DecodeFind(data)
		_, _, _ = DecodeHeld(data)
		_, _ = DecodeReport(data)
		_, _ = DecodeRoutes(data)
	})
}
