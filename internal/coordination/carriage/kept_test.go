package carriage

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// keepAll lets callers open kept flows one after the other within half a second.
func (si *simulation) keepAll(count int, until time.Time, pause time.Duration) {
	for i := range count {
		si.after(time.Duration(i)*500*time.Millisecond/time.Duration(count), func() { si.keep(until, pause) })
	}
}

// busiestOverMean returns the ratio of the most requests at one host to the mean.
func busiestOverMean(counts []int) float64 {
	most, total := 0, 0
	for _, count := range counts {
		most = max(most, count)
		total += count
	}
	return float64(most) * float64(len(counts)) / float64(total)
}

// worked returns the numbers of requests that the hosts have worked on.
func (si *simulation) worked() []int {
	var counts []int
	for _, ho := range si.hosts {
		counts = append(counts, ho.requests)
	}
	return counts
}

func TestKeptFlows(t *testing.T) {
	Convey("Open flows between two requests keep no new caller out", t, func() {
		si := newSimulation(20, 3, 3)
		si.keepAll(60, began.Add(10*time.Second), time.Second)
		si.load(60, began.Add(10*time.Second))
		si.runUntil(began.Add(12 * time.Second))
		So(si.failed+si.refused, ShouldEqual, 0)
		So(si.served, ShouldBeGreaterThan, 1000)
		So(si.lateAnswers, ShouldBeLessThan, si.served/100)
	})
	Convey("Hosts get equal shares of the requests on kept flows", t, func() {
		si := newSimulation(21, 3, 6)
		si.keepAll(180, began.Add(20*time.Second), time.Second)
		si.load(30, began.Add(20*time.Second))
		si.runUntil(began.Add(22 * time.Second))
		So(si.failed+si.refused, ShouldEqual, 0)
		So(busiestOverMean(si.worked()), ShouldBeLessThan, 1.25)
	})
	Convey("A host that joins late gets the flows that a draining host ends", t, func() {
		late, all := 0, 0
		for seed := uint64(22); seed < 25; seed++ {
			si := newSimulation(seed, 3, 6)
			si.crashHost(5)
			si.keepAll(300, began.Add(30*time.Second), time.Second)
			si.load(40, began.Add(30*time.Second))
			si.runUntil(began.Add(6 * time.Second))
			si.startHost(5)
			si.drainHost(0)
			si.runUntil(began.Add(10 * time.Second))
			before := si.worked()
			si.runUntil(began.Add(30 * time.Second))
			var since []int
			for i, count := range si.worked()[1:] {
				since = append(since, count-before[i+1])
				all += count - before[i+1]
			}
			So(si.failed+si.refused, ShouldEqual, 0)
			So(si.closedByHost, ShouldBeGreaterThan, 30)
			So(busiestOverMean(since), ShouldBeLessThan, 1.25)
			late += since[4]
		}
		// At least half of an equal share: flows that stay open don't move.
		So(2*late, ShouldBeGreaterThan, all/5)
	})
	Convey("An agent doesn't stop while an answer is on its way, but does while flows only are open", t, func() {
		now := began
		ga := NewGate(now, GateSettings{Service: simService, HostAddress: simHostAddress, HeartbeatInterval: simHeartbeat, FlowLifetime: time.Minute, OpeningTimeout: simOpeningTimeout, FirstStart: true})
		ga.CheckIn(now, CheckIn{Name: "h", StartedAt: now, Sequence: 1, Service: simService, Address: simHostAddress, Slots: simSlots})
		flow := Flow{Caller: simAddress, Service: simAddress}
		fromCaller := func(pk Packet) {
			pk.Flow = flow
			ga.HandleForwarded(now, ForwardedPacket{Packet: pk, ServiceHash: serviceHash(simService), Started: now}, nil)
		}
		fromHost := func(pk Packet) {
			pk.Flow = flow
			ga.HandleHostPacket(now, pk, nil)
		}
		fromCaller(Packet{Opening: true, Sequence: 7})
		So(ga.InProgress(), ShouldEqual, 1)
		fromHost(Packet{Accepting: true, Sequence: 500})
		fromCaller(Packet{Sequence: 8, Length: 100, Acknowledged: 501})
		So(ga.InProgress(), ShouldEqual, 1)
		now = now.Add(20 * time.Millisecond)
		fromHost(Packet{Sequence: 501, Length: 1200})
		fromHost(Packet{Sequence: 1701, Length: 1200})
		So(ga.InProgress(), ShouldEqual, 0)
		So(ga.Idle(), ShouldBeFalse)
		fromCaller(Packet{Sequence: 108, Acknowledged: 1701})
		So(ga.Idle(), ShouldBeFalse)
		fromCaller(Packet{Sequence: 108, Acknowledged: 2901})
		So(ga.Idle(), ShouldBeTrue)
		So(ga.Report(now).ServiceTime, ShouldEqual, 20*time.Millisecond)

		fromCaller(Packet{Sequence: 108, Length: 100, Acknowledged: 2901})
		So(ga.InProgress(), ShouldEqual, 1)
		fromHost(Packet{Sequence: 1701, Length: 1200}) // a retransmission answers nothing
		So(ga.InProgress(), ShouldEqual, 1)
		fromCaller(Packet{Sequence: 108, Length: 100, Acknowledged: 2901})
		now = now.Add(40 * time.Millisecond)
		fromHost(Packet{Sequence: 2901, Length: 300})
		So(ga.InProgress(), ShouldEqual, 0)
		So(ga.Report(now).Expected, ShouldAlmostEqual, 0.02, 0.0001)
		fromCaller(Packet{Sequence: 108, Length: 100, Acknowledged: 2901})
		So(ga.InProgress(), ShouldEqual, 0)
	})
}
