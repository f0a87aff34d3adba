package carriage

import (
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/workload"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// newWorkPlacer returns a placer that knows agents of one domain, and may rank them by
// remaining work.
func newWorkPlacer(agents int, byWork bool) (*Placer, []netip.AddrPort) {
	pl := NewPlacer(began, PlacerSettings{Domain: "a", OpeningTimeout: simOpeningTimeout, ByRemainingWork: byWork})
	pl.SetRoutes(began, newSimulation(1, 1, 1).routes)
	var addresses []netip.AddrPort
	for i := range agents {
		ag := Agent{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte((i + 1) >> 8), byte(i + 1)}), 7000), Service: simService, Domain: "a"}
		ag.State, ag.Slots, ag.Incarnation = register.StateReady, 2, 1
		setAgents(pl, ag)
		addresses = append(addresses, ag.Address)
	}
	return pl, addresses
}

// readyReport returns the report of a host with one request in progress.
func readyReport(work workload.Figures) Report {
	return Report{State: register.StateReady, Slots: 2, InProgress: 1, Work: work}
}

// chosen returns the agent that gets a new flow at the time.
func chosen(pl *Placer, now time.Time) netip.AddrPort {
	flow := Flow{Caller: netip.AddrPortFrom(simAddress.Addr(), uint16(now.Sub(began)/time.Microsecond)+1), Service: simAddress}
	list := pl.HandlePacket(now, Packet{Flow: flow, Opening: true}, nil)
	return list[len(list)-1].To
}

// changes returns the changes of the ranking in a list of actions.
func changes(list []Action) []bool {
	var found []bool
	for _, ac := range list {
		if ac.Kind == KindRanking {
			found = append(found, ac.Sure)
		}
	}
	return found
}

func TestRankingByRemainingWork(t *testing.T) {
	long := workload.Figures{Remaining: 300 * time.Millisecond, MeanCost: 20 * time.Millisecond, Advantage: 1}
	short := workload.Figures{Remaining: 2 * time.Millisecond, MeanCost: 20 * time.Millisecond, Advantage: 1}
	Convey("Of hosts with as many requests the one with less remaining work gets the flow, if the setting asks for it", t, func() {
		for _, byWork := range []bool{false, true} {
			pl, agents := newWorkPlacer(3, byWork)
			var list []bool
			for i := range 40 {
				now := began.Add(time.Duration(i) * basisReview)
				busy := readyReport(long)
				busy.InProgress = 0
				list = append(list, changes(pl.HandleReport(now, agents[0], busy))...)
				list = append(list, changes(pl.HandleReport(now, agents[1], readyReport(short)))...)
				list = append(list, changes(pl.HandleReport(now, agents[2], busy))...)
				// The first review is that of the first report, which alone decides nothing.
				if to := chosen(pl, now); byWork && i > 0 {
					So(to, ShouldEqual, agents[1])
				} else {
					So(to, ShouldNotEqual, agents[1])
				}
			}
			if byWork {
				So(list, ShouldResemble, []bool{true})
			} else {
				So(list, ShouldBeEmpty)
			}
		}
	})
	Convey("An opening that was sent counts until the next report", t, func() {
		pl, agents := newWorkPlacer(2, true)
		for _, address := range agents {
			pl.HandleReport(began, address, readyReport(short))
		}
		now := began.Add(basisReview)
		pl.HandleReport(now, agents[0], readyReport(short))
		pl.HandleReport(now, agents[1], readyReport(short))
		first := chosen(pl, now)
		So(chosen(pl, now.Add(time.Microsecond)), ShouldNotEqual, first)
	})
}

func TestFallbackToCounts(t *testing.T) {
	good := workload.Figures{MeanCost: 20 * time.Millisecond, Advantage: 1}
	// reviewed returns the changes of the ranking when all agents report good work and
	// then each its own of the given ones.
	reviewed := func(then ...workload.Figures) []bool {
		pl, agents := newWorkPlacer(len(then), true)
		var list []bool
		report := func(now time.Time, works []workload.Figures) {
			for range 2 {
				for i, work := range works {
					list = append(list, changes(pl.HandleReport(now, agents[i], readyReport(work)))...)
				}
				now = now.Add(basisReview)
			}
		}
		report(began, slices.Repeat([]workload.Figures{good}, len(then)))
		report(began.Add(time.Second), then)
		return list
	}
	Convey("Hosts are ranked by counts again if the model stops to predict better", t, func() {
		poor, fair := good, good
		poor.Advantage, fair.Advantage = keepAdvantage/2, (keepAdvantage+minAdvantage)/2
		So(reviewed(poor, poor), ShouldResemble, []bool{true, false})
		So(reviewed(fair, fair), ShouldResemble, []bool{true})
	})
	Convey("Hosts are ranked by counts if most reports lack the work or have absurd figures", t, func() {
		for _, bad := range []workload.Figures{
			{},
			{MeanCost: -1, Advantage: 1},
			{MeanCost: 2 * time.Hour, Advantage: 1},
			{Remaining: -1, MeanCost: 1, Advantage: 1},
			{MeanCost: 1, Advantage: math.NaN()},
			{MeanCost: 1, Advantage: math.Inf(1)},
		} {
			So(reviewed(bad, bad, good), ShouldResemble, []bool{true, false})
			So(reviewed(bad, good, good), ShouldResemble, []bool{true})
		}
	})
	Convey("Figures that are missing at first leave the ranking by counts in force", t, func() {
		pl, agents := newWorkPlacer(2, true)
		So(changes(pl.HandleReport(began, agents[0], readyReport(workload.Figures{}))), ShouldBeEmpty)
		So(pl.basisOf(Flow{}, simService, 0).byWork(), ShouldBeFalse)
	})
}

