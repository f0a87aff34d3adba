package workload

import (
	"math"
	"time"
)

// maxDuration is the longest time that figures may name. Callers wait for seconds; a
// longer time is a fault of the sender.
const maxDuration = time.Hour

// Figures are what an agent reports of the work of its host.
type Figures struct {
	// Remaining is the work that the host still has to do, in time of one slot.
	Remaining time.Duration
	// MeanCost is the expected cost of a request at the host, zero if the report has no
	// figures.
	MeanCost time.Duration
	// RouteCost is the expected cost of the first request of a flow of the route that
	// the report belongs to, zero if it belongs to none.
	RouteCost time.Duration
	// Advantage is by how much the squared error of the rest of a request in progress
	// is smaller if it is predicted from kind and age than if all requests count the
	// same, in units of the squared MeanCost. It is negative if it is greater.
	Advantage float64
}

// Valid reports whether the figures can be used: all are there and none is absurd.
func (fi Figures) Valid() bool {
	return fi.MeanCost > 0 && fi.MeanCost <= maxDuration &&
		fi.Remaining >= 0 && fi.Remaining <= maxDuration &&
		fi.RouteCost >= 0 && fi.RouteCost <= maxDuration &&
		!math.IsNaN(fi.Advantage) && !math.IsInf(fi.Advantage, 0)
}

// At returns the remaining work at the given time after the report, if nothing is added
// to it. The slots that the report's requests in progress take work it off at one
// millisecond per slot and millisecond, down to what the open flows bring on average,
// which is given in slots.
func (fi Figures) At(age time.Duration, busySlots int, openFlows float64) time.Duration {
	steady := time.Duration(max(openFlows, 0) * float64(fi.MeanCost))
	if fi.Remaining <= steady {
		// It rises to the steady state in about the time of one request.
		share := math.Exp2(-float64(max(age, 0)) / float64(max(fi.MeanCost, 1)))
		return steady - time.Duration(share*float64(steady-fi.Remaining))
	}
	return max(fi.Remaining-time.Duration(max(busySlots, 1))*max(age, 0), steady)
}
