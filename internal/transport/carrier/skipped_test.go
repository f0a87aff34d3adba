package carrier

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// skippedLifetime is the longest time that a flow lasts in the tests of skipped versions.
const skippedLifetime = 10 * time.Second

// expiringStore is a store that has forgotten the changes before its newest version once it
// expires, so that a reader finds just that version.
type expiringStore struct {
	routes  *catalog.Routes
	expired bool
	// newer are routes that a watch returns together.
	newer []*catalog.Routes
}

func (es *expiringStore) store() Store {
	position := func() Position { return Position{Revision: es.routes.Version} }
	return Store{
		Routes: func(context.Context) (*catalog.Routes, Position, error) { return es.routes, position(), nil },
		Watch: func(ctx context.Context, after Position, deadline time.Time) ([]*catalog.Routes, Position, error) {
			for after == position() && len(es.newer) == 0 && time.Now().Before(deadline) && sleepContext(ctx, 10*time.Millisecond) {
			}
			if es.expired {
				es.expired = false
				return nil, Position{}, errors.Wrap(ErrRevisionExpired, "watch")
			}
			if list := es.newer; len(list) > 0 {
				es.routes, es.newer = list[len(list)-1], nil
				return list, position(), nil
			}
			return []*catalog.Routes{es.routes}, position(), nil
		},
	}
}

// search sends a packet of an unknown flow to the placer. The agents of yardline answer that
// their hosts don't hold it, and that of ledgerwash, if it is asked, that its host does. It
// reports whether the flow was reset and whether it was found.
func search(pl *carriage.Placer, agents map[netip.AddrPort]string) (reset, found bool) {
	now := time.Now()
	flow := carriage.Flow{Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: recordedAddress}
	pending := pl.HandlePacket(now, carriage.Packet{Flow: flow, Sequence: 1001, Length: 100, Acknowledged: 500001}, []byte{1})
	for end := now.Add(time.Second); now.Before(end); {
		var asked []carriage.Action
		for _, ac := range pending {
			switch ac.Kind {
			case carriage.KindReset:
				reset = true
			case carriage.KindForward:
				found = true
			case carriage.KindFind:
				asked = append(asked, ac)
			}
		}
		pending = nil
		for _, ac := range asked {
			answers := make([]absence.Answer, len(ac.Questions))
			for i := range answers {
				answers[i] = absence.Absent
				if agents[ac.To] == "ledgerwash" {
					answers[i] = absence.Held
				}
			}
			pending = append(pending, pl.HandleHolders(now, ac.To, ac.Number, answers)...)
		}
		if len(pending) == 0 {
			now = now.Add(5 * time.Millisecond)
			pending = append(pending, pl.Tick(now)...)
		}
	}
	return reset, found
}

// skipping is a balancer's node and placer that have had version 1, which gives the address to
// yardline, for longer than a flow lasts.
type skipping struct {
	*node
	placer *carriage.Placer
	agents map[netip.AddrPort]string
	// confirmed is when the routes were last known to be the newest, zero if they always are.
	confirmed time.Time
	stop      func()
}

