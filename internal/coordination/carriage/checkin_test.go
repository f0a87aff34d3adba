package carriage

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// checkIn returns a valid check-in of the host that newGateAtWork has checked in.
func (gw *gateAtWork) checkIn(sequence uint64) CheckIn {
	return CheckIn{Name: "h", StartedAt: began, Sequence: sequence, Service: simService, Address: simHostAddress, Slots: simSlots}
}

// open opens the flow and returns a packet of its caller.
func (gw *gateAtWork) open() Packet {
	gw.fromCaller(Packet{Opening: true, Sequence: 1000})
	gw.fromHost(Packet{Accepting: true, Sequence: 500000})
	pk := Packet{Sequence: 1001, Length: 100, Acknowledged: 500001}
	gw.fromCaller(pk)
	return pk
}

// One check-in of another writer had the open flows of the host reset and all of the
// host's later check-ins refused.
func TestCheckInOfAnotherHost(t *testing.T) {
	others := map[string]func(ci *CheckIn){
		"another service":                          func(ci *CheckIn) { ci.Service = "unnamed" },
		"another address":                          func(ci *CheckIn) { ci.Address = netip.MustParseAddrPort("10.9.9.9:8080") },
		"another service, under the host's name":   func(ci *CheckIn) { ci.Name, ci.StartedAt, ci.Service = "h", began, "unnamed" },
		"another service, draining, before others": func(ci *CheckIn) { ci.Service, ci.Draining, ci.StartedAt = "unnamed", true, began.Add(-time.Hour) },
	}
	for name, change := range others {
		Convey("A check-in that names "+name+" changes nothing", t, func() {
			gw := newGateAtWork()
			pk := gw.open()
			gw.now = gw.now.Add(time.Second)
			ci := gw.checkIn(9)
			ci.Name, ci.StartedAt = "other", gw.now
			change(&ci)
			list, err := gw.CheckIn(gw.now, ci)
			So(err, ShouldEqual, ErrOtherHost)
			So(list, ShouldBeEmpty)
			So(gw.Report(gw.now).State, ShouldEqual, register.StateReady)
			So(kinds(gw.fromCaller(pk)), ShouldResemble, []Kind{KindDeliver})
			_, err = gw.CheckIn(gw.now, gw.checkIn(2))
			So(err, ShouldBeNil)
		})
	}
	Convey("A check-in of another host names no host to an agent that has just started", t, func() {
		gw := newGateAtWork()
		gw.restartAgent()
		ci := gw.checkIn(1)
		ci.Service = "unnamed"
		_, err := gw.CheckIn(gw.now, ci)
		So(err, ShouldEqual, ErrOtherHost)
		So(gw.Service(), ShouldBeEmpty)
	})
}

// The open flows of a host were reset as soon as a check-in spoke of a later start.
func TestFlowsAreLostOnlyByTheHostsWord(t *testing.T) {
	Convey("A flow is lost when the host returns its packet, not when a check-in speaks of a later start", t, func() {
		gw := newGateAtWork()
		pk := gw.open()
		ci := gw.checkIn(1)
		ci.Name, ci.StartedAt = "other", began.Add(time.Second)
		_, err := gw.CheckIn(gw.now, ci)
		So(err, ShouldBeNil)
		So(kinds(gw.HandleFind(gw.now, gw.flow.Caller, FindRequest{Flow: gw.flow, Acknowledged: pk.Acknowledged})), ShouldResemble, []Kind{KindHeld})
		So(kinds(gw.fromCaller(pk)), ShouldResemble, []Kind{KindDeliver})
		pk.Returned = true
		list := gw.fromHost(pk)
		So(kinds(list), ShouldResemble, []Kind{KindDecline})
		So(list[0].Reason, ShouldEqual, ReasonHostLost)
	})
}

// A host that started with an earlier time than the one before it, because a clock was
// set back or the other check-in was not a host's, was refused for good.
func TestHostWithAnEarlierStart(t *testing.T) {
	// later is a gate whose host's start lies ahead of the one that checks in now.
	later := func() *gateAtWork {
		gw := newGateAtWork()
		ci := gw.checkIn(1)
		ci.Name, ci.StartedAt = "other", began.Add(time.Hour)
		_, err := gw.CheckIn(gw.now, ci)
		So(err, ShouldBeNil)
		return gw
	}
	Convey("It is taken once the other is silent and it has checked in repeatedly", t, func() {
		gw := later()
		taken := time.Duration(0)
		for sequence := uint64(2); taken == 0 && sequence < 20; sequence++ {
			gw.now = gw.now.Add(simHeartbeat)
			if _, err := gw.CheckIn(gw.now, gw.checkIn(sequence)); err == nil {
				taken = gw.now.Sub(began)
			}
		}
		So(taken, ShouldBeBetween, maxMissedCheckIns*simHeartbeat-1, (maxMissedCheckIns+2)*simHeartbeat)
		So(gw.Report(gw.now).State, ShouldEqual, register.StateReady)
	})
	Convey("It is refused while the other checks in", t, func() {
		gw := later()
		for sequence := uint64(2); sequence < 20; sequence++ {
			gw.now = gw.now.Add(simHeartbeat)
			_, err := gw.CheckIn(gw.now, gw.checkIn(sequence))
			So(err, ShouldEqual, ErrOldCheckIn)
			ci := gw.checkIn(sequence)
			ci.Name, ci.StartedAt = "other", began.Add(time.Hour)
			_, err = gw.CheckIn(gw.now, ci)
			So(err, ShouldBeNil)
		}
	})
	Convey("Late check-ins of a crashed start that arrive together are refused", t, func() {
		gw := later()
		gw.now = gw.now.Add(time.Minute)
		for sequence := uint64(2); sequence < 6; sequence++ {
			gw.now = gw.now.Add(20 * time.Millisecond)
			_, err := gw.CheckIn(gw.now, gw.checkIn(sequence))
			So(err, ShouldEqual, ErrOldCheckIn)
		}
	})
}
