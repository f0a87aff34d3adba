package queueing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPolicies prints latency, balance and goodput of each policy.
func BenchmarkPolicies(b *testing.B) {
	for _, hosts := range []int{7, 3} {
		for _, load := range []float64{0.5, 0.8, 0.95, 1.5, 3} {
			for po := PolicyAgents; po <= PolicyCentral; po++ {
				b.Run(fmt.Sprintf("%dx2/%.0f%%/%s", hosts, load*100, po), func(b *testing.B) {
					measure(b, Workload{Hosts: hosts, Slots: 2, Load: load, MeasuredTime: 60 * time.Second, Seed: 7}, po)
				})
			}
		}
	}
}

// measure runs the policy and reports its figures.
func measure(b *testing.B, wl Workload, po Policy) {
	var re Report
	for b.Loop() {
		re = Run(wl, po)
	}
	b.ReportMetric(milliseconds(re.Urgent.P50), "urgent-p50-ms")
	b.ReportMetric(milliseconds(re.Urgent.P99), "urgent-p99-ms")
	b.ReportMetric(milliseconds(re.Urgent.P999), "urgent-p999-ms")
	b.ReportMetric(milliseconds(re.Deferrable.P99), "deferrable-p99-ms")
	b.ReportMetric(re.Imbalance, "imbalance")
	b.ReportMetric(re.Goodput, "goodput")
	b.ReportMetric(re.UrgentRefused, "urgent-refused")
	b.ReportMetric(re.DeferrableRefused, "deferrable-refused")
	b.ReportMetric(re.Moved, "moved")
	b.ReportMetric(re.Messages, "messages/request")
	if wl.BrownOutFactor > 1 {
		b.ReportMetric(re.Recovery.Seconds(), "recovery-s")
	}
}

// milliseconds returns the time in milliseconds.
func milliseconds(du time.Duration) float64 {
	return float64(du) / float64(time.Millisecond)
}

// BenchmarkLargeService measures one service of 500 hosts.
func BenchmarkLargeService(b *testing.B) {
	for _, load := range []float64{0.8, 1.5} {
		for _, po := range []Policy{PolicyAgents, PolicyCentral} {
			b.Run(fmt.Sprintf("500x2/%.0f%%/%s", load*100, po), func(b *testing.B) {
				measure(b, Workload{Hosts: 500, Slots: 2, Load: load, MeasuredTime: 5 * time.Second, Seed: 7}, po)
			})
		}
	}
}

// BenchmarkBrownOut measures the recovery from ten seconds in which each
// service time is five times as long, while callers repeat refused requests.
func BenchmarkBrownOut(b *testing.B) {
	for _, hosts := range []int{7, 3} {
		for seed := uint64(7); seed < 10; seed++ {
			b.Run(fmt.Sprintf("%dx2/Seed%d", hosts, seed), func(b *testing.B) {
				measure(b, Workload{
					Hosts: hosts, Slots: 2, Load: 0.8, MeasuredTime: 40 * time.Second, Seed: seed, Retries: true,
					BrownOutFactor: 5, BrownOutStart: 15 * time.Second, BrownOutEnd: 25 * time.Second,
				}, PolicyAgents)
			})
		}
	}
}
