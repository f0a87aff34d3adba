package carriage

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// losePower stops everything and starts it again after the time: balancers, and hosts with
// their agents. The first hosts start before their agents, which miss the hosts' first
// check-ins.
func (si *simulation) losePower(down time.Duration, hostsFirst int) {
	si.rotation = nil
	for i := range si.balancers {
		si.balancers[i].live = false
		si.after(down, func() { si.startBalancer(i) })
	}
	for i := range si.hosts {
		si.stopAgent(i)
		si.crashHost(i)
		if i < hostsFirst {
			si.after(down, func() { si.startHost(i) })
			si.after(down+100*time.Millisecond, func() { si.startAgent(i) })
		} else {
			si.after(down, func() { si.startAgent(i) })
			si.after(down+100*time.Millisecond, func() { si.startHost(i) })
		}
	}
}

// unanswered returns the number of callers that wait for an answer for longer than the time.
func (si *simulation) unanswered(longer time.Duration) int {
	count := 0
	for _, ca := range si.callers {
		if !ca.done && ca.waiting && si.now.Sub(ca.began) > longer {
			count++
		}
	}
	return count
}

// After a loss of power the packets of all kept flows stayed without an answer until their
// callers gave up, as nobody said that the flows were lost.
func TestCallersAreResetAfterALossOfEverything(t *testing.T) {
	for _, hostsFirst := range []int{0, 3, 6} {
		Convey(fmt.Sprintf("Callers of kept flows are reset at once, with %d of 6 agents that missed the first check-in", hostsFirst), t, func() {
			si := newSimulation(60, 3, 6)
			si.keepAll(120, began.Add(20*time.Second), time.Second)
			si.runUntil(began.Add(5 * time.Second))
			So(si.failed+si.refused, ShouldEqual, 0)
			si.losePower(time.Second, hostsFirst)
			// The view of a balancer is complete a second after its start.
			si.runUntil(si.now.Add(time.Second + viewSettled + 300*time.Millisecond))
			So(si.refused, ShouldBeGreaterThan, 90)
			// The others had no copy of their packet since all agents have answered.
			si.runUntil(si.now.Add(1600 * time.Millisecond))
			So(si.unanswered(0), ShouldEqual, 0)
			si.runUntil(began.Add(12 * time.Second))
			So(si.refused, ShouldEqual, 120)
			So(si.failed+si.resetsOfOpen+si.wrongAnswers, ShouldEqual, 0)
		})
	}
}

// setUp returns a placer whose view is complete and that knows agents of the services.
func setUpPlacer(services ...string) (*Placer, []netip.AddrPort) {
	pl := NewPlacer(began, PlacerSettings{Domain: "a", OpeningTimeout: simOpeningTimeout, FlowLifetime: time.Minute})
	pl.SetRoutes(began, newSimulation(1, 1, 1).routes)
	pl.MembersListed(began)
	var addresses []netip.AddrPort
	for i, service := range services {
		ag := Agent{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i + 1)}), 7000), Service: service, Domain: "a", State: register.StateReady, Slots: 2}
		ag.Incarnation = 1
		setAgents(pl, ag)
		addresses = append(addresses, ag.Address)
	}
	return pl, addresses
}

// searchResult plays a search for a flow. Each agent gives its answer to each question, if it
// has one, and declines each packet.
func searchResult(pl *Placer, now time.Time, answers map[netip.AddrPort]absence.Answer) []Action {
	var result []Action
	pk := Packet{Flow: reusedFlow, Sequence: 1001, Length: 100, Acknowledged: 500001}
	todo := slices.Clone(pl.HandlePacket(now, pk, []byte("data")))
	for step := 0; step < 1000; step++ {
		if len(todo) == 0 {
			at := pl.Deadline()
			if at.IsZero() || at.Sub(now) > 500*time.Millisecond {
				break
			}
			if at.After(now) {
				now = at
			}
			todo = slices.Clone(pl.Tick(now))
			continue
		}
		ac := todo[0]
		todo = todo[1:]
		an, answered := answers[ac.To]
		switch {
		case ac.Kind == KindFind && answered:
			todo = append(todo, slices.Clone(pl.HandleHolders(now, ac.To, ac.Number, slices.Repeat([]absence.Answer{an}, len(ac.Questions))))...)
		case ac.Kind == KindForward && ac.Mode >= DeliverTentatively:
			result = append(result, ac)
			todo = append(todo, slices.Clone(pl.HandleDecline(now, ac.To, pk, ac.Data, ReasonNotHeld, Report{State: register.StateReady, Slots: 2}))...)
			answers[ac.To] = absence.Absent
		case ac.Kind == KindForward || ac.Kind == KindReset || ac.Kind == KindDrop:
			result = append(result, ac)
		}
	}
	return result
}

