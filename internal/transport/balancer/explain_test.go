package balancer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/protocol/explanation"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/explain"
)

// It guards against an answer that differs from the chain that the balancer puts into
// an envelope, and against one that hides that the view is incomplete.
func TestBalancerExplains(t *testing.T) {
	ba := openBalancer(t, netip.MustParseAddrPort("127.0.0.1:9"))
	caller := netip.MustParseAddrPort("198.51.100.7:4000")
	ask := func(address netip.AddrPort) explanation.Answer {
		an, err := explain.Ask(context.Background(), ba.MetricsAddress(), caller, address)
		convey.So(err, convey.ShouldBeNil)
		convey.So(an.Balancer, convey.ShouldEqual, ba.HostsAddress().String())
		return an
	}
	for !ba.joined.Load() {
		time.Sleep(time.Millisecond)
	}
	convey.Convey("A balancer of the own interface explains a flow on its metrics address", t, func() {
		var hosts []register.Host
		for i := range 3 {
			hosts = append(hosts, register.Host{
				Revision: register.Revision{Incarnation: 1, Sequence: 1}, Service: benchService, State: register.StateReady,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000), Weight: register.FullWeight,
			})
		}
		ba.table.Store(route.NewTable(ba.hashKey(), time.Now(), hosts))
		chain := ba.table.Load().Candidates(benchService, caller)
		an := ask(address)
		convey.So(an.Err(), convey.ShouldBeNil)
		convey.So(an.Service, convey.ShouldEqual, "bench")
		convey.So(*an.Choice, convey.ShouldEqual, chain.Hosts[0].Address)
		convey.So(an.Hosts, convey.ShouldHaveLength, int(chain.Count))
		for i, ho := range an.Hosts {
			convey.So(ho.Address, convey.ShouldEqual, chain.Hosts[i].Address)
		}
		convey.So(ask(netip.MustParseAddrPort("192.0.2.9:443")).Problem.Kind, convey.ShouldEqual, explanation.UnknownAddress)

		convey.Convey("and the console gets the same answer, one of a former build only the lines", func() {
			st := ba.status(command.Query{Flow: &command.FlowQuery{Service: benchService, Caller: caller, Address: address}})
			convey.So(*st.Explanation, convey.ShouldResemble, an)
			convey.So(st.Path, convey.ShouldHaveLength, 1+len(an.Hosts))
			st = ba.status(command.Query{Flow: &command.FlowQuery{Service: benchService, Caller: caller}})
			convey.So(st.Explanation, convey.ShouldBeNil)
			convey.So(st.Path, convey.ShouldHaveLength, 1+len(an.Hosts))
		})
		convey.Convey("and says so while its view is incomplete, or without a configuration", func() {
			ba.joined.Store(false)
			convey.Reset(func() { ba.joined.Store(true) })
			an := ask(address)
			convey.So(an.Problem.Kind, convey.ShouldEqual, explanation.StaleView)
			convey.So(*an.Choice, convey.ShouldEqual, chain.Hosts[0].Address)
			before := ba.Configuration()
			ba.Apply(&catalog.Configuration{})
			convey.So(ask(address).Problem.Kind, convey.ShouldEqual, explanation.NoConfiguration)
			ba.Apply(before)
		})
	})
}
