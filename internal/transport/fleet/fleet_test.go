package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/coordination/roster"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
	"corneltiller.dev/corneltiller/internal/transport/keys"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

// waitLimit bounds the wait for a condition; no test waits for it to pass.
const waitLimit = 30 * time.Second

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// process is a running node with its listener and connections.
type process struct {
	fleet    *Fleet
	control  netip.AddrPort
	registry *gauge.Registry
	pool     *link.Pool
	listener *link.Listener
	cancel   context.CancelFunc
	done     chan struct{}
	items    chan delivery.Item
}

// testbed starts nodes that share one set of keys.
type testbed struct {
	tb    testing.TB
	store *keys.Store
	seeds []netip.AddrPort
}

func newTestbed(tb testing.TB) *testbed {
	paths, err := keys.Generate(filepath.Join(tb.TempDir(), "keys"), time.Now())
	if err != nil {
		tb.Fatal(err)
	}
	store, err := keys.Open(paths)
	if err != nil {
		tb.Fatal(err)
	}
	return &testbed{tb: tb, store: store}
}

// start runs a node. A balancer becomes a seed of the nodes that are started later.
func (te *testbed) start(role roster.Role, number int) *process {
	mux := link.NewMux()
	listener, err := link.Listen(context.Background(), anyPort, te.store.PeerServerTLS(), &link.Server{Mux: mux})
	if err != nil {
		te.tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	pr := &process{
		control:  listener.Address(),
		registry: gauge.NewRegistry(),
		pool:     link.NewPool(te.store.PeerClientTLS()),
		listener: listener,
		cancel:   cancel,
		done:     make(chan struct{}),
		items:    make(chan delivery.Item, 8),
	}
	cfg := Config{
		Pool:     pr.pool,
		Registry: pr.registry,
		Seeds:    te.seeds,
		Deliver:  func(_ netip.AddrPort, it delivery.Item) { pr.items <- it },
	}
	domain := fmt.Sprint("domain-", number%3)
	if role == roster.RoleBalancer {
		cfg.OnJoined = func() { pr.fleet.SetState(register.StateReady) }
		pr.fleet = OpenBalancer(cfg, register.Balancer{
			Revision: register.Revision{Incarnation: 1},
			Address:  pr.control, Control: pr.control, Domain: domain,
		})
		te.seeds = append(te.seeds, pr.control)
	} else {
		pr.fleet = OpenAgent(cfg, register.Host{
			Revision: register.Revision{Incarnation: 1},
			Address:  pr.control, Control: pr.control, Domain: domain,
			Service: 1, Weight: register.FullWeight,
		})
	}
	pr.fleet.Register(mux)
	go func() { _ = listener.Run(ctx) }()
	go func() {
		defer close(pr.done)
		_ = pr.fleet.Run(ctx)
	}()
	te.tb.Cleanup(pr.crash)
	return pr
}

// crash ends the node without announcing it.
func (pr *process) crash() {
	pr.cancel()
	<-pr.done
	pr.pool.Close()
	pr.listener.Close()
}

// eventually reports whether the condition becomes true within waitLimit.
func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// standing returns the standing that a node gives to the member of an address.
func standing(pr *process, address netip.AddrPort) roster.Standing {
	for _, me := range pr.fleet.Members() {
		if me.Address == address {
			return me.Standing(time.Now())
		}
	}
	return roster.StandingUnknown
}

func TestFleetOverLoopback(t *testing.T) {
	Convey("Balancers and agents on loopback connections", t, func() {
		te := newTestbed(t)
		var balancers, agents []*process
		for number := range 4 {
			balancers = append(balancers, te.start(roster.RoleBalancer, number))
		}
		for number := range 5 {
			agents = append(agents, te.start(roster.RoleHost, number))
		}
		allBalancers := func(condition func(*process) bool) bool {
			return eventually(func() bool {
				for _, pr := range balancers {
					if !condition(pr) {
						return false
					}
				}
				return true
			})
		}
		Convey("find each other, spread items, and remove members that leave or crash", func() {
			So(allBalancers(func(pr *process) bool {
				return len(pr.fleet.HostsInRotation()) == len(agents) && len(pr.fleet.Balancers()) == len(balancers)
			}), ShouldBeTrue)

			announced := delivery.Item{
				Revision: register.Revision{Incarnation: 1, Sequence: 1},
				Kind:     delivery.KindConfiguration,
				Key:      "root",
				Urgent:   true,
				Body:     []byte("version 1"),
			}
			So(balancers[0].fleet.Publish(announced), ShouldBeNil)
			for _, pr := range append(agents, balancers[1:]...) {
				select {
				case it := <-pr.items:
					So(string(it.Body), ShouldEqual, "version 1")
				case <-time.After(waitLimit):
					So("item", ShouldEqual, "delivered")
				}
			}

			agents[0].fleet.SetState(register.StateDraining)
			So(allBalancers(func(pr *process) bool { return len(pr.fleet.HostsInRotation()) == len(agents)-1 }), ShouldBeTrue)
			So(standing(balancers[1], agents[0].control), ShouldEqual, roster.StandingPresent)
			agents[0].fleet.SetState(register.StateGone)
			So(allBalancers(func(pr *process) bool {
				return standing(pr, agents[0].control) == roster.StandingGone
			}), ShouldBeTrue)

			agents[1].crash()
			So(allBalancers(func(pr *process) bool {
				return standing(pr, agents[1].control) == roster.StandingRemoved
			}), ShouldBeTrue)

			balancers[3].crash()
			lost := balancers[3]
			balancers = balancers[:3]
			So(allBalancers(func(pr *process) bool {
				return standing(pr, lost.control) == roster.StandingRemoved
			}), ShouldBeTrue)
			So(allBalancers(func(pr *process) bool { return len(pr.fleet.HostsInRotation()) == len(agents)-2 }), ShouldBeTrue)
		})
	})
}
