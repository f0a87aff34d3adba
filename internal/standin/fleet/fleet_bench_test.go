package fleet

import (
	"fmt"
	"testing"
	"time"
)

// The target size.
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
				var fi Figures
				for range b.N {
					fi = Measure(nodes, loss, 1)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(fi.BalancerBytes, "B/s/balancer")
				b.ReportMetric(fi.AgentBytes, "B/s/agent")
				b.ReportMetric(float64(fi.Processor.Microseconds()), "us-cpu/s/node")
				b.ReportMetric(float64(fi.Detection.Milliseconds()), "ms-detect")
				b.ReportMetric(float64(fi.Removal.Milliseconds()), "ms-removed-everywhere")
				b.ReportMetric(float64(fi.Urgent.Milliseconds()), "ms-urgent")
				b.ReportMetric(float64(fi.Ordinary.Milliseconds()), "ms-ordinary")
				b.ReportMetric(fi.ChangeBytes, "B/change/balancer")
				b.ReportMetric(float64(fi.FalseRemovals), "false-removals")
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
		for _, way := range []Way{WayDonor, WaySnapshot, WayAnnouncements} {
			b.Run(fmt.Sprintf("Records=%d/Way=%s", records, way), func(b *testing.B) {
				var jo Join
				for range b.N {
					jo = MeasureJoin(way, records, 2*time.Minute)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(jo.Took.Seconds(), "s")
				b.ReportMetric(float64(jo.DonorBytes), "B-donor")
				b.ReportMetric(float64(jo.GossipBytes), "B-gossip")
				complete := 0.0
				if jo.Complete {
					complete = 1
				}
				b.ReportMetric(complete, "complete")
			})
		}
	}
}