// A reset of a flow whose host lives breaks a promise.
func TestProofOfAbsence(t *testing.T) {
	settled := began.Add(viewSettled)
	all := func(list []netip.AddrPort, an absence.Answer) map[netip.AddrPort]absence.Answer {
		answers := make(map[netip.AddrPort]absence.Answer)
		for _, address := range list {
			answers[address] = an
		}
		return answers
	}
	Convey("A caller is reset once all agents have said that their hosts don't hold its flow", t, func() {
		pl, list := setUpPlacer(simService, simService, simOtherService)
		result := searchResult(pl, settled, all(list, absence.Absent))
		So(kinds(result), ShouldResemble, []Kind{KindReset})
		So(result[0].Reason, ShouldEqual, ReasonNotHeld)
		So(result[0].Acknowledged, ShouldEqual, 500001)
		So(result[0].Agents, ShouldEqual, 3)
		So(pl.flows.peek(reusedFlow), ShouldBeNil)
		So(pl.Idle(), ShouldBeTrue)
	})
	Convey("Hosts that possibly hold the flow are sent its packet first, those that are unlikely to after them", t, func() {
		pl, list := setUpPlacer(simService, simService, simOtherService)
		answers := map[netip.AddrPort]absence.Answer{list[0]: absence.Unlikely, list[1]: absence.Possible, list[2]: absence.Absent}
		result := searchResult(pl, settled, answers)
		So(kinds(result), ShouldResemble, []Kind{KindForward, KindForward, KindReset})
		So(result[0].To, ShouldEqual, list[1])
		So(result[1].To, ShouldEqual, list[0])
	})
	Convey("A host of another service is sent no packet, and is no proof unless its agent says so", t, func() {
		pl, list := setUpPlacer(simService, simService, simOtherService)
		answers := all(list, absence.Absent)
		answers[list[2]] = absence.Unknown
		So(kinds(searchResult(pl, settled, answers)), ShouldResemble, []Kind{KindDrop})
	})
	Convey("A flow that a host holds is found", t, func() {
		pl, list := setUpPlacer(simService, simService, simOtherService)
		answers := all(list, absence.Absent)
		answers[list[2]] = absence.Held
		result := searchResult(pl, settled, answers)
		So(kinds(result), ShouldResemble, []Kind{KindForward})
		So(result[0].Found, ShouldBeTrue)
	})
	for name, change := range map[string]func(pl *Placer, list []netip.AddrPort, answers map[netip.AddrPort]absence.Answer) time.Time{
		"an agent doesn't answer": func(_ *Placer, list []netip.AddrPort, answers map[netip.AddrPort]absence.Answer) time.Time {
			delete(answers, list[1])
			return settled
		},
		"an agent of another service doesn't answer a balancer that has just started": func(_ *Placer, list []netip.AddrPort, answers map[netip.AddrPort]absence.Answer) time.Time {
			delete(answers, list[2])
			return settled
		},
		"the agent of a host that may hold it has not said its service yet": func(pl *Placer, list []netip.AddrPort, answers map[netip.AddrPort]absence.Answer) time.Time {
			ag := Agent{Address: netip.MustParseAddrPort("10.2.0.9:7000"), Domain: "b"}
			ag.Incarnation = 1
			setAgents(pl, ag)
			return settled.Add(time.Hour)
		},
		"the balancer's view isn't complete": func(*Placer, []netip.AddrPort, map[netip.AddrPort]absence.Answer) time.Time {
			return settled.Add(-600 * time.Millisecond)
		},
		"the balancer hasn't read the entries": func(pl *Placer, _ []netip.AddrPort, _ map[netip.AddrPort]absence.Answer) time.Time {
			pl.listed = time.Time{}
			return settled
		},
	} {
		Convey("No caller is reset while "+name, t, func() {
			pl, list := setUpPlacer(simService, simService, simOtherService)
			answers := all(list, absence.Absent)
			now := change(pl, list, answers)
			result := searchResult(pl, now, answers)
			So(kinds(result), ShouldResemble, []Kind{KindDrop})
			So(result[0].Reason, ShouldEqual, ReasonNotFound)
		})
	}
	Convey("A caller is reset as soon as the view is complete if the proof is there before", t, func() {
		pl, list := setUpPlacer(simService)
		So(kinds(searchResult(pl, began, all(list, absence.Absent))), ShouldResemble, []Kind{KindDrop})
		So(pl.Deadline(), ShouldEqual, settled)
		So(kinds(pl.Tick(settled)), ShouldResemble, []Kind{KindReset})
		So(pl.Deadline().IsZero(), ShouldBeTrue)
	})
	Convey("Agents of other services don't matter to a balancer that has run for a flow's lifetime", t, func() {
		pl, list := setUpPlacer(simService, simService, simOtherService)
		answers := all(list, absence.Absent)
		delete(answers, list[2])
		So(kinds(searchResult(pl, began.Add(time.Minute), answers)), ShouldResemble, []Kind{KindReset})
	})
	Convey("The agent of a host that has checked out need not answer", t, func() {
		pl, list := setUpPlacer(simService, simService)
		answers := all(list, absence.Absent)
		delete(answers, list[1])
		pl.HandleReport(settled, list[1], Report{State: register.StateGone})
		So(kinds(searchResult(pl, settled, answers)), ShouldResemble, []Kind{KindReset})
	})
	Convey("Answers are kept for the next copy of the packet, which asks the other agents only", t, func() {
		pl, list := setUpPlacer(simService, simService, simService)
		answers := all(list, absence.Absent)
		delete(answers, list[1])
		So(kinds(searchResult(pl, settled, answers)), ShouldResemble, []Kind{KindDrop})
		now := settled.Add(200 * time.Millisecond)
		asked := pl.HandlePacket(now, Packet{Flow: reusedFlow, Sequence: 1001, Length: 100, Acknowledged: 500001}, nil)
		So(kinds(asked), ShouldResemble, []Kind{KindFind})
		So(asked[0].To, ShouldEqual, list[1])
		So(kinds(pl.HandleHolders(now, list[1], asked[0].Number, []absence.Answer{absence.Absent})), ShouldResemble, []Kind{KindReset})
	})
	Convey("Answers about a former flow between the same addresses don't count", t, func() {
		pl, list := setUpPlacer(simService, simService)
		answers := all(list, absence.Absent)
		delete(answers, list[1])
		searchResult(pl, settled, answers)
		now := settled.Add(200 * time.Millisecond)
		asked := pl.HandlePacket(now, Packet{Flow: reusedFlow, Sequence: 1001, Length: 100, Acknowledged: 7000001}, nil)
		So(kinds(asked), ShouldResemble, []Kind{KindFind, KindFind})
	})
	Convey("An answer to a number that wasn't asked, or of a process that wasn't, changes nothing", t, func() {
		pl, list := setUpPlacer(simService, simService)
		asked := pl.HandlePacket(settled, Packet{Flow: reusedFlow, Sequence: 1001, Acknowledged: 500001}, nil)
		So(asked[0].To, ShouldEqual, list[0])
		So(pl.HandleHolders(settled, list[0], asked[0].Number+100, []absence.Answer{absence.Absent}), ShouldBeEmpty)
		So(pl.HandleHolders(settled, list[1], asked[0].Number, []absence.Answer{absence.Absent}), ShouldBeEmpty)
		So(pl.HandleHolders(settled, netip.MustParseAddrPort("10.9.9.9:1"), asked[0].Number, []absence.Answer{absence.Absent}), ShouldBeEmpty)
		So(pl.HandleHolders(settled, list[0], asked[0].Number, nil), ShouldBeEmpty)
		So(pl.flows.peek(reusedFlow).search.absent.Len(), ShouldEqual, 0)
	})
}

