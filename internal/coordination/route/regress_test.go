package route

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/register"
)

func TestDuplicatePacketKeepsItsChain(t *testing.T) {
	Convey("A duplicate of a forwarded packet goes to the same host with the same chain", t, func() {
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

func TestMutualOffersEnd(t *testing.T) {
	Convey("A host that is offered a flow by the peer that it has asked opens the flow instead of asking again", t, func() {
		fl := NewFlowTable(readyHost(0), testKey, testStart, 10)
		pk := packetTo(fl, 1)
		pk.Chain = chainOf(2, 0, 1)
		So(fl.Decide(testStart, pk).Header.Request, ShouldEqual, RequestAsk)
		pk.Chain, pk.Index, pk.Hops = chainOf(2, 1, 0), 1, 2
		pk.Request, pk.LoadScore, pk.Sender = RequestOffer, newLoadScore(1<<30), hostAddress(1)
		So(fl.Decide(testStart, pk).Action, ShouldEqual, ActionOpen)
	})
}

func TestReducedHostsAreAskedAfterACrash(t *testing.T) {
	Convey("After a host has crashed, a former owner of its buckets is asked, however long ago its weight was reduced", t, func() {
		now := testStart
		ta := NewTable(testKey, now.Add(-HolderWindow), readyHosts(3)).Next(now, nil)
		owner := func(caller int) Candidate { return ta.Candidates(testService, callerAddress(caller)).Hosts[0] }
		var held []int
		for caller := range 2000 {
			if owner(caller).Address == hostAddress(1) {
				held = append(held, caller)
			}
		}
		reduced := readyHost(1)
		reduced.Weight, reduced.Sequence = 5, 2
		joined := readyHost(3)
		ta = ta.Next(now, []register.Host{reduced, joined})
		now = now.Add(HolderWindow)
		ta = ta.Next(now, nil)
		var moved []int
		for _, caller := range held {
			if owner(caller).Address == joined.Address {
				moved = append(moved, caller)
			}
		}
		So(len(moved), ShouldBeGreaterThan, 50)
		joined.State, joined.Sequence = register.StateGone, 2
		ta = ta.Next(now, []register.Host{joined})
		for _, caller := range moved {
			ch := ta.Candidates(testService, callerAddress(caller))
			So(ch.Hosts[:ch.HolderCount], ShouldContain, Candidate{Address: hostAddress(1), Incarnation: 1})
		}
		settled := ta.Next(now.Add(HolderWindow), nil)
		So(settled.Candidates(testService, callerAddress(moved[0])).HolderCount, ShouldEqual, 1)
	})
}

func TestForwardingEntriesToReassignedHostsAreInvalid(t *testing.T) {
	Convey("A flow isn't sent to a host that serves another service now", t, func() {
		fl := NewFlowTable(readyHost(0), testKey, testStart, 10)
		pk := packetTo(fl, 1)
		pk.Chain = chainOf(2, 0, 1)
		So(fl.Decide(testStart, pk).Action, ShouldEqual, ActionForward)
		moved := readyHost(1)
		moved.Service, moved.Incarnation = testService+1, 2
		fl.UpdatePeer(moved)
		So(fl.Decide(testStart, pk).Action, ShouldEqual, ActionOpen)
	})
}
