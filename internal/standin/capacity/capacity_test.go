package capacity

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestSlope(t *testing.T) {
	cases := []struct {
		name     string
		slope    Slope
		at       float64
		constant bool
	}{
		{name: "line", slope: Slope{Sizes: []float64{1, 2, 3, 4, 5}, Values: []float64{12, 14, 16, 18, 20}}, at: 210},
		{name: "logarithm", slope: Slope{Logarithmic: true, Sizes: []float64{1, 2, 4, 8, 16}, Values: []float64{1, 4, 7, 10, 13}}, at: 1 + 3*6.643856},
		{name: "constant", slope: Slope{Sizes: []float64{1, 2, 3, 4, 5}, Values: []float64{7, 7, 7, 7, 7}}, at: 7, constant: true},
		{name: "no line", slope: Slope{Sizes: []float64{1, 2, 3, 4, 5}, Values: []float64{5, 9, 4, 9, 5}}, at: 9, constant: true},
	}
	convey.Convey("At extrapolates the fitted line, or returns the largest value if no line fits", t, func() {
		for _, tc := range cases {
			tc.slope.fit()
			convey.So(tc.slope.Constant(), convey.ShouldEqual, tc.constant)
			convey.So(tc.slope.At(100), convey.ShouldAlmostEqual, tc.at, 1e-4)
		}
	})
}

func TestReplace(t *testing.T) {
	convey.Convey("Only the part between the markers is replaced", t, func() {
		page, err := Replace("a\n"+BeginMarker+"\nold\n"+EndMarker+"\nz\n", "new")
		convey.So(err, convey.ShouldBeNil)
		convey.So(page, convey.ShouldEqual, "a\n"+BeginMarker+"\nnew\n"+EndMarker+"\nz\n")
		_, err = Replace("a\n"+EndMarker+BeginMarker, "new")
		convey.So(err, convey.ShouldNotBeNil)
	})
}

// TestSummaryRowsHaveMeasurements guards against a row of the table by role whose
// quantity no experiment measures, which the page would show as not measured.
func TestSummaryRowsHaveMeasurements(t *testing.T) {
	convey.Convey("Every row with a quantity has a measurement of five sizes or more", t, func() {
		known := make(map[string]bool)
		for _, list := range [][]experiment{steeringExperiments(), membershipExperiments(), configurationExperiments()} {
			for _, ex := range list {
				convey.So(len(ex.Sizes), convey.ShouldBeGreaterThanOrEqualTo, 5)
				known[ex.Role+"/"+ex.Quantity] = true
			}
		}
		for _, sr := range summaryRows() {
			if sr.quantity != "" {
				convey.So(known, convey.ShouldContainKey, sr.role+"/"+sr.quantity)
			}
		}
	})
}
