package waybill

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

var (
	sampleFlow = carriage.Flow{
		Caller:  netip.MustParseAddrPort("100.64.0.7:40001"),
		Service: netip.MustParseAddrPort("198.18.0.1:443"),
	}
	sampleReport = carriage.Report{State: register.StateWarming, InProgress: 3, Slots: 2, ServiceTime: 21 * time.Millisecond, Expected: 1.25, Version: 1 << 40}
)

func TestMessagesRoundTrip(t *testing.T) {
	Convey("Decoding each message returns the encoded values", t, func() {
		fo, packet, err := DecodeForward(AppendForward(nil, Forward{
			Mode: carriage.DeliverTentatively, ServiceTag: 77, Version: 9, OpeningAge: 1234 * time.Millisecond,
		}, []byte("packet")))
		So(err, ShouldBeNil)
		So(fo, ShouldResemble, Forward{Mode: carriage.DeliverTentatively, ServiceTag: 77, Version: 9, OpeningAge: 1234 * time.Millisecond})
		So(string(packet), ShouldEqual, "packet")

		flow, re, err := DecodeConfirm(AppendConfirm(nil, sampleFlow, sampleReport))
		So(err, ShouldBeNil)
		So(flow, ShouldResemble, sampleFlow)
		So(re, ShouldResemble, sampleReport)

		reason, re, packet, err := DecodeDecline(AppendDecline(nil, carriage.ReasonBusy, sampleReport, []byte("p")))
		So(err, ShouldBeNil)
		So(reason, ShouldEqual, carriage.ReasonBusy)
		withoutExpected := sampleReport
		withoutExpected.Expected = 0
		So(re, ShouldResemble, withoutExpected)
		So(string(packet), ShouldEqual, "p")

		for _, possible := range []bool{false, true} {
			want := carriage.FindRequest{Flow: sampleFlow, Acknowledged: 5, Possible: possible}
			fr, err := DecodeFindHolder(AppendFindHolder(nil, want))
			So(err, ShouldBeNil)
			So(fr, ShouldResemble, want)
		}

		version, err := DecodeAskConfirmation(AppendAskConfirmation(nil, 1<<40))
		So(err, ShouldBeNil)
		So(version, ShouldEqual, uint64(1<<40))

		version, ago, err := DecodeConfirmation(AppendConfirmation(nil, 1<<40, 1850*time.Millisecond))
		So(err, ShouldBeNil)
		So(version, ShouldEqual, uint64(1<<40))
		So(ago, ShouldEqual, 1850*time.Millisecond)

		for _, clean := range []bool{false, true} {
			found, ago, err := DecodeEntriesReviewed(AppendEntriesReviewed(nil, clean, 70*time.Second))
			So(err, ShouldBeNil)
			So(found, ShouldEqual, clean)
			So(ago, ShouldEqual, 70*time.Second)
		}
		_, _, err = DecodeEntriesReviewed(AppendEntriesReviewed(nil, true, 0)[:5])
		So(err, ShouldEqual, ErrMalformed)

		flow, certain, err := DecodeHeld(AppendHeld(nil, sampleFlow, true))
		So(err, ShouldBeNil)
		So(flow, ShouldResemble, sampleFlow)
		So(certain, ShouldBeTrue)

		re, err = DecodeReport(AppendReport(nil, sampleReport))
		So(err, ShouldBeNil)
		So(re, ShouldResemble, sampleReport)
	})
	Convey("The age of an opening is limited to the encodable range", t, func() {
		fo, _, err := DecodeForward(AppendForward(nil, Forward{OpeningAge: time.Hour}, nil))
		So(err, ShouldBeNil)
		So(fo.OpeningAge, ShouldEqual, MaxDuration)
		fo, _, err = DecodeForward(AppendForward(nil, Forward{OpeningAge: -time.Hour}, nil))
		So(err, ShouldBeNil)
		So(fo.OpeningAge, ShouldEqual, 0)
	})
}

func TestRoutesRoundTrip(t *testing.T) {
	Convey("Decoding returns the encoded routes, and equal routes give equal bytes", t, func() {
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

func TestMessagesOfFormerBuilds(t *testing.T) {
	Convey("Messages without what later builds append are understood", t, func() {
		withoutExpected := sampleReport
		withoutExpected.Expected = 0

		confirm := AppendConfirm(nil, sampleFlow, sampleReport)
		flow, re, err := DecodeConfirm(confirm[:len(confirm)-2])
		So(err, ShouldBeNil)
		So(flow, ShouldResemble, sampleFlow)
		So(re, ShouldResemble, withoutExpected)

		report := AppendReport(nil, sampleReport)
		re, err = DecodeReport(report[:len(report)-2])
		So(err, ShouldBeNil)
		So(re, ShouldResemble, withoutExpected)

		find := AppendFindHolder(nil, carriage.FindRequest{Flow: sampleFlow, Acknowledged: 5})
		fr, err := DecodeFindHolder(find[:len(find)-1])
		So(err, ShouldBeNil)
		So(fr, ShouldResemble, carriage.FindRequest{Flow: sampleFlow, Acknowledged: 5, Possible: true})
		_, err = DecodeFindHolder(find[:len(find)-2])
		So(err, ShouldNotBeNil)
	})
}

func FuzzMessages(f *testing.F) {
	f.Add(AppendForward(nil, Forward{}, []byte("x")))
	f.Add(AppendConfirm(nil, sampleFlow, sampleReport))
	f.Add(AppendDecline(nil, carriage.ReasonFull, sampleReport, []byte("x")))
	f.Add(AppendFindHolder(nil, carriage.FindRequest{Flow: sampleFlow, Acknowledged: 1}))
	f.Add(AppendHeld(nil, sampleFlow, false))
	f.Add(AppendFindHolders(nil, 1, sampleQuestions()))
	f.Add(AppendHolders(nil, 1, []absence.Answer{absence.Held, absence.Absent}))
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 {
			return
		}
		if fo, packet, err := DecodeForward(data); err == nil && len(data) >= 2 && data[0] == byte(KindForward) {
			if string(AppendForward(nil, fo, packet)) != string(data) {
				t.Fatal("re-encoding a decoded KindForward message gave other bytes")
			}
		}
		_, _, _ = DecodeConfirm(data)
		_, _, _, _ = DecodeDecline(data)
		_, _ = DecodeFindHolder(data)
		_, _, _ = DecodeHeld(data)
		_, _, _ = DecodeFindHolders(data)
		_, _, _ = DecodeHolders(data)
		_, _ = DecodeReport(data)
		_, _ = DecodeRoutes(data)
		_, _, _ = DecodeEntriesReviewed(data)
	})
}
