package explanation

import (
	"bytes"
	"encoding/json"
	"flag"
	"math"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/coordination/workload"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

var update = flag.Bool("update", false, "write the golden files")

var (
	began   = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	caller  = netip.MustParseAddrPort("100.64.0.25:1047")
	address = netip.MustParseAddrPort("198.18.0.1:443")
	unknown = netip.MustParseAddrPort("198.18.0.9:443")
)

// golden compares a text with a golden file, or writes the file if -update is set.
func golden(name, got string) {
	path := "testdata/" + name
	if *update {
		So(os.WriteFile(path, []byte(got), 0o600), ShouldBeNil)
	}
	want, err := os.ReadFile(path)
	So(err, ShouldBeNil)
	So(got, ShouldEqual, string(want))
}

// goldens compares the table and the JSON form of an answer with golden files.
func goldens(name string, an Answer) {
	var text bytes.Buffer
	an.WriteText(&text)
	golden(name+".txt", text.String())
	data, err := json.MarshalIndent(an, "", "  ")
	So(err, ShouldBeNil)
	golden(name+".json", string(data)+"\n")
	var back Answer
	So(json.Unmarshal(data, &back), ShouldBeNil)
	So(back, ShouldResemble, an)
	data, err = cbor.Marshal(an)
	So(err, ShouldBeNil)
	back = Answer{}
	So(cbor.Unmarshal(data, &back), ShouldBeNil)
	if back.Chain != nil {
		// CBOR holds no time zone.
		back.Chain.NextChange = back.Chain.NextChange.UTC()
	}
	So(back, ShouldResemble, an)
}

func hostAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7100)
}

// newPlacer returns the placer of a balancer in domain mitt-a with eight hosts of two
// services. The hosts differ in load, state and service time.
func newPlacer() *carriage.Placer {
	pl := carriage.NewPlacer(began, carriage.PlacerSettings{Domain: "mitt-a", OpeningTimeout: time.Second})
	pl.SetOtherBalancers(3)
	pl.SetRoutes(began, &catalog.Routes{Version: 7, Addresses: map[netip.AddrPort]catalog.Route{
		address: {Services: catalog.WeightedServices{{Service: "yardline", Weight: 3}, {Service: "ledgerwash"}}},
	}})
	for i := range 9 {
		ag := carriage.Agent{
			Address: hostAddress(i), Service: "yardline", Domain: []string{"mitt-a", "mitt-b"}[i%2],
			State: register.StateReady, Slots: 2,
		}
		ag.Incarnation = 1
		if i == 8 {
			ag.Service = "ledgerwash"
		}
		pl.SetAgent(began, ag)
	}
	reports := []carriage.Report{
		{State: register.StateReady, InProgress: 2, Slots: 2, ServiceTime: 28 * time.Millisecond},
		{State: register.StateReady, Slots: 2, ServiceTime: 30 * time.Millisecond},
		{State: register.StateWarming, Expected: 0.5, Slots: 2, ServiceTime: 44 * time.Millisecond},
		{State: register.StateReady, InProgress: 1, Slots: 2, ServiceTime: 120 * time.Millisecond},
		{State: register.StateDraining, Slots: 2},
		{State: register.StateGone, Slots: 2},
		{State: register.StateReady, InProgress: 3, Slots: 2, ServiceTime: 29 * time.Millisecond},
	}
	for i, re := range reports {
		pl.HandleReport(began.Add(time.Duration(i)*10*time.Millisecond), hostAddress(i), re)
	}
	return pl
}

// now is after the time in which a starting balancer lets openings wait.
var now = began.Add(5 * time.Second)

