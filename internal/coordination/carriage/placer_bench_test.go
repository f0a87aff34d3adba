package carriage

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/workload"
)

// BenchmarkChoose chooses a host for an opening.
func BenchmarkChoose(b *testing.B) {
	for _, hosts := range []int{50, 1000} {
		for _, byWork := range []bool{false, true} {
			b.Run(fmt.Sprintf("hosts=%d/byWork=%v", hosts, byWork), func(b *testing.B) {
				pl, _ := rankingPlacer(hosts, byWork)
				work := workload.Figures{Remaining: 10 * time.Millisecond, MeanCost: 20 * time.Millisecond, Advantage: 1}
				for _, ag := range pl.agents {
					pl.HandleReport(began.Add(rankingReview), ag.address, readyReport(work))
					pl.HandleReport(began.Add(2*rankingReview), ag.address, readyReport(work))
				}
				now := began.Add(2 * rankingReview)
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