// newSkipping returns a skipping that follows the store until stop is called.
func newSkipping(t *testing.T, es *expiringStore) *skipping {
	t.Helper()
	sk := &skipping{node: openNode(t, es.store()), agents: map[netip.AddrPort]string{
		netip.MustParseAddrPort("127.0.0.1:11"): "yardline",
		netip.MustParseAddrPort("127.0.0.1:12"): "ledgerwash",
	}}
	sk.former = newFormerServices(skippedLifetime)
	sk.placer = carriage.NewPlacer(time.Now(), carriage.PlacerSettings{Domain: "a", OpeningTimeout: time.Second, FlowLifetime: skippedLifetime, Confirmed: func() time.Time {
		if sk.confirmed.IsZero() {
			return time.Now()
		}
		return sk.confirmed
	}})
	sk.onRoutes = func(now time.Time, ro *catalog.Routes) { sk.placer.SetRoutes(now, ro) }
	for address, service := range sk.agents {
		sk.placer.SetAgent(time.Now(), carriage.Agent{Address: address, Service: service, Domain: "a", State: register.StateReady, Slots: 2})
	}
	sk.placer.MembersListed(time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- sk.followRoutes(ctx) }()
	sk.stop = func() {
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(skippedLifetime + inForceWithin + time.Second)
	return sk
}

// receive handles routes that a member has sent.
func (sk *skipping) receive(t *testing.T, ro *catalog.Routes) {
	t.Helper()
	data, err := waybill.EncodeRoutes(ro)
	if err != nil {
		t.Fatal(err)
	}
	sk.mu.Lock()
	defer sk.mu.Unlock()
	sk.handleRoutes(time.Now(), members.Action{Kind: members.KindConfiguration, Version: ro.Version, Data: data})
}

// Living flows were reset by a balancer that had skipped the version under which they were
// opened: it asked the agents of the services that it knew of, and no others.
func TestFlowsOfASkippedVersionAreNotReset(t *testing.T) {
	cases := []struct {
		name string
		skip func(t *testing.T, sk *skipping, es *expiringStore)
	}{
		{name: "as the store's history has expired", skip: func(_ *testing.T, _ *skipping, es *expiringStore) {
			es.expired = true
			es.routes = sharedRoutes(3, "yardline")
		}},
		{name: "as a member that has skipped it too has sent the next one", skip: func(t *testing.T, sk *skipping, _ *expiringStore) {
			sk.receive(t, sharedRoutes(3, "yardline").WithCoverage(catalog.Coverage{From: 3}))
		}},
		{name: "as a member that knows all services has sent the next one", skip: func(t *testing.T, sk *skipping, _ *expiringStore) {
			ro := sharedRoutes(3, "yardline", "ledgerwash")
			ro.Addresses[recordedAddress].Services[1].Weight = 0
			sk.receive(t, ro)
		}},
	}
	for _, tc := range cases {
		Convey("A flow that was opened under a version that the balancer has skipped is found, "+tc.name, t, func() {
			synctest.Test(t, func(t *testing.T) {
				es := &expiringStore{routes: sharedRoutes(1, "yardline")}
				sk := newSkipping(t, es)
				tc.skip(t, sk, es)
				time.Sleep(4 * time.Second)
				reset, found := search(sk.placer, sk.agents)
				sk.stop()
				if reset || !found {
					t.Errorf("reset: %t, found: %t", reset, found)
				}
			})
		})
	}
}

// A flow that a slower balancer had opened under the skipped version was reset within the last
// seconds of its lifetime.
func TestLateFlowsOfASkippedVersionAreNotReset(t *testing.T) {
	Convey("The doubt lasts for a flow's lifetime from when the last process applies a change", t, func() {
		synctest.Test(t, func(t *testing.T) {
			es := &expiringStore{routes: sharedRoutes(1, "yardline")}
			sk := newSkipping(t, es)
			es.expired = true
			es.routes = sharedRoutes(3, "yardline")
			time.Sleep(skippedLifetime + 2*time.Second)
			reset, found := search(sk.placer, sk.agents)
			sk.stop()
			if reset || !found {
				t.Errorf("reset: %t, found: %t", reset, found)
			}
		})
	})
}

// A flow that had been opened under a version which the balancer didn't have yet, as the
// regular watchers had just fallen silent, was reset.
func TestFlowsOfAVersionThatIsNotReadYetAreNotReset(t *testing.T) {
	play := func(t *testing.T, others int) (reset, found bool) {
		sk := newSkipping(t, &expiringStore{routes: sharedRoutes(1, "yardline")})
		for i := range others {
			sk.placer.SetAgent(time.Now(), carriage.Agent{
				Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), uint16(1+i)), Service: "others", Domain: "a", State: register.StateReady, Slots: 2,
			})
		}
		sk.confirmed = time.Now().Add(-time.Millisecond)
		reset, found = search(sk.placer, sk.agents)
		sk.stop()
		return reset, found
	}
	Convey("A flow is searched at all services until the routes are confirmed", t, func() {
		synctest.Test(t, func(t *testing.T) {
			if reset, found := play(t, 0); reset || !found {
				t.Errorf("reset: %t, found: %t", reset, found)
			}
		})
	})
	Convey("Where these are too many agents to be asked, it is not reset before", t, func() {
		synctest.Test(t, func(t *testing.T) {
			if reset, _ := play(t, 500); reset {
				t.Error("reset before the routes were confirmed")
			}
		})
	})
	Convey("Once the routes are confirmed it is reset", t, func() {
		synctest.Test(t, func(t *testing.T) {
			sk := newSkipping(t, &expiringStore{routes: sharedRoutes(1, "yardline")})
			sk.confirmed = time.Now()
			if reset, found := search(sk.placer, sk.agents); !reset || found {
				t.Errorf("reset: %t, found: %t", reset, found)
			}
			sk.stop()
		})
	})
}

// Without an end of the doubt each search would ask the agents of all services for ever.
func TestSkippedVersionsAreForgottenInTime(t *testing.T) {
	Convey("Routes are complete again once the flows of the skipped versions have ended", t, func() {
		synctest.Test(t, func(t *testing.T) {
			es := &expiringStore{routes: sharedRoutes(1, "yardline")}
			sk := newSkipping(t, es)
			es.expired = true
			es.routes = sharedRoutes(3, "yardline")
			time.Sleep(skippedLifetime + 4*time.Second)
			reset, found := search(sk.placer, sk.agents)
			sk.stop()
			if !reset || found {
				t.Errorf("reset: %t, found: %t", reset, found)
			}
		})
	})
	Convey("So they are once the store returns them in a watch, or a member names all services", t, func() {
		synctest.Test(t, func(t *testing.T) {
			es := &expiringStore{routes: sharedRoutes(1, "yardline")}
			sk := newSkipping(t, es)
			sk.receive(t, sharedRoutes(3, "yardline").WithCoverage(catalog.Coverage{From: 3}))
			if sk.routes.IsComplete(time.Now()) {
				t.Error("complete after a skipped version")
			}
			es.newer = []*catalog.Routes{sharedRoutes(2, "ledgerwash"), sharedRoutes(3, "yardline")}
			time.Sleep(time.Second)
			if !sk.routes.IsComplete(time.Now()) || !sk.routes.Addresses[recordedAddress].Services.Names("ledgerwash") {
				t.Errorf("after a watch: %+v", sk.routes)
			}
			sk.receive(t, sharedRoutes(5, "yardline").WithCoverage(catalog.Coverage{From: 5}))
			sk.receive(t, sharedRoutes(5, "yardline"))
			if !sk.routes.IsComplete(time.Now()) {
				t.Errorf("after a member: %+v", sk.routes)
			}
			sk.stop()
		})
	})
}