// It guards against output that lacks an input, and against an encoding that loses one.
func TestAnswerOfPlatformBalancer(t *testing.T) {
	Convey("The answer names the service, the choice and each host with its inputs and reason", t, func() {
		pl := newPlacer()
		for i := range 7 {
			// The hosts' last reports are recent.
			if i != 4 && i != 5 {
				pl.HandlePeerAlive(now, hostAddress(i))
			}
		}
		pl.HandleReport(now.Add(-20*time.Millisecond), hostAddress(0), carriage.Report{
			State: register.StateReady, InProgress: 2, Slots: 2, ServiceTime: 28 * time.Millisecond,
		})
		an := OfPlacement(pl.Explain(now, carriage.Flow{Caller: caller, Service: address}))
		an.Balancer, an.Domain = "edge-a-1", "mitt-a"
		an.SetConfirmed(400 * time.Millisecond)
		So(an.Err(), ShouldBeNil)
		goldens("placement", an)
	})
	Convey("With ranking by remaining work each host has its work, mean cost and load", t, func() {
		pl := carriage.NewPlacer(began, carriage.PlacerSettings{Domain: "mitt-a", OpeningTimeout: time.Second, ByRemainingWork: true})
		pl.SetOtherBalancers(3)
		pl.SetRoutes(began, &catalog.Routes{Version: 7, Addresses: map[netip.AddrPort]catalog.Route{
			address: {Services: catalog.WeightedServices{{Service: "yardline", Weight: 1}}},
		}})
		for i := range 5 {
			ag := carriage.Agent{Address: hostAddress(i), Service: "yardline", Domain: "mitt-a", State: register.StateReady, Slots: 2}
			if i == 4 {
				ag.Service = "ledgerwash"
			}
			pl.SetAgent(began, ag)
		}
		for round := range 2 {
			for i := range 4 {
				re := carriage.Report{State: register.StateReady, InProgress: 2, Slots: 2, ServiceTime: 20 * time.Millisecond}
				if i < 3 {
					re.Work = workload.Figures{
						Remaining: time.Duration(10+i*40) * time.Millisecond, MeanCost: time.Duration(20+10*i) * time.Millisecond, Advantage: 0.6,
					}
				}
				pl.HandleReport(now.Add(time.Duration(round*200-210+i)*time.Millisecond), hostAddress(i), re)
			}
		}
		an := OfPlacement(pl.Explain(now, carriage.Flow{Caller: caller, Service: address}))
		So(an.RankedBy, ShouldEqual, RankedByWork)
		goldens("remaining-work", an)
	})
	Convey("A host that didn't confirm is suspected, and one without an agent's report may appear", t, func() {
		pl := carriage.NewPlacer(began, carriage.PlacerSettings{Domain: "mitt-a", OpeningTimeout: time.Second})
		pl.SetOtherBalancers(3)
		pl.SetRoutes(began, &catalog.Routes{Version: 7, Addresses: map[netip.AddrPort]catalog.Route{
			address: {Services: catalog.WeightedServices{{Service: "yardline", Weight: 1}}},
		}})
		pl.SetAgent(began, carriage.Agent{Address: hostAddress(1), Service: "yardline", Domain: "mitt-a", State: register.StateReady, Slots: 2})
		pl.HandlePacket(now, carriage.Packet{Flow: carriage.Flow{Caller: caller, Service: address}, Opening: true}, nil)
		later := now.Add(carriage.ConfirmTimeout)
		pl.Tick(later)
		goldens("waiting", OfPlacement(pl.Explain(later, carriage.Flow{Caller: caller, Service: address})))
	})
	Convey("Without a host that may appear the opening is refused", t, func() {
		pl := carriage.NewPlacer(began, carriage.PlacerSettings{Domain: "mitt-a", OpeningTimeout: time.Second})
		pl.SetRoutes(began, &catalog.Routes{Version: 7, Addresses: map[netip.AddrPort]catalog.Route{
			address: {Services: catalog.WeightedServices{{Service: "yardline", Weight: 1}, {Service: "ledgerwash", Weight: 1}}},
		}})
		goldens("refused", OfPlacement(pl.Explain(now, carriage.Flow{Caller: caller, Service: address})))
	})
	Convey("An unknown address and a balancer without a configuration are problems", t, func() {
		an := OfPlacement(newPlacer().Explain(now, carriage.Flow{Caller: caller, Service: unknown}))
		So(an.Problem.Kind, ShouldEqual, UnknownAddress)
		So(an.Err().Error(), ShouldEqual, "address 198.18.0.9:443 has no route in configuration version 7")
		goldens("unknown-address", an)

		pl := newPlacer()
		pl.SetRoutes(began, &catalog.Routes{Version: 8, Addresses: map[netip.AddrPort]catalog.Route{
			address: {Services: catalog.WeightedServices{{Service: "yardline"}}},
		}})
		an = OfPlacement(pl.Explain(now, carriage.Flow{Caller: caller, Service: address}))
		So(an.Problem.Kind, ShouldEqual, UnknownAddress)
		So(an.Err().Error(), ShouldContainSubstring, "weight zero in configuration version 8")

		pl = carriage.NewPlacer(began, carriage.PlacerSettings{Domain: "mitt-a", OpeningTimeout: time.Second})
		an = OfPlacement(pl.Explain(now, carriage.Flow{Caller: caller, Service: address}))
		So(an.Problem.Kind, ShouldEqual, NoConfiguration)
		goldens("no-configuration", an)
	})
}

