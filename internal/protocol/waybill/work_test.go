package waybill

import (
	"encoding/binary"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/workload"
)

func TestRemainingWorkInReports(t *testing.T) {
	work := workload.Figures{
		Remaining: 123456 * time.Microsecond, MeanCost: 15 * time.Millisecond, RouteCost: 52 * time.Millisecond, Advantage: -1.25,
	}
	re := sampleReport
	re.Work = work
	Convey("Remaining work travels behind the expected load", t, func() {
		flow, back, err := DecodeConfirm(AppendConfirm(nil, sampleFlow, re))
		So(err, ShouldBeNil)
		So(flow, ShouldResemble, sampleFlow)
		So(back, ShouldResemble, re)
		back, err = DecodeReport(AppendReport(nil, re))
		So(err, ShouldBeNil)
		So(back, ShouldResemble, re)
		So(len(AppendReport(nil, re)), ShouldEqual, len(AppendReport(nil, sampleReport))+workLength)
	})
	Convey("A report without remaining work has the bytes of a former build", t, func() {
		So(len(AppendReport(nil, sampleReport)), ShouldEqual, 1+reportLength+2)
		So(len(AppendConfirm(nil, sampleFlow, sampleReport)), ShouldEqual, 1+reportLength+flowLength+2)
	})
	Convey("Remaining work that is cut off or absurd is left out, and the rest of the report is taken", t, func() {
		whole := AppendReport(nil, re)
		for cut := 1; cut <= workLength; cut++ {
			back, err := DecodeReport(whole[:len(whole)-cut])
			So(err, ShouldBeNil)
			So(back, ShouldResemble, sampleReport)
		}
		for _, offset := range []int{0, 4, 8} {
			absurd := AppendReport(nil, re)
			binary.BigEndian.PutUint32(absurd[len(absurd)-workLength+offset:], uint32((time.Hour+time.Millisecond)/time.Microsecond))
			back, err := DecodeReport(absurd)
			So(err, ShouldBeNil)
			So(back, ShouldResemble, sampleReport)
		}
	})
	Convey("An advantage beyond the range is cut to it", t, func() {
		far := carriage.Report{Work: workload.Figures{MeanCost: 1, Advantage: 1e9}}
		back, err := DecodeReport(AppendReport(nil, far))
		So(err, ShouldBeNil)
		So(back.Work.Advantage, ShouldAlmostEqual, 128, 0.01)
		So(back.Work.MeanCost, ShouldEqual, workUnit)
	})
}
