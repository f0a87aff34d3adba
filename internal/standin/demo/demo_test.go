package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestCalmDemoKeepsEveryPromise(t *testing.T) {
	convey.Convey("A calm demo answers callers and brings a change into force", t, func() {
		re, err := Run(context.Background(), Options{Duration: 3 * time.Second, Seed: 7, Plan: "calm"}, io.Discard)
		convey.So(err, convey.ShouldBeNil)
		convey.So(re.BrokenPromises(), convey.ShouldBeEmpty)
		convey.So(re.Outcomes.Answered, convey.ShouldBeGreaterThan, 0)
		convey.So(re.ConfigurationInForceMilliseconds, convey.ShouldBeBetween, 0, inForceLimit.Milliseconds())
	})
}

func TestReportNamesBrokenPromises(t *testing.T) {
	convey.Convey("A report", t, func() {
		convey.Convey("names each broken promise with its count", func() {
			re := &Report{DoubledBookings: 2, BrokenFlows: 3, CrashedHostFlows: 3}
			convey.So(re.BrokenPromises(), convey.ShouldResemble, []string{"DoubledBookings=2"})
		})
		convey.Convey("counts broken flows without those of crashed hosts", func() {
			re := &Report{BrokenFlows: 3, CrashedHostFlows: 1}
			convey.So(re.BrokenPromises(), convey.ShouldResemble, []string{"BrokenFlows=2"})
		})
	})
}
