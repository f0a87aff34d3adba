package carrier

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// It guards against a share of the warm-up limits that counts agents, or balancers that
// have stopped: the others would send cold hosts less than they can take.
func TestBalancersThatShareWarmUpLimits(t *testing.T) {
	Convey("Balancers that take new work share the limits until they drain or are removed", t, func() {
		ba := &Balancer{
			node: openNode(t, Store{}), sharing: make(map[netip.AddrPort]struct{}),
			placer: carriage.NewPlacer(time.Now(), carriage.PlacerSettings{Domain: "a"}),
		}
		member := func(number byte, role members.Role, state register.State) members.Record {
			return members.Record{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 7000), Role: role, State: state}
		}
		set := func(re members.Record) { ba.setMember(time.Now(), re) }
		set(member(1, members.RoleBalancer, register.StateReady))
		set(member(2, members.RoleBalancer, register.StateReady))
		set(member(2, members.RoleBalancer, register.StateReady))
		set(member(3, members.RoleAgent, register.StateReady))
		So(ba.sharing, ShouldHaveLength, 2)
		set(member(2, members.RoleBalancer, register.StateDraining))
		So(ba.sharing, ShouldHaveLength, 1)
		ba.removeMember(member(1, members.RoleBalancer, register.StateReady).Address)
		So(ba.sharing, ShouldBeEmpty)
	})
}

// It guards against limits that stay unknown to a process that got the version first from
// a member of a former build.
func TestWarmUpLimitsOfTheSameVersion(t *testing.T) {
	Convey("Limits are taken from routes of the same version, and not lost to such without", t, func() {
		no := openNode(t, Store{})
		var got *catalog.Routes
		no.onRoutes = func(_ time.Time, ro *catalog.Routes) { got = ro }
		limits := map[string]catalog.WarmUp{"s": {PerSecond: 8}}
		no.setRoutes(time.Now(), &catalog.Routes{Version: 3}, "member")
		So(got.WarmUps, ShouldBeNil)
		no.setRoutes(time.Now(), &catalog.Routes{Version: 3, WarmUps: limits}, "member")
		So(got.WarmUps, ShouldResemble, limits)
		no.setRoutes(time.Now(), &catalog.Routes{Version: 3}, "member")
		So(got.WarmUps, ShouldResemble, limits)
		no.setRoutes(time.Now(), &catalog.Routes{Version: 4}, "member")
		So(got.WarmUps, ShouldBeNil)
	})
}
