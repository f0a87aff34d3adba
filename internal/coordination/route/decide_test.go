package route

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// chainOf returns a chain of hosts. The first ones, as many as holders tells, may
// hold the flow.
func chainOf(holders uint8, hosts ...int) Chain {
	ch := Chain{HolderCount: holders}
	for _, i := range hosts {
		ch.append(Candidate{Address: hostAddress(i), Incarnation: 1})
	}
	return ch
}

// packetTo returns a packet whose chain names only the table's own host.
func packetTo(fl *FlowTable, caller int) Packet {
	ch := Chain{HolderCount: 1}
	ch.append(fl.self)
	return Packet{Header: Header{Service: testService, Caller: callerAddress(caller), Chain: ch}}
}

func TestDrops(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Packet)
		reason Reason
	}{
		{"service", func(pk *Packet) { pk.Service++ }, ReasonWrongService},
		{"hops", func(pk *Packet) { pk.Hops = MaxHops }, ReasonHopLimit},
		{"index", func(pk *Packet) { pk.Index = 1 }, ReasonMalformedChain},
		{"holder count", func(pk *Packet) { pk.Chain.HolderCount = 2 }, ReasonMalformedChain},
		{"count", func(pk *Packet) { pk.Chain.Count = 9 }, ReasonMalformedChain},
		{"address", func(pk *Packet) { pk.Chain = chainOf(1, 5) }, ReasonMalformedChain},
		{"request", func(pk *Packet) { pk.Request = 9 }, ReasonMalformedChain},
		{"incarnation", func(pk *Packet) { pk.Chain.Hosts[0].Incarnation = 2 }, ReasonStaleIncarnation},
		{"stale target", func(pk *Packet) { pk.Routable, pk.Target = true, Target{hostAddress(0), 2} }, ReasonStaleIncarnation},
		{"no target", func(pk *Packet) { pk.Routable = true }, ReasonUnknownTarget},
		{"target again", func(pk *Packet) {
			pk.Routable, pk.Target, pk.Hops = true, Target{hostAddress(4), 1}, 1
		}, ReasonUnknownTarget},
	}
	Convey("A packet that is invalid or not for this host is dropped with the reason", t, func() {
		for _, tc := range cases {
			fl := NewFlowTable(readyHost(0), testKey, testStart, 10)
			pk := packetTo(fl, 1)
			tc.change(&pk)
			de := fl.Decide(testStart, pk)
			So([]any{tc.name, de.Action, de.Reason}, ShouldResemble, []any{tc.name, ActionDrop, tc.reason})
		}
	})
	Convey("A full table drops new flows and keeps the open ones", t, func() {
		fl := NewFlowTable(readyHost(0), testKey, testStart, 2)
		for i, want := range []Action{ActionOpen, ActionOpen, ActionDrop} {
			So(fl.Decide(testStart, packetTo(fl, i)).Action, ShouldEqual, want)
		}
		So(fl.Decide(testStart, packetTo(fl, 1)).Action, ShouldEqual, ActionAccept)
		later := testStart.Add(FlowIdle + time.Second)
		fl.Sweep(later)
		So(fl.Flows(), ShouldEqual, 0)
		So(fl.Decide(later, packetTo(fl, 2)).Action, ShouldEqual, ActionOpen)
	})
}

func TestRoutable(t *testing.T) {
	Convey("A packet whose connection ID names another host is forwarded directly to it, at most once", t, func() {
		fl := NewFlowTable(readyHost(0), testKey, testStart, 10)
		pk := packetTo(fl, 1)
		pk.Routable, pk.Target = true, Target{hostAddress(4), 1}
		de := fl.Decide(testStart, pk)
		So(de.Action, ShouldEqual, ActionForward)
		So(de.To, ShouldEqual, hostAddress(4))
		So(de.Header.Hops, ShouldEqual, 1)
		pk.Header, pk.Sender = de.Header, hostAddress(0)
		other := NewFlowTable(readyHost(4), testKey, testStart, 10)
		So(other.Decide(testStart, pk).Action, ShouldEqual, ActionAccept)
	})
}

func TestDrainingHost(t *testing.T) {
	Convey("A draining host keeps its flows and delegates new ones to the second choice", t, func() {
		ho := readyHost(0)
		fl := NewFlowTable(ho, testKey, testStart, 10)
		pk := Packet{Header: Header{Service: testService, Caller: callerAddress(1), Chain: chainOf(1, 0, 1)}}
		So(fl.Decide(testStart, pk).Action, ShouldEqual, ActionOpen)
		ho.State = register.StateDraining
		fl.UpdateSelf(ho)
		So(fl.Decide(testStart, pk).Action, ShouldEqual, ActionAccept)

		pk.Caller = callerAddress(2)
		for range 2 {
			de := fl.Decide(testStart, pk)
			So(de.To, ShouldEqual, hostAddress(1))
			So(de.Header.Request, ShouldEqual, RequestTake)
		}
		So(fl.Decide(testStart, packetTo(fl, 3)).Reason, ShouldEqual, ReasonDraining)
		ready := readyHost(2)
		fl.UpdatePeer(ready)
		So(fl.Decide(testStart, packetTo(fl, 3)).To, ShouldEqual, ready.Address)
	})
}

func TestOffer(t *testing.T) {
	Convey("A host offers a new flow, and the second choice opens it only if its load score is lower", t, func() {
		first := NewFlowTable(readyHost(0), testKey, testStart, 100)
		second := NewFlowTable(readyHost(1), testKey, testStart, 100)
		pk := Packet{Header: Header{Service: testService, Caller: callerAddress(1), Chain: chainOf(1, 0, 1)}}
		for _, load := range []struct {
			first, second int
			action        Action
		}{{50, 40, ActionOpen}, {50, 60, ActionForward}} {
			pk.Caller = callerAddress(load.second)
			first.SetConnections(load.first)
			second.SetConnections(load.second)
			de := first.Decide(testStart, pk)
			So(de.Header.Request, ShouldEqual, RequestOffer)
			answer := second.Decide(testStart, Packet{Header: de.Header, Sender: hostAddress(0)})
			So(answer.Action, ShouldEqual, load.action)
			if load.action == ActionForward {
				So(first.Decide(testStart, Packet{Header: answer.Header, Sender: hostAddress(1)}).Action, ShouldEqual, ActionOpen)
			}
		}
		pk.Caller = callerAddress(9)
		So(first.Decide(testStart, pk).Action, ShouldEqual, ActionOpen)
	})
}
