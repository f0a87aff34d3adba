package carriage

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Three packets of an open flow at other hosts within 2 s, and none at its own, break the flow:
// searches whose question to the flow's holder was lost sent the packet to all other hosts that
// possibly held it.
func TestTentativeTries(t *testing.T) {
	settled := began.Add(viewSettled)
	forwards := func(list []Action) int {
		count := 0
		for _, ac := range list {
			if ac.Kind == KindForward {
				count++
			}
		}
		return count
	}
	// setUp returns a placer with agents whose hosts possibly hold the flow, except the last
	// one, which answers nothing.
	setUp := func(agents int) (*Placer, []netip.AddrPort, map[netip.AddrPort]absence.Answer) {
		services := make([]string, agents)
		for i := range services {
			services[i] = simService
		}
		pl, list := setUpPlacer(services...)
		answers := make(map[netip.AddrPort]absence.Answer)
		for _, address := range list[:len(list)-1] {
			answers[address] = absence.Possible
		}
		return pl, list, answers
	}
	Convey("Searches for a flow send its packet to two hosts at most while an agent hasn't answered", t, func() {
		pl, list, answers := setUp(9)
		count := forwards(searchResult(pl, settled, answers))
		So(count, ShouldBeBetweenOrEqual, 1, maxEarlyTries)
		for _, after := range []time.Duration{200, 400} {
			// The agent runs: it answers what others ask.
			now := settled.Add(after * time.Millisecond)
			pl.HandleHolders(now, list[8], 0, nil)
			count += forwards(searchResult(pl, now, answers))
			So(count, ShouldBeLessThanOrEqualTo, maxEarlyTries)
		}
	})
	Convey("They send it to more hosts once all agents have answered", t, func() {
		pl, list, answers := setUp(6)
		answers[list[5]] = absence.Possible
		So(forwards(searchResult(pl, settled, answers)), ShouldEqual, 6)
	})
	Convey("They do so while an agent is suspected, or has left questions unanswered for silentAfter", t, func() {
		pl, list, answers := setUp(6)
		pl.agents[list[5]].suspect = true
		So(forwards(searchResult(pl, settled, answers)), ShouldEqual, 5)
		pl, _, answers = setUp(6)
		count := 0
		for _, after := range []time.Duration{0, 200, 400} {
			count += forwards(searchResult(pl, settled.Add(after*time.Millisecond), answers))
		}
		So(count, ShouldEqual, 5)
	})
	Convey("Hosts whose agents were restarted last come first, and among those restarted together the near ones", t, func() {
		pl, list := setUpPlacer()
		for i, it := range []struct {
			incarnation uint64
			domain      string
		}{{5000, "a"}, {60_500, "b"}, {60_000, "a"}, {30_000, "a"}} {
			ag := Agent{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i + 1)}), 7000), Service: simService, Domain: it.domain, State: register.StateReady, Slots: 2}
			ag.Incarnation = it.incarnation
			setAgents(pl, ag)
			list = append(list, ag.Address)
		}
		answers := make(map[netip.AddrPort]absence.Answer)
		for _, address := range list {
			answers[address] = absence.Possible
		}
		var order []netip.AddrPort
		for _, ac := range searchResult(pl, settled, answers) {
			if ac.Kind == KindForward {
				order = append(order, ac.To)
			}
		}
		So(order, ShouldResemble, []netip.AddrPort{list[2], list[1], list[3], list[0]})
	})
	Convey("An agent that was restarted isn't silent because the earlier process left questions unanswered", t, func() {
		pl, list := setUpPlacer(simService)
		ob := &pl.agents[list[0]].outbox
		for i := range silentUnanswered {
			ob.inquiries = append(ob.inquiries, inquiry{number: uint32(i), sent: began})
		}
		So(ob.isSilent(settled), ShouldBeTrue)
		ag := Agent{Address: list[0], Service: simService, Domain: "a", State: register.StateReady, Slots: 2}
		ag.Incarnation = 2
		setAgents(pl, ag)
		So(ob.isSilent(settled), ShouldBeFalse)
		pl.markAlive(settled, pl.agents[list[0]])
		So(ob.former, ShouldBeFalse)
	})
}

// Searches that missed the holder's answer sent three packets of an open flow to other hosts
// within two seconds.
func TestPacketsSentToHostsThatMayHoldTheFlow(t *testing.T) {
	Convey("Searches send two packets of a flow at most within tentativeInterval to hosts that may hold it", t, func() {
		services := make([]string, 200)
		for i := range services {
			services[i] = simService
		}
		pl, list := setUpPlacer(services...)
		answers := make(map[netip.AddrPort]absence.Answer)
		var tried []time.Duration
		for _, after := range []time.Duration{0, 200, 600, 1400, 3000} {
			for _, address := range list {
				if _, known := answers[address]; !known {
					answers[address] = absence.Possible
				}
			}
			after *= time.Millisecond
			for _, ac := range searchResult(pl, began.Add(viewSettled+after), answers) {
				if ac.Kind == KindForward {
					tried = append(tried, after)
					break
				}
			}
		}
		So(tried, ShouldResemble, []time.Duration{0, 200 * time.Millisecond, 3 * time.Second})
	})
}