// It guards against an answer that can't be encoded because of a host's report.
func TestAnswerWithoutNumbers(t *testing.T) {
	Convey("A host whose cost is no number isn't chosen, and its cost is left out", t, func() {
		pl := newPlacer()
		pl.HandleReport(now, hostAddress(6), carriage.Report{State: register.StateReady, Expected: math.NaN(), Slots: 2})
		an := OfPlacement(pl.Explain(now, carriage.Flow{Caller: caller, Service: address}))
		So(*an.Choice, ShouldNotEqual, hostAddress(6))
		So(an.Hosts[0].Address, ShouldEqual, *an.Choice)
		_, err := json.Marshal(an)
		So(err, ShouldBeNil)
		for _, ho := range an.Hosts {
			So(ho.Cost == nil, ShouldEqual, ho.Candidate == nil || ho.Address == hostAddress(6))
		}
	})
}

func host(i int, service register.ServiceID, st register.State) register.Host {
	return register.Host{
		Revision: register.Revision{Incarnation: 4, Sequence: 1}, Address: hostAddress(i), Service: service,
		Domain: []string{"mitt-a", "mitt-b"}[i%2], State: st, Weight: register.FullWeight, Load: uint16(10 * i),
	}
}

// It guards against an answer of the own interface that lacks a host or a reason.
func TestAnswerOfOwnInterface(t *testing.T) {
	hosts := []register.Host{
		host(0, 7, register.StateReady), host(1, 7, register.StateReady), host(2, 7, register.StateReady),
		host(3, 7, register.StateDraining), host(4, 7, register.StateReady), host(5, 8, register.StateReady),
		host(6, 7, register.StateReady), host(7, 7, register.StateReady),
	}
	weight := func(ho register.Host) uint16 {
		if ho.Address == hostAddress(4) {
			return 0
		}
		return ho.Weight
	}
	var ranked []register.Host
	for _, ho := range hosts {
		if ho.Weight = weight(ho); ho.Weight == 0 {
			ho.State = register.StateDraining
		}
		ranked = append(ranked, ho)
	}
	table := route.NewTable(route.DeriveKey(bytes.Repeat([]byte{1}, 32)), began, ranked)
	view := ChainView{
		Configuration: &catalog.Configuration{
			Version: catalog.Version{Term: 2, Number: 5},
			Services: []catalog.Service{
				{ID: 7, Name: "yardline", Addresses: []netip.AddrPort{address}},
				{ID: 8, Name: "ledgerwash"},
			},
		},
		Explain: func(service register.ServiceID, caller netip.AddrPort) route.Explanation {
			return route.Explain(table, service, caller)
		},
		Hosts: hosts, Weight: weight,
	}
	Convey("The answer has the chain, the choice and each other host with its reason", t, func() {
		an := OfChain(view, caller, address)
		an.Balancer = "10.0.0.9:7000"
		So(an.Err(), ShouldBeNil)
		So(len(an.Hosts), ShouldEqual, len(hosts))
		goldens("chain", an)
	})
	Convey("Hosts outside the chain are bounded", t, func() {
		many := view
		for i := range maxOtherHosts {
			ho := host(1, 9, register.StateReady)
			ho.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7100)
			many.Hosts = append(many.Hosts, ho)
		}
		an := OfChain(many, caller, address)
		So(an.OtherHosts, ShouldBeGreaterThan, 0)
		So(len(an.Hosts)+an.OtherHosts, ShouldEqual, len(many.Hosts))
	})
	Convey("An unknown address and a missing configuration are problems, and without hosts nothing is sent", t, func() {
		an := OfChain(view, caller, unknown)
		So(an.Problem.Kind, ShouldEqual, UnknownAddress)
		So(an.Err().Error(), ShouldEqual, "address 198.18.0.9:443 belongs to no service in configuration version 2.5")
		empty := view
		empty.Configuration = &catalog.Configuration{}
		an = OfChain(empty, caller, address)
		So(an.Problem.Kind, ShouldEqual, NoConfiguration)
		table = route.NewTable(route.DeriveKey(bytes.Repeat([]byte{1}, 32)), began, nil)
		view.Hosts = nil
		an = OfChain(view, caller, address)
		So(an.Outcome, ShouldEqual, OutcomeDropped)
		So(an.Choice, ShouldBeNil)
		goldens("no-host", an)
	})
}

// It guards against a problem that hides an earlier one.
func TestFirstProblemStays(t *testing.T) {
	Convey("The first problem stays", t, func() {
		var an Answer
		So(an.Err(), ShouldBeNil)
		an.SetProblem(NoConfiguration, "first")
		an.SetProblem(StaleView, "second")
		So(an.Err().Error(), ShouldEqual, "first")
	})
}
