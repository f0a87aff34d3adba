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
}

func (es *expiringStore) store() Store {
	position := func() Position { return Position{Revision: es.routes.Version} }
	return Store{
		Routes: func(context.Context) (*catalog.Routes, Position, error) { return es.routes, position(), nil },
		Watch: func(ctx context.Context, after Position, deadline time.Time) ([]*catalog.Routes, Position, error) {
			for after == position() && time.Now().Before(deadline) && sleepContext(ctx, 10*time.Millisecond) {
			}
			if es.expired {
				es.expired = false
				return nil, Position{}, errors.Wrap(ErrRevisionExpired, "watch")
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

// Living flows were reset by a balancer that had skipped the version under which they were
// opened: it asked the agents of the services that it knew of, and no others.
func TestFlowsOfASkippedVersionAreNotReset(t *testing.T) {
	agents := map[netip.AddrPort]string{
		netip.MustParseAddrPort("127.0.0.1:11"): "yardline",
		netip.MustParseAddrPort("127.0.0.1:12"): "ledgerwash",
	}
	Convey("A flow that was opened under a version between two that the balancer has read is found", t, func() {
		synctest.Test(t, func(t *testing.T) {
			es := &expiringStore{routes: sharedRoutes(1, "yardline")}
			no := openNode(t, es.store())
			no.former = catalog.NewFormerServices(skippedLifetime)
			pl := carriage.NewPlacer(time.Now(), carriage.PlacerSettings{Domain: "a", OpeningTimeout: time.Second, FlowLifetime: skippedLifetime})
			no.onRoutes = func(now time.Time, ro *catalog.Routes) { pl.SetRoutes(now, ro) }
			for address, service := range agents {
				pl.SetAgent(time.Now(), carriage.Agent{Address: address, Service: service, Domain: "a", State: register.StateReady, Slots: 2})
			}
			pl.MembersListed(time.Now())
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- no.followRoutes(ctx) }()
			time.Sleep(skippedLifetime + time.Second)
			// Version 2 gives the address to ledgerwash, and version 3 takes it back.
			es.expired = true
			es.routes = sharedRoutes(3, "yardline")
			time.Sleep(4 * time.Second)
			reset, found := search(pl, agents)
			cancel()
			if err := <-ended; err != nil {
				t.Fatal(err)
			}
			if reset || !found {
				t.Errorf("reset: %t, found: %t", reset, found)
			}
		})
	})
}
