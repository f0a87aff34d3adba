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
	// Remaining is the work that the host has to do before a slot is free for a new
	// request, in time of one slot: the time until then times the number of slots.
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
