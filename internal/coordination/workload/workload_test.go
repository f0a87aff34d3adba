package workload

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/cost"
)

var (
	began = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	cheap = cost.Key{Route: netip.MustParseAddrPort("198.18.0.1:443"), First: true}
	dear  = cost.Key{Route: netip.MustParseAddrPort("198.18.0.2:443"), First: true}
)

// serve lets the host work on requests one after the other.
func serve(ho *Host, now time.Time, count int, key cost.Key, took time.Duration) time.Time {
	for range count {
		rq := ho.Begin(now, ho.Expect(key), key)
		now = now.Add(took)
		ho.Answered(now, rq)
	}
	return now
}

// near reports whether two durations differ by at most a tenth of the second.
func near(got, want time.Duration) bool { return (got - want).Abs() <= want/10 }

func TestRemainingWork(t *testing.T) {
	Convey("Remaining work is what goes before a new request: requests in progress, the queue and what open flows bring", t, func() {
		ho := NewHost()
		ho.SetSlots(2)
		So(ho.Figures(began, 0, 0), ShouldResemble, Figures{})
		now := serve(ho, began, 100, cheap, 5*time.Millisecond)
		now = serve(ho, now, 100, dear, 52*time.Millisecond)
		remaining := func() time.Duration { return ho.Figures(now, 0, 0).Remaining }
		So(remaining(), ShouldEqual, 0)
		ho.Expect(dear)
		So(remaining(), ShouldEqual, 0)
		ho.Begin(now, nil, dear)
		So(near(remaining(), 104*time.Millisecond), ShouldBeTrue)
		So(ho.Figures(now, 2, 0).Remaining-remaining(), ShouldEqual, 2*ho.Figures(now, 0, 0).MeanCost)
		So(ho.Figures(now, 0, 2).Remaining-remaining(), ShouldEqual, 2*handshakeLead)
		now = now.Add(30 * time.Millisecond)
		So(near(remaining(), 44*time.Millisecond), ShouldBeTrue)
	})
}

func TestWaitInTheHostIsNoCost(t *testing.T) {
	Convey("The time that a request waits in the host for a slot isn't learned as its cost", t, func() {
		ho := NewHost()
		now := began
		for range 50 {
			first := ho.Begin(now, nil, cheap)
			second := ho.Begin(now, nil, cheap)
			third := ho.Begin(now, nil, cheap)
			for _, rq := range []*Request{first, second, third} {
				now = now.Add(20 * time.Millisecond)
				ho.Answered(now, rq)
			}
		}
		So(near(ho.Cost(now, cheap), 20*time.Millisecond), ShouldBeTrue)
		So(ho.working, ShouldEqual, 0)
	})
	Convey("A request that its caller gives up frees its slot and teaches nothing", t, func() {
		ho := NewHost()
		now := serve(ho, began, 50, cheap, 20*time.Millisecond)
		first := ho.Begin(now, nil, cheap)
		second := ho.Begin(now, nil, cheap)
		now = now.Add(2 * time.Second)
		ho.Remove(now, first)
		ho.Remove(now, first)
		now = now.Add(20 * time.Millisecond)
		ho.Answered(now, second)
		So(near(ho.Cost(now, cheap), 20*time.Millisecond), ShouldBeTrue)
		So(ho.Figures(now, 0, 0).Remaining, ShouldEqual, 0)
	})
}

// advantage returns the advantage of the model at a host that is busy with requests of
// drawn cost.
func advantage(draw func(random *rand.Rand) (cost.Key, time.Duration)) float64 {
	ho := NewHost()
	ho.SetSlots(2)
	random := rand.New(rand.NewPCG(1, 1))
	ends := make(map[*Request]time.Time)
	for now := began; now.Before(began.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
		for _, rq := range slices.Clone(ho.inProgress) {
			if !now.Before(ends[rq]) {
				ho.Answered(now, rq)
				delete(ends, rq)
			}
		}
		if ho.working < 2 && random.Float64() < 0.05 {
			key, took := draw(random)
			ends[ho.Begin(now, nil, key)] = now.Add(took)
		}
	}
	return ho.Figures(began.Add(20*time.Second), 0, 0).Advantage
}

func TestAdvantageOfTheModel(t *testing.T) {
	Convey("Kind and age predict well where costs differ, and hardly better than counts where they don't", t, func() {
		So(advantage(func(random *rand.Rand) (cost.Key, time.Duration) {
			return cheap, time.Duration(10+random.IntN(20)) * time.Millisecond
		}), ShouldBeLessThan, 0.12)
		So(advantage(func(random *rand.Rand) (cost.Key, time.Duration) {
			return cheap, time.Duration(random.ExpFloat64() * float64(20*time.Millisecond))
		}), ShouldBeLessThan, 0.12)
		So(advantage(func(random *rand.Rand) (cost.Key, time.Duration) {
			if random.Float64() < 0.03 {
				return cheap, 140 * time.Millisecond
			}
			return cheap, 16 * time.Millisecond
		}), ShouldBeGreaterThan, 0.3)
		So(advantage(func(random *rand.Rand) (cost.Key, time.Duration) {
			if random.Float64() < 0.2 {
				return dear, time.Duration(26+random.IntN(52)) * time.Millisecond
			}
			return cheap, time.Duration(2+random.IntN(5)) * time.Millisecond
		}), ShouldBeGreaterThan, 0.3)
	})
}

func TestAbsurdFigures(t *testing.T) {
	Convey("Figures that are missing, negative, absurd or no numbers aren't valid", t, func() {
		good := Figures{Remaining: time.Second, MeanCost: time.Second}
		So(good.Valid(), ShouldBeTrue)
		for _, fi := range []Figures{
			{},
			{Remaining: -1, MeanCost: 1},
			{Remaining: time.Hour + 1, MeanCost: 1},
			{MeanCost: -1},
			{MeanCost: time.Hour + 1},
			{MeanCost: 1, RouteCost: -1},
			{MeanCost: 1, Advantage: math.NaN()},
			{MeanCost: 1, Advantage: math.Inf(1)},
		} {
			So(fi.Valid(), ShouldBeFalse)
		}
	})
}
