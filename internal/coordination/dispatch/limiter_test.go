package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// feed gives the limiter service times for the time span, at the rate that its
// limit allows. It returns the time at the end and the average limit.
func feed(li *Limiter, from time.Time, span time.Duration, service func(limit int) time.Duration) (time.Time, float64) {
	now := from
	weighted := 0.0
	for now.Before(from.Add(span)) {
		limit := li.Limit(now)
		took := service(limit)
		step := took / time.Duration(limit)
		weighted += float64(limit) * float64(step)
		now = now.Add(step)
		li.Observe(now, took)
	}
	return now, weighted / float64(now.Sub(from))
}

func TestLimiter(t *testing.T) {
	const ordinary = 10 * time.Millisecond
	Convey("Given a limiter with a baseline", t, func() {
		li := NewLimiter(start, 2)
		So(li.Limit(start), ShouldEqual, 1)
		now, _ := feed(li, start.Add(slowStartTime), 5*time.Second, func(int) time.Duration { return ordinary })
		So(li.Limit(now), ShouldEqual, 2)

		Convey("A server that is slow at any concurrency keeps most of its slots", func() {
			_, used := feed(li, now, 20*time.Second, func(int) time.Duration { return 5 * ordinary })
			So(used, ShouldBeGreaterThan, 1.8)
		})

		Convey("A server with contention runs mostly at the reduced limit", func() {
			_, used := feed(li, now, 20*time.Second, func(limit int) time.Duration {
				if limit == 2 {
					return 5 * ordinary
				}
				return ordinary
			})
			So(used, ShouldBeLessThan, 1.5)
		})

		Convey("A server that becomes fast again gets its slots back within two seconds", func() {
			now, _ = feed(li, now, 10*time.Second, func(int) time.Duration { return 5 * ordinary })
			now, _ = feed(li, now, 2*time.Second, func(int) time.Duration { return ordinary })
			So(li.Limit(now), ShouldEqual, 2)
		})
	})
}

func TestSlowStart(t *testing.T) {
	Convey("A server that is warm from the start gets all its slots after a few responses", t, func() {
		li := NewLimiter(start, 2)
		now, _ := feed(li, start, slowStartTime/4, func(int) time.Duration { return 10 * time.Millisecond })
		So(li.Limit(now), ShouldEqual, 2)
	})

	Convey("A server that still becomes faster does not get all its slots", t, func() {
		li := NewLimiter(start, 2)
		cold := 120 * time.Millisecond
		now, _ := feed(li, start, slowStartTime*45/100, func(int) time.Duration {
			cold = cold * 9 / 10
			return cold
		})
		So(now.Before(start.Add(slowStartTime)), ShouldBeTrue)
		So(li.Limit(now), ShouldEqual, 1)
	})
}

func TestBreaker(t *testing.T) {
	Convey("Given an open breaker", t, func() {
		br := &Breaker{}
		for range breakerFailures {
			So(br.Allows(start, 0), ShouldBeTrue)
			br.Observe(start, true)
		}
		So(br.Allows(start, 0), ShouldBeFalse)
		half := start.Add(firstPause)

		Convey("It lets one request through after the pause and closes after three successful trials", func() {
			So(br.Allows(half, 0), ShouldBeTrue)
			So(br.Allows(half, 1), ShouldBeFalse)
			So(br.Observe(half, false), ShouldBeFalse)
			So(br.Observe(half, false), ShouldBeFalse)
			So(br.Observe(half, false), ShouldBeTrue)
			So(br.IsOpen(), ShouldBeFalse)
		})

		Convey("It doubles the pause after a failed trial", func() {
			br.Observe(half, true)
			So(br.Allows(half.Add(firstPause), 0), ShouldBeFalse)
			So(br.Allows(half.Add(2*firstPause), 0), ShouldBeTrue)
		})
	})

	Convey("A budget allows one retry for ten requests", t, func() {
		bu := &RetryBudget{}
		for range 20 {
			bu.Earn()
		}
		So(bu.Spend(), ShouldBeTrue)
		So(bu.Spend(), ShouldBeTrue)
		So(bu.Spend(), ShouldBeFalse)
	})
}

func TestMeter(t *testing.T) {
	Convey("Given a server that the agent measures as idle", t, func() {
		me := newMeter(start, 2)

		Convey("A report raises the load by reportMargin at most", func() {
			me.report(start, LoadReported{Load: fullLoad, Healthy: true})
			So(me.load(), ShouldEqual, reportMargin)
		})

		Convey("A report that the server is unhealthy counts only without recent responses", func() {
			me.report(start, LoadReported{Healthy: false})
			So(me.unhealthy(start), ShouldBeTrue)
			me.succeeded(start)
			So(me.unhealthy(start.Add(time.Second)), ShouldBeFalse)
			So(me.unhealthy(start.Add(successWindow+time.Second)), ShouldBeTrue)
		})
	})

	Convey("A report can't lower the load that the agent measures", t, func() {
		me := newMeter(start, 2)
		me.advance(start, 2)
		me.advance(start.Add(meterWindow), 2)
		me.report(start.Add(meterWindow), LoadReported{Load: 0, Healthy: true})
		So(me.load(), ShouldEqual, fullLoad)
	})
}
