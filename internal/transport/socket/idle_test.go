package socket

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestWaitUntilIdle(t *testing.T) {
	cases := []struct {
		name string
		// busyFor is how long datagrams arrive.
		busyFor time.Duration
		within  time.Duration
		idle    bool
		took    time.Duration
	}{
		{name: "idle from the start", within: time.Minute, idle: true, took: idleTime + idleCheckInterval},
		{name: "busy for a while", busyFor: 3 * time.Second, within: time.Minute, idle: true, took: 3*time.Second + idleTime + idleCheckInterval},
		{name: "busy beyond the deadline", busyFor: time.Hour, within: 2 * time.Second, took: 2*time.Second + idleCheckInterval},
	}
	for _, tc := range cases {
		var idle bool
		var took time.Duration
		synctest.Test(t, func(*testing.T) {
			start := time.Now()
			traffic := func() int64 { return int64(min(time.Since(start), tc.busyFor)) }
			idle = WaitUntilIdle(traffic, start.Add(tc.within))
			took = time.Since(start)
		})
		convey.Convey(tc.name, t, func() {
			convey.So(idle, convey.ShouldEqual, tc.idle)
			convey.So(took, convey.ShouldAlmostEqual, tc.took, 2*idleCheckInterval)
		})
	}
}
