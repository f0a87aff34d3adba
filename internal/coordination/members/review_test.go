package members

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/register"
)

func TestRankCountsTheBalancersOfLowerAddress(t *testing.T) {
	Convey("Neither agents nor balancers of a higher address count", t, func() {
		at := func(address string, role Role) Record {
			return Record{Revision: register.Revision{Incarnation: 1}, Address: netip.MustParseAddrPort(address), Role: role}
		}
		vi := NewView(at("10.0.0.5:1", RoleBalancer))
		now := time.Now()
		for i := range 10 {
			role := RoleBalancer
			if i == 0 {
				role = RoleAgent
			}
			vi.Join(now, []Record{at(fmt.Sprintf("10.0.0.%d:1", i), role)}, nil)
		}
		So(vi.Rank(), ShouldEqual, 4)
		So(vi.OtherBalancers(), ShouldHaveLength, 8)
	})
}

func TestReviewsFollowTheRank(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	Convey("Without a doubt no review is due", t, func() {
		var re Reviews
		So(re.Due(0).IsZero(), ShouldBeTrue)
		re.Complete(at(0), at(0), false)
		So(re.Due(0).IsZero(), ShouldBeTrue)
	})
	Convey("With a doubt", t, func() {
		var re Reviews
		re.Doubt(at(0))

		// Guards against reviews that only one balancer does, which the store may turn away.
		Convey("each balancer begins 3 s after the one before it", func() {
			So(re.Due(0), ShouldEqual, at(2))
			So(re.Due(1), ShouldEqual, at(5))
			So(re.Due(24), ShouldEqual, at(74))
		})
		Convey("a clean review of another balancer ends it", func() {
			re.Complete(at(3), at(2), true)
			So(re.Due(1).IsZero(), ShouldBeTrue)
			Convey("and the next one begins 20 s later at the earliest", func() {
				re.Doubt(at(4))
				So(re.Due(0), ShouldEqual, at(23))
				So(re.Due(2), ShouldEqual, at(29))
			})
		})
		// Guards against a review that could not see what is doubted: a member that was
		// removed after it read the entries.
		Convey("a clean review that began before the doubt doesn't end it", func() {
			re.Complete(at(1), at(-1), true)
			So(re.Due(0), ShouldEqual, at(21))
		})
		Convey("a clean review doesn't end a doubt that arose while it ran", func() {
			re.Doubt(at(3))
			re.Complete(at(4), at(2), true)
			So(re.Due(0), ShouldEqual, at(24))
			re.Complete(at(25), at(24), true)
			So(re.Due(0).IsZero(), ShouldBeTrue)
		})
		Convey("after a review that found something the next one follows", func() {
			re.Complete(at(3), at(2), false)
			So(re.Due(0), ShouldEqual, at(23))
			So(re.Due(1), ShouldEqual, at(26))
		})
		Convey("a review of one's own that failed is tried again", func() {
			re.Fail(at(3))
			So(re.Due(0), ShouldEqual, at(23))
		})
		Convey("a later doubt delays nothing", func() {
			re.Doubt(at(1))
			So(re.Due(0), ShouldEqual, at(2))
		})
	})
}
