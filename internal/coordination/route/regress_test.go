package route

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDoubledPacketKeepsItsChain(t *testing.T) {
	Convey("The copy of a packet that was passed on goes the same way, with all its holders", t, func() {
		for _, index := range []uint8{0, 1} {
			fl := NewFlowTable(readyHost(int(index)), testKey, testStart, 10)
			pk := packetTo(fl, 1)
			pk.Chain, pk.Index, pk.Hops = chainOf(3, 0, 1, 2), index, index
			first := fl.Decide(testStart, pk)
			So(first.To, ShouldEqual, hostAddress(int(index)+1))
			So(fl.Decide(testStart, pk), ShouldResemble, first)
		}
	})
}

func TestOffersToEachOtherEnd(t *testing.T) {
	Convey("A host that asked the one which offers the flow decides instead of asking again", t, func() {
		fl := NewFlowTable(readyHost(0), testKey, testStart, 10)
		pk := packetTo(fl, 1)
		pk.Chain = chainOf(2, 0, 1)
		So(fl.Decide(testStart, pk).Header.Request, ShouldEqual, RequestAsk)
		pk.Chain, pk.Index, pk.Hops = chainOf(2, 1, 0), 1, 2
		pk.Request, pk.Pressure, pk.Sender = RequestOffer, newPressure(1<<30), hostAddress(1)
		So(fl.Decide(testStart, pk).Action, ShouldEqual, ActionOpen)
	})
}

func TestPointersToReassignedHostsAreVoid(t *testing.T) {
	Convey("A flow isn't sent to a host that serves another service now", t, func() {
		fl := NewFlowTable(readyHost(0), testKey, testStart, 10)
		pk := packetTo(fl, 1)
		pk.Chain = chainOf(2, 0, 1)
		So(fl.Decide(testStart, pk).Action, ShouldEqual, ActionForward)
		moved := readyHost(1)
		moved.Service, moved.Incarnation = testService+1, 2
		fl.Observe(moved)
		So(fl.Decide(testStart, pk).Action, ShouldEqual, ActionOpen)
	})
}
