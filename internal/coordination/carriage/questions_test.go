package carriage

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// searcher is a placer with agents that answer every question after a round trip.
type searcher struct {
	*Placer
	now time.Time
	// answer is what the agents say, answers are those under way.
	answer  absence.Answer
	answers []Action
	// messages and bytes are what was asked; largest is the most bytes in 100 ms.
	messages, bytes, largest, window int
	windowSince                      time.Time
	resets, drops                    int
	// doneAt is when the last caller was reset.
	doneAt time.Time
}

const searchRoundTrip = 3 * time.Millisecond

// newSearcher returns a searcher with agents of one service that are known to take batches.
func newSearcher(agents int) *searcher {
	services := make([]string, agents)
	for i := range services {
		services[i] = simService
	}
	pl, list := setUpPlacer()
	for i := range services {
		ag := Agent{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000), Service: simService, Domain: string(rune('a' + i%3)), State: register.StateReady, Slots: 2}
		ag.Incarnation = 1
		setAgents(pl, ag)
		list = append(list, ag.Address)
	}
	for _, address := range list {
		pl.HandleHolders(began, address, 0, nil)
	}
	return &searcher{Placer: pl, now: began.Add(viewSettled), answer: absence.Absent}
}

func (sr *searcher) perform(list []Action) {
	for _, ac := range list {
		switch ac.Kind {
		case KindFind:
			size := datagramBytes + questionBytes*len(ac.Questions)
			if sr.now.Sub(sr.windowSince) >= 100*time.Millisecond {
				sr.windowSince, sr.window = sr.now, 0
			}
			sr.messages++
			sr.bytes += size
			sr.window += size
			sr.largest = max(sr.largest, sr.window)
			ac.Started = sr.now.Add(searchRoundTrip)
			sr.answers = append(sr.answers, ac)
		case KindReset:
			sr.resets++
			sr.doneAt = sr.now
		case KindDrop:
			sr.drops++
		}
	}
}

// packet sends a packet of the flow with the number.
func (sr *searcher) packet(number int) {
	flow := Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(number >> 8), byte(number)}), 1024), Service: simAddress}
	sr.perform(sr.HandlePacket(sr.now, Packet{Flow: flow, Sequence: 1001, Length: 100, Acknowledged: 500001}, []byte("data")))
}

// runFor lets the time pass.
func (sr *searcher) runFor(duration time.Duration) {
	for end := sr.now.Add(duration); ; {
		at := sr.Deadline()
		answers := len(sr.answers) > 0 && (at.IsZero() || !sr.answers[0].Started.After(at))
		if answers {
			at = sr.answers[0].Started
		}
		if at.IsZero() || at.After(end) {
			sr.now = end
			return
		}
		if at.After(sr.now) {
			sr.now = at
		}
		if !answers {
			sr.perform(sr.Tick(sr.now))
			continue
		}
		ac := sr.answers[0]
		sr.answers = sr.answers[1:]
		said := make([]absence.Answer, len(ac.Questions))
		for i := range said {
			said[i] = sr.answer
		}
		sr.perform(sr.HandleHolders(sr.now, ac.To, ac.Number, said))
	}
}

