package fleet

import (
	"fmt"
	"testing"
	"time"
)

// The number of balancers and hosts that the system is designed for.
const (
	targetBalancers = 6700
	targetHosts     = 42000
)

func BenchmarkFleet(b *testing.B) {
	for _, nodes := range []int{32, 128, 512, 1024, 2048, 4096} {
		for _, loss := range []float64{0, 0.1} {
			if nodes > 1024 && loss == 0 {
				continue
			}
			b.Run(fmt.Sprintf("Nodes=%d/LossPercent=%.0f", nodes, loss*100), func(b *testing.B) {
				var ms Measurements
				for range b.N {
					ms = Measure(nodes, loss, 1)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(ms.BalancerBytes, "B/s/balancer")
				b.ReportMetric(ms.AgentBytes, "B/s/agent")
				b.ReportMetric(float64(ms.SimulationTime.Microseconds()), "us-cpu/s/node")
				b.ReportMetric(float64(ms.Detection.Milliseconds()), "ms-detect")
				b.ReportMetric(float64(ms.Removal.Milliseconds()), "ms-removed-everywhere")
				b.ReportMetric(float64(ms.UrgentSpread.Milliseconds()), "ms-urgent")
				b.ReportMetric(float64(ms.OrdinarySpread.Milliseconds()), "ms-ordinary")
				b.ReportMetric(ms.ChangeBytes, "B/change/balancer")
				b.ReportMetric(float64(ms.FalseRemovals), "false-removals")
			})
		}
	}
}

func BenchmarkRecordMemory(b *testing.B) {
	for _, share := range []int{100, 10, 1} {
		balancers, hosts := targetBalancers/share, targetHosts/share
		b.Run(fmt.Sprintf("Records=%d", balancers+hosts), func(b *testing.B) {
			var each float64
			for range b.N {
				each = RecordMemory(balancers, hosts)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(each, "B/record")
			b.ReportMetric(each*float64(balancers+hosts)/1e6, "MB")
		})
	}
}

func BenchmarkJoin(b *testing.B) {
	for _, records := range []int{500, 5000, targetBalancers + targetHosts} {
		for _, source := range []ViewSource{SourceDonor, SourceSnapshot, SourceGossip} {
			b.Run(fmt.Sprintf("Records=%d/Way=%s", records, source), func(b *testing.B) {
				var jr JoinResult
				for range b.N {
					jr = MeasureJoin(source, records, 2*time.Minute)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(jr.Elapsed.Seconds(), "s")
				b.ReportMetric(float64(jr.DonorBytes), "B-donor")
				b.ReportMetric(float64(jr.GossipBytes), "B-gossip")
				complete := 0.0
				if jr.Complete {
					complete = 1
				}
				b.ReportMetric(complete, "complete")
			})
		}
	}
}
