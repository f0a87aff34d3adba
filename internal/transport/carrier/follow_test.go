package carrier

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// silentStore answers nothing until the store is back; each call ends lateBy after its
// deadline then.
type silentStore struct {
	back   time.Time
	lateBy time.Duration
}

// ask waits for the answer to a call with the deadline, and returns an error if none came.
func (ss silentStore) ask(deadline time.Time) error {
	if time.Now().Before(ss.back) {
		time.Sleep(time.Until(deadline.Add(ss.lateBy)))
		return errStore
	}
	return nil
}

func (ss silentStore) store(version uint64) Store {
	return Store{
		Routes: func(context.Context) (*catalog.Routes, Position, error) {
			return &catalog.Routes{Version: version}, Position{Revision: version}, ss.ask(time.Now())
		},
		Watch: func(_ context.Context, _ Position, deadline time.Time) ([]*catalog.Routes, Position, error) {
			return []*catalog.Routes{{Version: version + 1}}, Position{Revision: version + 1}, ss.ask(deadline)
		},
	}
}

func TestChangeMadeDuringSilenceOfTheStoreIsReadSoonAfter(t *testing.T) {
	Convey("However long the store was silent, it is read within the longest pause and one short call", t, func() {
		for away := 4 * time.Second; away < 8*time.Second; away += 50 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				ss := silentStore{back: time.Now().Add(away), lateBy: callTimeout}
				st := ss.store(2)
				st.Routes = silentStore{}.store(1).Routes
				no := openNode(t, st)
				var late time.Duration
				no.onRoutes = func(now time.Time, ro *catalog.Routes) {
					if ro.Version > 1 {
						late = now.Sub(ss.back)
						cancel()
					}
				}
				if err := no.followRoutes(ctx); err != nil {
					t.Fatal(err)
				}
				if late > maxBackoff+callTimeout {
					t.Errorf("away for %s: read %s after the store was back", away, late)
				}
			})
		}
	})
}

// changingStore returns a store whose routes change at the given times: each change
// adds one to the version and to the revision.
func changingStore(changes []time.Time) Store {
	read := func() (*catalog.Routes, Position, error) {
		version := uint64(1)
		for _, at := range changes {
			if !time.Now().Before(at) {
				version++
			}
		}
		return &catalog.Routes{Version: version}, Position{Revision: version}, nil
	}
	return Store{
		Routes: func(context.Context) (*catalog.Routes, Position, error) { return read() },
		Watch: func(ctx context.Context, from Position, deadline time.Time) ([]*catalog.Routes, Position, error) {
			for {
				ro, next, err := read()
				if next != from {
					return []*catalog.Routes{ro}, next, err
				}
				if !time.Now().Before(deadline) || !sleepContext(ctx, 10*time.Millisecond) {
					return nil, from, nil
				}
			}
		},
	}
}

// A balancer that counted others as watching the store, which were lost and not yet
// removed from its view, served dropped routes until it removed them.
func TestChangeIsReadThoughTheWatchingBalancersAreLost(t *testing.T) {
	Convey("A balancer reads a change in time while the others of its failure domain don't answer", t, func() {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var changes []time.Time
			for i := range 4 {
				changes = append(changes, time.Now().Add(time.Duration(4000+3700*i)*time.Millisecond))
			}
			no := openNode(t, changingStore(changes))
			no.onDeadline = func(time.Time) {}
			no.onMemberChanged = func(time.Time, members.Record) {}
			no.onMemberRemoved = func(netip.AddrPort) {}
			for _, address := range []string{"127.0.0.0:1", "127.0.0.0:2"} {
				no.view.Join(time.Now(), []members.Record{{
					Revision: register.Revision{Incarnation: 1}, Address: netip.MustParseAddrPort(address),
					Role: members.RoleBalancer, Domain: no.settings.Domain, State: register.StateReady,
				}}, nil)
			}
			latest := time.Now()
			var applied []time.Duration
			no.onRoutes = func(now time.Time, ro *catalog.Routes) {
				latest = now
				if ro.Version > 1 {
					applied = append(applied, now.Sub(changes[ro.Version-2]))
				}
				if len(applied) == len(changes) {
					cancel()
				}
			}
			time.AfterFunc(time.Minute, cancel)
			if err := no.followRoutes(ctx); err != nil {
				t.Fatal(err)
			}
			if len(applied) != len(changes) {
				t.Fatalf("%d of %d changes read, the last one at %s", len(applied), len(changes), latest)
			}
			for _, took := range applied {
				if took > 2500*time.Millisecond {
					t.Errorf("a change was in force %s after it was made", took)
				}
			}
		})
	})
}
