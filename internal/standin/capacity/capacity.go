// Package capacity measures how the cost of each role grows with the size of
// the fleet, and works out the cost at the target size.
//
// Each measurement runs on five or more sizes that fit on one machine. A line
// is fitted through them; the page shows its coefficients, its coefficient of
// determination and its value at the target.
//
// # Usage
//
//	page := capacity.Page(capacity.Measure(progress))
package capacity

import (
	"math"
	"runtime"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// The target size.
const (
	TargetNodes            = 6700
	TargetHosts            = 42000
	TargetAddresses        = 19000
	TargetFlows            = 210_000_000
	TargetNewFlowsASecond  = 470_000
	TargetChangesADay      = 9800
	TargetNodeFailuresADay = 220
	TargetReplacementsADay = 3400
)

// Slope is one quantity measured on several sizes, with its fitted line.
type Slope struct {
	Role     string
	Quantity string
	// Unit is that of the values, Per that of the sizes.
	Unit   string
	Per    string
	Sizes  []float64
	Values []float64
	// Target is the size at which the line is read.
	Target float64
	// Logarithmic fits the line over the binary logarithm of the size.
	Logarithmic bool
	// Intercept and Gradient are those of the least-squares line.
	Intercept float64
	Gradient  float64
	// Determination is the share of the values' variance that the line
	// explains; one is a perfect fit.
	Determination float64
	// Residual is the largest distance of a value from the line, as a share of
	// the largest value.
	Residual float64
}

// weakFit is the determination below which the size does not explain the
// values, so that the largest of them stands for every size.
const weakFit = 0.5

// fit computes the line through the values.
func (sl *Slope) fit() {
	scaled := make([]float64, 0, len(sl.Sizes))
	for _, size := range sl.Sizes {
		scaled = append(scaled, sl.scale(size))
	}
	sl.Intercept, sl.Gradient = stat.LinearRegression(scaled, sl.Values, nil, false)
	sl.Determination = stat.RSquared(scaled, sl.Values, nil, sl.Intercept, sl.Gradient)
	furthest := 0.0
	for i, size := range sl.Sizes {
		furthest = math.Max(furthest, math.Abs(sl.Values[i]-sl.At(size)))
	}
	if largest := slices.Max(sl.Values); largest > 0 {
		sl.Residual = furthest / largest
	}
}

func (sl *Slope) scale(size float64) float64 {
	if sl.Logarithmic {
		return math.Log2(size)
	}
	return size
}

// Constant reports whether the values do not depend on the size.
func (sl *Slope) Constant() bool {
	return math.IsNaN(sl.Determination) || sl.Determination < weakFit
}

// At returns the line's value at a size, or the largest value if the line does
// not explain the values.
func (sl *Slope) At(size float64) float64 {
	if sl.Constant() {
		return slices.Max(sl.Values)
	}
	return sl.Intercept + sl.Gradient*sl.scale(size)
}

// experiment is a measurement that is still to be run.
type experiment struct {
	Slope
	measure func(size int) float64
}

// run measures each size and fits the line.
func (ex *experiment) run() Slope {
	for _, size := range ex.Sizes {
		ex.Values = append(ex.Values, ex.measure(int(size)))
	}
	ex.fit()
	return ex.Slope
}

// Measure runs every experiment and reports each one's quantity before it starts.
func Measure(progress func(quantity string)) []Slope {
	var experiments []experiment
	experiments = append(experiments, steeringExperiments()...)
	experiments = append(experiments, membershipExperiments()...)
	experiments = append(experiments, configurationExperiments()...)
	slopes := make([]Slope, 0, len(experiments))
	for _, ex := range experiments {
		progress(ex.Role + ": " + ex.Quantity)
		slopes = append(slopes, ex.run())
	}
	return slopes
}

// heapOf returns the bytes that the result of build keeps on the heap.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	held := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(held)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// The effort of one timing.
const (
	timings    = 9
	timingTime = 20 * time.Millisecond
)

// secondsOf returns the shortest mean time of a step over several timings, so
// that other load on the machine counts as little as it can.
func secondsOf(step func()) float64 {
	best := math.Inf(1)
	for range timings {
		count := 0
		begin := time.Now()
		for time.Since(begin) < timingTime {
			step()
			count++
		}
		best = math.Min(best, time.Since(begin).Seconds()/float64(count))
	}
	return best
}
