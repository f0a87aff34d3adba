package socket

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestAwaitQuiet(t *testing.T) {
	cases := []struct {
		name string
		// busyFor is how long datagrams arrive.
		busyFor time.Duration
		within  time.Duration
		quiet   bool
		took    time.Duration
	}{
		{name: "quiet from the start", within: time.Minute, quiet: true, took: quietTime + quietStep},
		{name: "busy for a while", busyFor: 3 * time.Second, within: time.Minute, quiet: true, took: 3*time.Second + quietTime + quietStep},
		{name: "busy beyond the deadline", busyFor: time.Hour, within: 2 * time.Second, took: 2*time.Second + quietStep},
	}
	for _, tc := range cases {
		var quiet bool
		var took time.Duration
		synctest.Test(t, func(*testing.T) {
			start := time.Now()
			traffic := func() int64 { return int64(min(time.Since(start), tc.busyFor)) }
			quiet = WaitUntilIdle(traffic, start.Add(tc.within))
			took = time.Since(start)
		})
		convey.Convey(tc.name, t, func() {
			convey.So(quiet, convey.ShouldEqual, tc.quiet)
			convey.So(took, convey.ShouldAlmostEqual, tc.took, 2*quietStep)
		})
	}
}
