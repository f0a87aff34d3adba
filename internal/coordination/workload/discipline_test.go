package workload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/cost"
)

// discipline returns the share of a slot that each of the requests gets, which are in the
// order of their arrival, given the number of slots.
type discipline func(requests, slots int) []float64

// inOrder gives the slots to the requests that arrived first.
func inOrder(requests, slots int) []float64 {
	shares := make([]float64, requests)
	for i := range min(requests, slots) {
		shares[i] = 1
	}
	return shares
}

// newestFirst gives the slots to the requests that arrived last, and interrupts others.
func newestFirst(requests, slots int) []float64 {
	shares := inOrder(requests, slots)
	slices.Reverse(shares)
	return shares
}

// shared divides the slots among all requests.
func shared(requests, slots int) []float64 {
	return slices.Repeat([]float64{min(1, float64(slots)/float64(max(requests, 1)))}, requests)
}

// draw draws a request and its work.
type draw func(random *rand.Rand) (cost.Key, time.Duration)

func drawEven(random *rand.Rand) (cost.Key, time.Duration) {
	return cheap, time.Duration(10+random.IntN(20)) * time.Millisecond
}

func drawRoutes(random *rand.Rand) (cost.Key, time.Duration) {
	if random.Float64() < 0.2 {
		return dear, time.Duration(26+random.IntN(52)) * time.Millisecond
	}
	return cheap, time.Duration(2+random.IntN(5)) * time.Millisecond
}

// advantageAt returns the advantage of the model at a host of two slots that works on up
// to four requests by the discipline.
func advantageAt(works discipline, drawn draw, rate float64) float64 {
	ho := NewHost()
	ho.SetSlots(2)
	random := rand.New(rand.NewPCG(1, 1))
	left := make(map[*Request]time.Duration)
	now := began
	for ; now.Before(began.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
		inProgress := slices.Clone(ho.inProgress)
		for i, share := range works(len(inProgress), 2) {
			rq := inProgress[i]
			left[rq] -= time.Duration(share * float64(time.Millisecond))
			if left[rq] <= 0 {
				ho.Answered(now, rq)
				delete(left, rq)
			}
		}
		if ho.InProgress() < 4 && random.Float64() < rate {
			key, took := drawn(random)
			left[ho.Begin(now, nil, key)] = took
		}
	}
	return ho.Figures(now, 0, 0).Advantage
}

// It guards against a check of the model that doesn't notice that the host works on its
// requests in another order than the model says.
func TestAdvantageAtHostsOfOtherDisciplines(t *testing.T) {
	rates := []float64{0.06, 0.09, 0.2}
	Convey("At a host that divides its slots among all requests the model predicts as at one that works in order", t, func() {
		for _, works := range []discipline{inOrder, shared} {
			for _, rate := range rates {
				So(advantageAt(works, drawEven, rate), ShouldBeBetween, 0, 0.12)
				So(advantageAt(works, drawRoutes, 1.3*rate), ShouldBeGreaterThan, 0.3)
			}
		}
	})
	Convey("A host that interrupts older requests for newer ones has no advantage once requests wait", t, func() {
		for _, rate := range rates {
			So(advantageAt(newestFirst, drawEven, rate), ShouldBeLessThan, 0)
		}
		for _, rate := range rates[1:] {
			So(advantageAt(newestFirst, drawRoutes, 1.3*rate), ShouldBeLessThan, 0)
		}
	})
}
