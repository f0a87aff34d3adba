package desk

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

func TestClassify(t *testing.T) {
	urgent, deferrable := dispatch.ClassUrgent, dispatch.ClassDeferrable
	Convey("Given a service with configured classes", t, func() {
		ha := &Handler{cfg: Config{Label: "Service5"}}
		So(ha.classify("/reports", urgent), ShouldEqual, urgent)
		So(ha.metricsLabel("/reports", urgent), ShouldEqual, "Service5/Urgent")
		ha.SetService(catalog.Service{Firm: "Glenrug", Classes: []catalog.Class{
			{Name: "Booking", Urgent: true, Paths: []string{"/bookings"}},
			{Name: "Report", Paths: []string{"/bookings/reports", "/reports"}},
			{Name: "Other"},
		}})
		for _, tc := range []struct {
			target    string
			requested dispatch.Class
			want      dispatch.Class
			label     string
		}{
			{"/bookings?day=1", urgent, urgent, "Glenrug/Booking"},
			{"/bookings", deferrable, deferrable, "Glenrug/Booking"},
			{"/bookings/reports/7", urgent, deferrable, "Glenrug/Report"},
			{"/photos", urgent, deferrable, "Glenrug/Other"},
		} {
			So(ha.classify(tc.target, tc.requested), ShouldEqual, tc.want)
			So(ha.metricsLabel(tc.target, tc.want), ShouldEqual, tc.label)
		}
	})
}
