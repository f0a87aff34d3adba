// Package capacity measures how the memory, processor time and traffic of each
// role (balancer, agent, platform) grow with the size of the fleet, and
// extrapolates them to the target size that the Target constants state.
//
// Each quantity is measured at five or more sizes that fit on one machine. A
// line is fitted through the values by least squares. The page shows the line's
// coefficients, its coefficient of determination (R²) and its value at the
// target.
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

// The target size of the fleet and its rates of change.
const (
	TargetBalancers              = 6700
	TargetHosts                  = 42000
	TargetAddresses              = 19000
	TargetFlows                  = 210_000_000
	TargetNewFlowsPerSecond      = 470_000
	TargetChangesPerDay          = 9800
	TargetInstanceFailuresPerDay = 220
	TargetReplacementsPerDay     = 3400
)

// Slope is one quantity measured at several sizes, with the fitted line.
type Slope struct {
	Role     string
	Quantity string
	// Unit is the unit of the values, Per names what the sizes count.
	Unit   string
	Per    string
	Sizes  []float64
	Values []float64
	// Target is the size that the line is extrapolated to.
	Target float64
	// Logarithmic fits the line to the binary logarithm of the size.
	Logarithmic bool
	// Intercept and Gradient are the coefficients of the least-squares line.
	Intercept float64
	Gradient  float64
	// RSquared is the line's coefficient of determination, the share of the values'
	// variance that the line explains. One is a perfect fit; it is NaN if all values
	// are equal.
	RSquared float64
	// Residual is the largest difference between a value and At of its size, as a
	// share of the largest value.
	Residual float64
}

// minUsableRSquared is the coefficient of determination below which a line is not
// used: the largest value then counts for every size.
const minUsableRSquared = 0.5

// fit fits the line through the values and computes its coefficient of
// determination and largest residual.
func (sl *Slope) fit() {
	scaled := make([]float64, 0, len(sl.Sizes))
	for _, size := range sl.Sizes {
		scaled = append(scaled, sl.scale(size))
	}
	sl.Intercept, sl.Gradient = stat.LinearRegression(scaled, sl.Values, nil, false)
	sl.RSquared = stat.RSquared(scaled, sl.Values, nil, sl.Intercept, sl.Gradient)
	residual := 0.0
	for i, size := range sl.Sizes {
		residual = math.Max(residual, math.Abs(sl.Values[i]-sl.At(size)))
	}
	if largest := slices.Max(sl.Values); largest > 0 {
		sl.Residual = residual / largest
	}
}

// scale returns the size as the line's variable.
func (sl *Slope) scale(size float64) float64 {
	if sl.Logarithmic {
		return math.Log2(size)
	}
	return size
}

// Constant reports whether the line does not explain the values, so that they are
// taken not to depend on the size.
func (sl *Slope) Constant() bool {
	return math.IsNaN(sl.RSquared) || sl.RSquared < minUsableRSquared
}

// At returns the line's value at a size, or the largest measured value if Constant
// is true.
func (sl *Slope) At(size float64) float64 {
	if sl.Constant() {
		return slices.Max(sl.Values)
	}
	return sl.Intercept + sl.Gradient*sl.scale(size)
}

// experiment is a Slope without values and the function that measures the value
// for one size.
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

// Measure runs every experiment. Before each one it calls progress with the role
// and the quantity.
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

// retainedHeapBytes returns the number of bytes by which the heap in use grows as
// long as the result of build is referenced. It runs the collector twice before each
// reading.
func retainedHeapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// The number of timings of one step, and the least time that each takes.
const (
	timingRuns    = 9
	timingRunTime = 20 * time.Millisecond
)

// minSecondsPerCall times the step timingRuns times, each over repeated calls, and
// returns the smallest mean time of a call in seconds. The smallest is least
// affected by other load on the machine.
func minSecondsPerCall(step func()) float64 {
	best := math.Inf(1)
	for range timingRuns {
		count := 0
		begin := time.Now()
		for time.Since(begin) < timingRunTime {
			step()
			count++
		}
		best = math.Min(best, time.Since(begin).Seconds()/float64(count))
	}
	return best
}