// An agent that says Absent without proof has the open flows of its host reset.
func TestAgentAnswers(t *testing.T) {
	ask := func(gw *gateAtWork, acknowledged uint32) absence.Answer {
		list := gw.HandleFindHolders(gw.now, gw.flow.Caller, 7, []Question{{Flow: gw.flow, Acknowledged: acknowledged}})
		So(kinds(list), ShouldResemble, []Kind{KindHolders})
		So(list[0].Number, ShouldEqual, 7)
		return list[0].Answers[0]
	}
	Convey("An agent that has admitted all flows of its host is certain", t, func() {
		gw := newGateAtWork()
		So(ask(gw, 500001), ShouldEqual, absence.Absent)
		pk := gw.open()
		So(ask(gw, pk.Acknowledged), ShouldEqual, absence.Held)
		So(ask(gw, 7000001), ShouldEqual, absence.Reused)
	})
	Convey("So is one that received the first check-in of its host, whatever its clock says", t, func() {
		for sequence, want := range map[uint64]absence.Answer{1: absence.Provisional, 2: absence.Unlikely, 50: absence.Possible} {
			gw := newGateAtWork()
			gw.restartAgent()
			gw.SetRoutes(newSimulation(1, 1, 1).routes)
			ci := gw.checkIn(sequence)
			ci.StartedAt = gw.now.Add(5 * time.Second)
			gw.CheckIn(gw.now, ci)
			So(ask(gw, 500001), ShouldEqual, want)
			ci.Sequence++
			gw.CheckIn(gw.now, ci)
			if want == absence.Provisional {
				want = absence.Absent
			}
			So(ask(gw, 500001), ShouldEqual, want)
		}
	})
	Convey("An agent that was restarted beside its host says Possible until the host returns the packet", t, func() {
		gw := newGateAtWork()
		gw.restartAgentBesideHost()
		gw.SetRoutes(newSimulation(1, 1, 1).routes)
		pk := Packet{Sequence: 1001, Length: 100, Acknowledged: 500001}
		So(ask(gw, pk.Acknowledged), ShouldEqual, absence.Possible)
		gw.fromCaller(pk)
		So(ask(gw, pk.Acknowledged), ShouldEqual, absence.Possible)
		pk.Returned = true
		gw.fromHost(pk)
		So(ask(gw, pk.Acknowledged), ShouldEqual, absence.Absent)
		So(ask(gw, 7000001), ShouldEqual, absence.Possible)
	})
	Convey("So it does after the host has restarted", t, func() {
		gw := newGateAtWork()
		gw.restartAgentBesideHost()
		gw.SetRoutes(newSimulation(1, 1, 1).routes)
		pk := Packet{Sequence: 1001, Length: 100, Acknowledged: 500001}
		gw.fromCaller(pk)
		pk.Returned = true
		gw.fromHost(pk)
		ci := gw.checkIn(2)
		ci.StartedAt = gw.now.Add(time.Second)
		_, err := gw.CheckIn(gw.now, ci)
		So(err, ShouldBeNil)
		So(ask(gw, pk.Acknowledged), ShouldEqual, absence.Absent)
		So(ask(gw, 7000001), ShouldEqual, absence.Unlikely)
	})
	Convey("An agent says that its host holds no other flow between the addresses of an open one, as it delivers no packet of it", t, func() {
		gw := newGateAtWork()
		gw.restartAgentBesideHost()
		gw.SetRoutes(newSimulation(1, 1, 1).routes)
		pk := gw.open()
		So(ask(gw, pk.Acknowledged), ShouldEqual, absence.Held)
		So(ask(gw, 7000001), ShouldEqual, absence.Reused)
		So(kinds(gw.fromCaller(Packet{Sequence: 900001, Length: 100, Acknowledged: 7000001})), ShouldResemble, []Kind{KindDecline})
	})
	Convey("A returned opening proves nothing about another flow between the same addresses", t, func() {
		gw := newGateAtWork()
		gw.restartAgentBesideHost()
		gw.SetRoutes(newSimulation(1, 1, 1).routes)
		gw.fromCaller(Packet{Opening: true, Sequence: 1000})
		So(ask(gw, 500001), ShouldEqual, absence.Possible)
		gw.fromHost(Packet{Opening: true, Sequence: 1000, Returned: true})
		So(ask(gw, 500001), ShouldEqual, absence.Possible)
	})
	Convey("An agent doesn't say Absent while its host may still accept the flow, or has accepted a late copy of its opening", t, func() {
		gw := newGateAtWork()
		gw.fromCaller(Packet{Opening: true, Sequence: 1000})
		So(ask(gw, 500001), ShouldEqual, absence.Possible)
		gw.fromHost(Packet{Accepting: true, Sequence: 500000})
		So(ask(gw, 500601), ShouldEqual, absence.Possible)
		So(ask(gw, 500001), ShouldEqual, absence.Held)
	})
	Convey("An agent whose routes give the address to another service never asks for a packet", t, func() {
		gw := newGateAtWork()
		gw.restartAgentBesideHost()
		So(ask(gw, 500001), ShouldEqual, absence.Unknown)
		gw.SetRoutes(routesTo(2, simOtherService, 1))
		So(ask(gw, 500001), ShouldEqual, absence.Unknown)
		gw.restartAgent()
		gw.SetRoutes(routesTo(2, simOtherService, 1))
		gw.CheckIn(gw.now, gw.checkIn(2))
		So(ask(gw, 500001), ShouldEqual, absence.Unknown)
	})
	Convey("A check-in of another writer that names a later start makes no agent certain", t, func() {
		gw := newGateAtWork()
		gw.restartAgentBesideHost()
		gw.SetRoutes(newSimulation(1, 1, 1).routes)
		ci := gw.checkIn(1)
		ci.Name, ci.StartedAt = "other", gw.now.Add(time.Second)
		_, err := gw.CheckIn(gw.now, ci)
		So(err, ShouldBeNil)
		So(ask(gw, 500001).IsAbsent(), ShouldBeFalse)
	})
	Convey("One that arrives first makes the agent certain until the host's own check-in", t, func() {
		gw := newGateAtWork()
		gw.restartAgent()
		gw.SetRoutes(newSimulation(1, 1, 1).routes)
		ci := gw.checkIn(1)
		ci.Name, ci.StartedAt = "other", gw.now.Add(time.Second)
		gw.CheckIn(gw.now, ci)
		So(ask(gw, 500001), ShouldEqual, absence.Provisional)
		gw.CheckIn(gw.now, gw.checkIn(50))
		So(ask(gw, 500001).IsAbsent(), ShouldBeFalse)
	})
	Convey("An agent whose host has checked out says Absent, but of flows that it knows", t, func() {
		gw := newGateAtWork()
		pk := gw.open()
		gw.restartAgentBesideHost()
		gw.CheckOut(gw.now, "h")
		So(ask(gw, 7000001), ShouldEqual, absence.Absent)
		So(kinds(gw.fromCaller(Packet{Sequence: 1001, Length: 100, Acknowledged: pk.Acknowledged})), ShouldResemble, []Kind{KindDecline})
	})
	Convey("An agent that forgets flows which its host may hold isn't certain for a flow's lifetime", t, func() {
		gw := newGateAtWork()
		for i := range maxHostFlows + 1 {
			gw.flows.put(gw.now, Flow{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.9.9"), uint16(i)), Service: simAddress}, &hostFlow{stage: stageOpen})
		}
		gw.Tick(gw.now)
		So(ask(gw, 500001).IsAbsent(), ShouldBeFalse)
		gw.now = gw.now.Add(time.Minute)
		So(ask(gw, 500001), ShouldEqual, absence.Absent)
	})
	Convey("It stays certain if the host may have discarded them", t, func() {
		for _, idleTimeout := range []time.Duration{15 * time.Second, 0} {
			gw := newGateAtWork()
			gw.lifetime = time.Hour
			gw.certainty = absence.NewCertainty(gw.now, time.Hour, true)
			routes := *newSimulation(1, 1, 1).routes
			routes.IdleTimeout = idleTimeout
			gw.SetRoutes(&routes)
			pk := gw.open()
			gw.now = gw.now.Add(61 * time.Second)
			gw.Tick(gw.now)
			if idleTimeout > 0 {
				So(ask(gw, pk.Acknowledged), ShouldEqual, absence.Absent)
			} else {
				So(ask(gw, pk.Acknowledged).IsAbsent(), ShouldBeFalse)
			}
		}
	})
}