func TestHostThatCostsMore(t *testing.T) {
	Convey("A host whose requests cost three times as much is tried once in a while", t, func() {
		pl, agents := newWorkPlacer(3, true)
		counts := make(map[netip.AddrPort]int)
		for i := range 1000 {
			now := began.Add(time.Duration(i) * 10 * time.Millisecond)
			for at, address := range agents {
				work := workload.Figures{MeanCost: 20 * time.Millisecond, Advantage: 1}
				if at == 0 {
					work.MeanCost = 60 * time.Millisecond
				}
				re := readyReport(work)
				re.InProgress = 0
				pl.HandleReport(now, address, re)
			}
			counts[chosen(pl, now)]++
		}
		So(counts[agents[0]], ShouldBeBetween, 5, 30)
	})
}

func TestRouteCosts(t *testing.T) {
	Convey("The cost of a route is learned from confirmations, and forgotten with the route", t, func() {
		pl, agents := newWorkPlacer(1, true)
		flow := Flow{Caller: simAddress, Service: simAddress}
		pl.HandlePacket(began, Packet{Flow: flow, Opening: true}, nil)
		pl.HandleConfirmation(began, agents[0], flow, readyReport(workload.Figures{
			MeanCost: 20 * time.Millisecond, RouteCost: 50 * time.Millisecond, Advantage: 1,
		}))
		So(pl.basisOf(flow, simService, 0).relative, ShouldEqual, 2.5)
		pl.SetRoutes(began, &catalog.Routes{Version: 2})
		So(pl.bases.routes, ShouldBeEmpty)
	})
}

func TestGateReportsWork(t *testing.T) {
	Convey("An agent reports its host's work and the cost of a route only if it was asked to", t, func() {
		for _, reports := range []bool{false, true} {
			ga := NewGate(began, GateSettings{
				Service: simService, HostAddress: simHostAddress, HeartbeatInterval: simHeartbeat, FlowLifetime: time.Minute,
				OpeningTimeout: simOpeningTimeout, FirstStart: true, ReportsWork: reports,
			})
			ga.CheckIn(began, CheckIn{Name: "h", StartedAt: began, Sequence: 1, Service: simService, Address: simHostAddress, Slots: 1})
			now := began
			flow := Flow{Caller: simAddress, Service: simAddress}
			fromCaller := func(pk Packet) {
				pk.Flow = flow
				ga.HandleForwarded(now, ForwardedPacket{Packet: pk, ServiceHash: serviceHash(simService), Started: now}, nil)
			}
			fromCaller(Packet{Opening: true, Sequence: 7})
			ga.HandleHostPacket(now, Packet{Flow: flow, Accepting: true, Sequence: 500}, nil)
			fromCaller(Packet{Sequence: 8, Length: 100, Acknowledged: 501})
			now = now.Add(20 * time.Millisecond)
			ga.HandleHostPacket(now, Packet{Flow: flow, Sequence: 501, Length: 600}, nil)
			re := ga.ReportOn(now, flow)
			if !reports {
				So(re.Work, ShouldResemble, workload.Figures{})
				continue
			}
			So(re.Work.Remaining, ShouldEqual, 0)
			So(re.Work.MeanCost, ShouldEqual, 20*time.Millisecond)
			So(re.Work.RouteCost, ShouldBeBetweenOrEqual, 19*time.Millisecond, 20*time.Millisecond)
			// A second request on the flow is in progress, and its caller resets the flow.
			fromCaller(Packet{Sequence: 108, Length: 100, Acknowledged: 1101})
			So(ga.Report(now).Work.Remaining, ShouldBeGreaterThan, 10*time.Millisecond)
			fromCaller(Packet{Resets: true, Sequence: 208})
			So(ga.Report(now).Work.Remaining, ShouldBeLessThan, 5*time.Millisecond)
			So(ga.work.InProgress(), ShouldEqual, 0)
		}
	})
}
