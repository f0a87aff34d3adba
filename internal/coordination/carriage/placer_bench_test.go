package carriage

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/workload"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// newBenchPlacer returns a placer with hosts in two failure domains, each with a
// load of its own.
func newBenchPlacer(hosts int) *Placer {
	pl := NewPlacer(began, PlacerSettings{Domain: "a", OpeningTimeout: simOpeningTimeout})
	pl.SetRoutes(began, &catalog.Routes{Version: 1, Addresses: map[netip.AddrPort]catalog.Route{
		simAddress: {Services: catalog.WeightedServices{{Service: simService, Weight: 1}}},
	}})
	for i := range hosts {
		ag := Agent{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000),
			Service: simService, Domain: []string{"a", "b"}[i%2], State: register.StateReady, Slots: 8,
		}
		ag.Incarnation = 1
		pl.SetAgent(began, ag)
		pl.HandleReport(began, ag.Address, Report{
			State: register.StateReady, Slots: 8, InProgress: uint16(i % 6), ServiceTime: time.Duration(20+i%20) * time.Millisecond,
		})
	}
	return pl
}

func benchFlow(i int) Flow {
	return Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 1024), Service: simAddress}
}

// BenchmarkChoose is the choice of a host for an opening.
func BenchmarkChoose(b *testing.B) {
	for _, hosts := range []int{50, 1000} {
		b.Run(fmt.Sprintf("Hosts%d", hosts), func(b *testing.B) {
			pl := newBenchPlacer(hosts)
			tf := &trackedFlow{service: simService}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tf.flow = benchFlow(i)
				if pl.choose(began, tf) == nil {
					b.Fatal("no host was chosen")
				}
			}
		})
	}
}

// BenchmarkOpening is the handling of an opening packet, until it is sent to an
// agent.
func BenchmarkOpening(b *testing.B) {
	for _, hosts := range []int{50, 1000} {
		b.Run(fmt.Sprintf("Hosts%d", hosts), func(b *testing.B) {
			pl := newBenchPlacer(hosts)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				flow := benchFlow(i)
				list := pl.HandlePacket(began, Packet{Flow: flow, Opening: true}, nil)
				if len(list) != 1 || list[0].Kind != KindForward {
					b.Fatal("the opening was not sent")
				}
				tf, _ := pl.flows.get(began, flow)
				tf.agent.sent = 0
				pl.forget(tf)
			}
		})
	}
}

// BenchmarkExplain is the answer to an operator's question, for which the balancer's
// state is locked.
func BenchmarkExplain(b *testing.B) {
	for _, hosts := range []int{50, 1000} {
		b.Run(fmt.Sprintf("Hosts%d", hosts), func(b *testing.B) {
			pl := newBenchPlacer(hosts)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if ex := pl.Explain(began, benchFlow(i)); ex.Kind != KindForward {
					b.Fatal("no host was chosen")
				}
			}
		})
	}
}

// BenchmarkChooseByBasis is the choice of a host ranked by counts and by remaining work.
func BenchmarkChooseByBasis(b *testing.B) {
	for _, hosts := range []int{50, 1000} {
		for _, byWork := range []bool{false, true} {
			b.Run(fmt.Sprintf("hosts=%d/byWork=%v", hosts, byWork), func(b *testing.B) {
				pl, _ := newWorkPlacer(hosts, byWork)
				work := workload.Figures{Remaining: 10 * time.Millisecond, MeanCost: 20 * time.Millisecond, Advantage: 1}
				for _, ag := range pl.agents {
					pl.HandleReport(began.Add(basisReview), ag.address, readyReport(work))
					pl.HandleReport(began.Add(2*basisReview), ag.address, readyReport(work))
				}
				now := began.Add(2 * basisReview)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					tf := &trackedFlow{flow: Flow{Caller: netip.AddrPortFrom(simAddress.Addr(), uint16(i)), Service: simAddress}, service: simService}
					pl.choose(now, tf)
				}
			})
		}
	}
}

// BenchmarkReport builds an agent's report while flows are open and some requests are
// in progress.
func BenchmarkReport(b *testing.B) {
	for _, reports := range []bool{false, true} {
		b.Run(fmt.Sprintf("work=%v", reports), func(b *testing.B) {
			ga, flows := newBenchGate()
			if reports {
				ga.work = workload.NewHost()
			}
			ga.host.Slots = 2
			for i := range 12 {
				forward(ga, Packet{Flow: flows[i], Sequence: 2, Length: 100, Acknowledged: 2})
				if i < 4 {
					ga.HandleHostPacket(began.Add(time.Millisecond), Packet{Flow: flows[i], Sequence: 2, Length: 600}, nil)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				ga.ReportOn(began.Add(time.Second), flows[0])
			}
		})
	}
}
