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
		de := &Handler{cfg: Config{Label: "Service5"}}
		So(de.classify("/reports", urgent), ShouldEqual, urgent)
		So(de.label("/reports", urgent), ShouldEqual, "Service5/Urgent")
		de.SetService(catalog.Service{Firm: "Glenrug", Classes: []catalog.Class{
			{Name: "Booking", Urgent: true, Paths: []string{"/bookings"}},
			{Name: "Report", Paths: []string{"/bookings/reports", "/reports"}},
			{Name: "Other"},
		}})
		for _, tc := range []struct {
			target string
			own    dispatch.Class
			want   dispatch.Class
			label  string
		}{
			{"/bookings?day=1", urgent, urgent, "Glenrug/Booking"},
			{"/bookings", deferrable, deferrable, "Glenrug/Booking"},
			{"/bookings/reports/7", urgent, deferrable, "Glenrug/Report"},
			{"/photos", urgent, deferrable, "Glenrug/Other"},
		} {
			So(de.classify(tc.target, tc.own), ShouldEqual, tc.want)
			So(de.label(tc.target, tc.want), ShouldEqual, tc.label)
		}
	})
}
