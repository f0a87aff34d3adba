package warmup

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var began = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// It guards against a rate that is taken for a limit although it is none, and against
// balancers that may send nothing to a host with a low limit.
func TestLimitAndShare(t *testing.T) {
	Convey("Only a positive rate sets a limit, of at least one opening", t, func() {
		for rate, limit := range map[float64]int{0: 0, -3: 0, math.Inf(-1): 0, 0.2: 1, 1: 1, 8.9: 8} {
			So(Limit(rate), ShouldEqual, limit)
		}
		So(Limit(math.NaN()), ShouldEqual, 0)
	})
	Convey("The shares together don't exceed the limit unless each is one", t, func() {
		So(Share(0, 3), ShouldEqual, 0)
		So(Share(8, 3), ShouldEqual, 2)
		So(Share(8, 25), ShouldEqual, 1)
		So(Share(8, 0), ShouldEqual, 8)
	})
}

// It guards against a host that gets more than the limit in a second that spans the end of
// one counting period and the begin of the next.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var li Limiter
		limit := rapid.IntRange(1, 12).Draw(rt, "limit")
		var handed []time.Time
		now := began
		for range rapid.IntRange(1, 200).Draw(rt, "openings") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			allowed := li.Allows(now, limit)
			if again := li.Allows(now, limit); again != allowed {
				rt.Fatal("the question has changed the answer")
			}
			if at := li.AllowedAt(now, limit, 0); at.After(now) == allowed {
				rt.Fatalf("the next opening is allowed at %s, and now: %v", at, allowed)
			}
			within := 0
			for _, at := range handed {
				if now.Sub(at) < Window {
					within++
				}
			}
			if allowed != (within < limit) {
				rt.Fatalf("%d openings within the last second, limit %d, allowed: %v", within, limit, allowed)
			}
			if allowed {
				handed = append(handed, now)
				li.Add(now, limit)
			}
			if len(li.times) > limit {
				rt.Fatalf("%d times are kept for a limit of %d", len(li.times), limit)
			}
		}
	})
}

// It guards against an opening that waits for longer than predicted, behind others that
// were promised their turn before it.
func TestPredictedTimes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var li Limiter
		limit := rapid.IntRange(1, 6).Draw(rt, "limit")
		now := began
		for range rapid.IntRange(0, 12).Draw(rt, "openings") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			if li.Allows(now, limit) {
				li.Add(now, limit)
			}
		}
		before := rapid.IntRange(0, 20).Draw(rt, "before")
		predicted := li.AllowedAt(now, limit, before)
		for range before {
			at := li.AllowedAt(now, limit, 0)
			now = at
			li.Add(at, limit)
		}
		if at := li.AllowedAt(now, limit, 0); !at.Equal(predicted) {
			rt.Fatalf("predicted for %s, allowed at %s", predicted, at)
		}
	})
}

// It guards against a limiter that stays full after openings above the limit, and against
// state that outlives the limit.
func TestOpeningsAboveTheLimit(t *testing.T) {
	Convey("Openings above the limit count in their second only", t, func() {
		var li Limiter
		for range 10 {
			li.Add(began, 2)
		}
		So(li.Allows(began.Add(Window-time.Nanosecond), 2), ShouldBeFalse)
		So(li.Allows(began.Add(Window), 2), ShouldBeTrue)
		So(li.AllowedAt(began.Add(100*time.Millisecond), 2, 5), ShouldEqual, began.Add(3*Window))
	})
	Convey("A limit that has changed holds at once, and without one everything is allowed", t, func() {
		var li Limiter
		for range 4 {
			li.Add(began, 4)
		}
		So(li.Allows(began, 4), ShouldBeFalse)
		So(li.Allows(began, 2), ShouldBeFalse)
		So(li.Allows(began, 5), ShouldBeTrue)
		So(li.Allows(began, 0), ShouldBeTrue)
		li.Add(began, 0)
		So(li.times, ShouldBeEmpty)
	})
}
