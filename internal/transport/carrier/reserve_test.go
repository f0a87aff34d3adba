package carrier

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"corneltiller.dev/corneltiller/internal/coordination/evacuation"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// reserveEpisodes is how often the regular watchers fall silent.
	reserveEpisodes = 6
	// reserveCalm and reserveSilence are the times for which the regular watchers confirm the
	// configuration, which is longer than the store keeps its history, and are silent.
	reserveCalm    = 25 * time.Second
	reserveSilence = 3500 * time.Millisecond
	// reserveRoundTrip is the time that the store takes for an answer.
	reserveRoundTrip = 5 * time.Millisecond
	// reserveBound is the time after its acknowledgement by which a configuration has to be in
	// force.
	reserveBound = 3 * time.Second
)

// episodes is a store whose configuration and evacuations change whenever the regular watchers
// fall silent. It keeps no history of what happened before.
type episodes struct {
	began time.Time
}

// number returns the number of episodes that have begun.
func (ep *episodes) number() uint64 {
	return uint64(time.Since(ep.began)+reserveSilence) / uint64(reserveCalm+reserveSilence)
}

// changedAt returns when the episode began.
func (ep *episodes) changedAt(number uint64) time.Time {
	return ep.began.Add(time.Duration(number)*(reserveCalm+reserveSilence) - reserveSilence)
}

func (ep *episodes) position() Position { return Position{Revision: ep.number() + 1} }

// await waits until the deadline for a change after the position, which must be the present
// one.
func (ep *episodes) await(ctx context.Context, after Position, deadline time.Time) error {
	sleepContext(ctx, reserveRoundTrip)
	if after != ep.position() {
		return errors.Wrap(ErrRevisionExpired, "watch")
	}
	for after == ep.position() && time.Now().Before(deadline) && sleepContext(ctx, 10*time.Millisecond) {
	}
	return nil
}

func (ep *episodes) store() Store {
	routes := func() *catalog.Routes { return &catalog.Routes{Version: ep.number() + 1} }
	domains := func() []string { return []string{"a", "b"}[:ep.number()%2+1] }
	return Store{
		Routes: func(ctx context.Context) (*catalog.Routes, Position, error) {
			sleepContext(ctx, reserveRoundTrip)
			return routes(), ep.position(), nil
		},
		Watch: func(ctx context.Context, after Position, deadline time.Time) ([]*catalog.Routes, Position, error) {
			if err := ep.await(ctx, after, deadline); err != nil || after == ep.position() {
				return nil, after, err
			}
			return []*catalog.Routes{routes()}, ep.position(), nil
		},
		Evacuations: func(ctx context.Context) ([]string, Position, error) {
			sleepContext(ctx, reserveRoundTrip)
			return domains(), ep.position(), nil
		},
		WatchEvacuations: func(ctx context.Context, after Position, deadline time.Time) ([]EvacuationChange, Position, error) {
			if err := ep.await(ctx, after, deadline); err != nil || after == ep.position() {
				return nil, after, err
			}
			return []EvacuationChange{{Domain: "b", Removed: len(domains()) == 1}}, ep.position(), nil
		},
	}
}

// follow runs a reserve of two regular watchers, which are silent in each episode and confirm
// its configuration before.
func (ep *episodes) follow(t *testing.T, no *node, also ...func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), reserveEpisodes*(reserveCalm+reserveSilence))
	defer cancel()
	no.onDeadline = func(time.Time) {}
	no.onMemberChanged = func(time.Time, members.Record) {}
	no.onMemberRemoved = func(netip.AddrPort) {}
	var regular []members.Record
	for _, address := range []string{"127.0.0.0:1", "127.0.0.0:2"} {
		regular = append(regular, members.Record{
			Revision: register.Revision{Incarnation: 1}, Address: netip.MustParseAddrPort(address),
			Role: members.RoleBalancer, Domain: no.settings.Domain, State: register.StateReady,
		})
	}
	no.view.Join(time.Now(), regular, nil)
	var gr errgroup.Group
	for _, run := range append(also, no.followRoutes) {
		gr.Go(func() error { return run(ctx) })
	}
	for sleepContext(ctx, 50*time.Millisecond) {
		if time.Since(ep.began)%(reserveCalm+reserveSilence) < reserveCalm {
			no.mu.Lock()
			no.view.Confirm(time.Now())
			no.mu.Unlock()
		}
	}
	if err := gr.Wait(); err != nil {
		t.Fatal(err)
	}
}

// A reserve counted each time that its last position in the store had expired, also when it
// had not read for long, and paused longer each time: from the fourth time on it ran dropped
// routes.
func TestReserveIsAsQuickEachTime(t *testing.T) {
	Convey("A reserve reads a change in time however often the regular watchers have been silent", t, func() {
		synctest.Test(t, func(t *testing.T) {
			ep := &episodes{began: time.Now()}
			no := openNode(t, ep.store())
			no.former = catalog.NewFormerServices(time.Minute)
			applied := 0
			no.onRoutes = func(now time.Time, ro *catalog.Routes) {
				if ro.Version == 1 {
					return
				}
				applied++
				if took := now.Sub(ep.changedAt(ro.Version - 1)); took > reserveBound {
					t.Errorf("episode %d: in force %s after the change", ro.Version-1, took)
				}
			}
			ep.follow(t, no)
			if applied != reserveEpisodes {
				t.Errorf("%d of %d changes in force", applied, reserveEpisodes)
			}
		})
	})
}

// The pause of the evacuations' reader grew in the same way.
func TestReserveReadsEvacuationsAsQuicklyEachTime(t *testing.T) {
	Convey("A reserve reads the evacuations as soon as the first time however often it does", t, func() {
		synctest.Test(t, func(t *testing.T) {
			ep := &episodes{began: time.Now()}
			var applied []time.Time
			no := openEvacuationNode(t, ep.store(), func(at time.Time, _ evacuation.Set) { applied = append(applied, at) })
			ep.follow(t, no, no.followEvacuations)
			if len(applied) != reserveEpisodes+1 {
				t.Fatalf("%d of %d changes in force", len(applied)-1, reserveEpisodes)
			}
			first := applied[1].Sub(ep.changedAt(1))
			for i, at := range applied[1:] {
				if took := at.Sub(ep.changedAt(uint64(i + 1))); took > first+evacuationsCheck {
					t.Errorf("episode %d: in force %s after the change, %s the first time", i+1, took, first)
				}
			}
		})
	})
}
