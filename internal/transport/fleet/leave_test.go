package fleet

import (
	"context"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/roster"
)

// watchers returns the control addresses of the balancers that watch the node.
func (pr *process) watchers() map[netip.AddrPort]bool {
	pr.fleet.mu.Lock()
	defer pr.fleet.mu.Unlock()
	watchers := make(map[netip.AddrPort]bool)
	for _, pe := range pr.fleet.node.Announcer().Watchers() {
		watchers[pe.Address] = true
	}
	return watchers
}

func TestLeaveAfterWatchersCrashed(t *testing.T) {
	Convey("An agent whose watchers have just crashed tells another balancer that it is gone", t, func() {
		te := newTestbed(t)
		var balancers []*process
		for number := range 4 {
			balancers = append(balancers, te.start(roster.RoleBalancer, number))
		}
		agent := te.start(roster.RoleHost, 0)
		So(eventually(func() bool {
			for _, pr := range append(balancers, agent) {
				if len(pr.fleet.HostsInRotation()) != 1 || len(pr.fleet.Balancers()) != len(balancers) {
					return false
				}
			}
			return true
		}), ShouldBeTrue)
		watchers := agent.watchers()
		So(len(watchers), ShouldBeGreaterThan, 0)
		var others []*process
		for _, pr := range balancers {
			if watchers[pr.control] {
				pr.crash()
				continue
			}
			others = append(others, pr)
		}
		So(len(others), ShouldBeGreaterThan, 0)
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		agent.fleet.Leave(ctx)
		agent.crash()
		for _, pr := range others {
			So(eventually(func() bool {
				st := standing(pr, agent.control)
				return st == roster.StandingGone || st == roster.StandingRemoved
			}), ShouldBeTrue)
			So(standing(pr, agent.control), ShouldEqual, roster.StandingGone)
		}
	})
}

func TestLeaveAlone(t *testing.T) {
	Convey("A node that knows no other balancer leaves at once", t, func() {
		te := newTestbed(t)
		balancer := te.start(roster.RoleBalancer, 0)
		_, wanted := balancer.fleet.farewells()
		So(wanted, ShouldEqual, 0)
		balancer.fleet.Leave(context.Background())
	})
}