// Thousands of searches at once sent one datagram for each flow and agent, which filled the
// links of small balancers: confirmations and pings were lost, and they took all agents for
// silent.
func TestQuestionsOfManySearches(t *testing.T) {
	Convey("The share of one of 25 balancers of 4,000 flows is answered within a second, at the rate of the budget", t, func() {
		sr := newSearcher(58)
		for number := range 160 {
			sr.packet(number)
		}
		sr.runFor(3 * time.Second)
		So(sr.resets, ShouldEqual, 160)
		took := sr.doneAt.Sub(began.Add(viewSettled))
		So(took, ShouldBeLessThan, time.Second)
		So(sr.largest, ShouldBeLessThan, 2*absence.BytesPerSecond/10)
		So(sr.messages, ShouldBeLessThan, 160*58/4)
		t.Logf("58 agents, 160 flows: %v, %d messages, %d bytes, at most %d in 100 ms", took, sr.messages, sr.bytes, sr.largest)
	})
	Convey("With agents that don't answer, the rate holds as well and every search ends", t, func() {
		sr := newSearcher(58)
		for number := range 1000 {
			sr.packet(number)
		}
		for range 300 {
			sr.answers = nil
			sr.runFor(10 * time.Millisecond)
		}
		So(sr.drops, ShouldBeGreaterThanOrEqualTo, 1000)
		So(sr.resets, ShouldEqual, 0)
		So(sr.largest, ShouldBeLessThan, 2*absence.BytesPerSecond/10)
		So(sr.Idle(), ShouldBeTrue)
	})
	Convey("A single search asks at once", t, func() {
		sr := newSearcher(58)
		sr.packet(1)
		So(sr.messages, ShouldBeGreaterThan, 0)
		sr.runFor(time.Second)
		So(sr.resets, ShouldEqual, 1)
		So(sr.doneAt.Sub(began.Add(viewSettled)), ShouldBeLessThanOrEqualTo, 3*searchRoundTrip)
	})
	Convey("Messages and bytes for one flow grow with the agents of its service only", t, func() {
		for _, agents := range []int{58, 1000} {
			sr := newSearcher(agents)
			sr.packet(1)
			sr.runFor(2 * time.Second)
			So(sr.resets, ShouldEqual, 1)
			So(sr.messages, ShouldEqual, agents)
			t.Logf("%d agents, 1 flow: %v, %d messages, %d bytes", agents, sr.doneAt.Sub(began.Add(viewSettled)), sr.messages, sr.bytes)
		}
	})
}

// A question that an agent of a former build doesn't understand, or that isn't sent, loses
// flows during a rolling update.
func TestQuestionsToFormerBuilds(t *testing.T) {
	Convey("An agent gets single questions until it has answered one, and again after its restart", t, func() {
		pl, list := setUpPlacer(simService)
		ask := func(number int, now time.Time) Action {
			flow := Flow{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(number)), Service: simAddress}
			found := pl.HandlePacket(now, Packet{Flow: flow, Sequence: 1001, Length: 100, Acknowledged: 500001}, nil)
			So(kinds(found), ShouldResemble, []Kind{KindFind})
			return found[0]
		}
		first := ask(1, began)
		So(first.Batch, ShouldBeFalse)
		pl.HandleHolders(began, list[0], first.Number, []absence.Answer{absence.Absent})
		So(ask(2, began.Add(time.Second)).Batch, ShouldBeTrue)
		ag := Agent{Address: list[0], Service: simService, Domain: "a", State: register.StateReady, Slots: 2}
		ag.Incarnation = 2
		setAgents(pl, ag)
		So(ask(3, began.Add(2*time.Second)).Batch, ShouldBeFalse)
	})
	Convey("An agent that is heard and answers no number gets every question; its silence is no proof", t, func() {
		pl, list := setUpPlacer(simService)
		now := began.Add(time.Second)
		asked := 0
		for number := range 40 {
			now = now.Add(20 * time.Millisecond)
			pl.Tick(now)
			flow := Flow{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(number)), Service: simAddress}
			for _, ac := range pl.HandlePacket(now, Packet{Flow: flow, Sequence: 1001, Length: 100, Acknowledged: 500001}, nil) {
				if ac.Kind == KindFind {
					asked++
				}
				So(ac.Kind, ShouldNotEqual, KindReset)
			}
			pl.HandleReport(now, list[0], Report{State: register.StateReady, Slots: 2})
		}
		So(asked, ShouldBeGreaterThan, 36)
	})
	Convey("A former balancer's question gets the former answer", t, func() {
		gw := newGateAtWork()
		gw.restartAgentBesideHost()
		gw.SetRoutes(newSimulation(1, 1, 1).routes)
		fr := FindRequest{Flow: gw.flow, Acknowledged: 500001, Possible: true}
		So(kinds(gw.HandleFind(gw.now, gw.flow.Caller, fr)), ShouldResemble, []Kind{KindHeld})
		fr.Number = 7
		So(kinds(gw.HandleFind(gw.now, gw.flow.Caller, fr)), ShouldResemble, []Kind{KindHolders})
	})
}
