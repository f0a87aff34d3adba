package spread_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/standin/spread"
)

const domains = 9

func BenchmarkIdleStoreCalls(b *testing.B) {
	for _, instances := range []int{10, 100, 1000, 6700} {
		for _, perInstance := range []bool{false, true} {
			b.Run(fmt.Sprintf("instances=%d/everyWatches=%t", instances, perInstance), func(b *testing.B) {
				var ic spread.IdleCost
				for b.Loop() {
					ic = spread.MeasureIdle(spread.Options{Instances: instances, Domains: domains, LossPercent: 10, WatchPerInstance: perInstance, Seed: 7})
				}
				b.ReportMetric(ic.StoreCallsPerSecond, "calls/s")
			})
		}
	}
}

func BenchmarkTimeToInForce(b *testing.B) {
	for _, instances := range []int{32, 256, 1024, 4096} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			var ro spread.Rollout
			for b.Loop() {
				ro = spread.MeasureRollout(spread.Options{Instances: instances, Domains: domains, LossPercent: 10, StoreLossPercent: 1, Seed: 7}, 10)
			}
			b.ReportMetric(float64(ro.Median().Milliseconds()), "ms-median")
			b.ReportMetric(float64(ro.Worst().Milliseconds()), "ms-worst")
			b.ReportMetric(ro.BytesPerChangeAndNode, "B/change/node")
			b.ReportMetric(ro.StoreCallsPerChange, "calls/change")
			b.ReportMetric(float64(ro.Failed), "failed")
		})
	}
}

func BenchmarkSustainedChanges(b *testing.B) {
	for _, interval := range []time.Duration{8816 * time.Millisecond, 88 * time.Millisecond} {
		b.Run(fmt.Sprintf("interval=%s", interval), func(b *testing.B) {
			var su spread.Sustained
			for b.Loop() {
				su = spread.MeasureSustained(spread.Options{Instances: 500, Domains: domains, LossPercent: 10, Seed: 7}, interval, 200)
			}
			b.ReportMetric(su.ChangesPerSecond, "changes/s")
			b.ReportMetric(float64(su.WorstLag.Milliseconds()), "ms-lag")
			b.ReportMetric(su.BytesPerNodeSecond, "B/node/s")
			b.ReportMetric(su.StoreCallsPerSecond, "calls/s")
		})
	}
}

func BenchmarkSize(b *testing.B) {
	for _, addresses := range []int{1900, 19000} {
		b.Run(fmt.Sprintf("addresses=%d", addresses), func(b *testing.B) {
			var si spread.Size
			for b.Loop() {
				si = spread.MeasureSize(addresses)
			}
			b.ReportMetric(float64(si.Root), "B-root")
			b.ReportMetric(float64(si.LargestShard), "B-shard")
			b.ReportMetric(float64(si.Total), "B-total")
			b.ReportMetric(float64(si.Delta), "B-delta")
		})
	}
}

// BenchmarkCommit measures the time to commit one change.
func BenchmarkCommit(b *testing.B) {
	fl := spread.NewWithAddresses(19000)
	number := 0
	for b.Loop() {
		fl.SetClass(number)
		number++
	}
}

// BenchmarkApply measures the time to apply one delta to a state.
func BenchmarkApply(b *testing.B) {
	fl := spread.NewWithAddresses(19000)
	before := fl.ReadState()
	fl.SetClass(1)
	de, ok := change.NewDelta(before, fl.ReadState())
	if !ok {
		b.Fatal("the history does not contain the change before the last")
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := before.Apply(de); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStateMemory reports the heap bytes of a state that is read from the store.
func BenchmarkStateMemory(b *testing.B) {
	fl := spread.NewWithAddresses(19000)
	var grown uint64
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		st := fl.ReadState()
		runtime.GC()
		runtime.ReadMemStats(&after)
		grown = after.HeapAlloc - before.HeapAlloc
		runtime.KeepAlive(st)
	}
	b.ReportMetric(float64(grown), "B-held")
}
