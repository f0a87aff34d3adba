package carrier

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

var recordedAddress = netip.MustParseAddrPort("198.18.0.1:443")

// recordingStore is a store with a configuration and a service record.
type recordingStore struct {
	routes   *catalog.Routes
	history  History
	record   *catalog.ServiceRecord
	revision uint64
	// awayUntil is until when reads of the record fail, refusals the number of writes that
	// fail because another process has written meanwhile.
	awayUntil     time.Time
	refusals      int
	reads, writes int
}

func (rs *recordingStore) store() Store {
	position := func() Position { return Position{History: rs.history, Revision: rs.routes.Version} }
	return Store{
		Routes: func(context.Context) (*catalog.Routes, Position, error) { return rs.routes, position(), nil },
		Watch: func(ctx context.Context, after Position, deadline time.Time) ([]*catalog.Routes, Position, error) {
			for after == position() && time.Now().Before(deadline) && sleepContext(ctx, 10*time.Millisecond) {
			}
			if after.History != rs.history {
				return nil, Position{}, errors.Wrap(ErrRevisionExpired, "watch")
			}
			return []*catalog.Routes{rs.routes}, position(), nil
		},
		Services: func(context.Context) (*catalog.ServiceRecord, uint64, error) {
			rs.reads++
			if time.Now().Before(rs.awayUntil) {
				return nil, 0, errStore
			}
			return rs.record, rs.revision, nil
		},
		WriteServices: func(_ context.Context, record *catalog.ServiceRecord, revision uint64) (uint64, error) {
			rs.writes++
			if rs.refusals > 0 {
				rs.refusals--
				rs.revision++
			}
			if revision != rs.revision {
				return 0, errors.Wrap(ErrRecordChanged, "write")
			}
			rs.record, rs.revision = record, rs.revision+1
			return rs.revision, nil
		},
	}
}

// sharedRoutes returns routes of the version that give an address to the services.
func sharedRoutes(version uint64, services ...string) *catalog.Routes {
	var list catalog.WeightedServices
	for _, name := range services {
		list = append(list, catalog.WeightedService{Service: name, Weight: 1})
	}
	return &catalog.Routes{Version: version, Addresses: map[netip.AddrPort]catalog.Route{recordedAddress: {Services: list}}}
}

// follow runs a balancer that follows the store for the time, and returns its routes.
func (rs *recordingStore) follow(t *testing.T, span time.Duration, prepare func(no *node)) *catalog.Routes {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	no := openNode(t, rs.store())
	no.former = catalog.NewFormerServices(time.Minute)
	no.onRoutes = func(time.Time, *catalog.Routes) {}
	no.onDeadline = func(time.Time) {}
	no.onMemberChanged = func(time.Time, members.Record) {}
	no.onMemberRemoved = func(netip.AddrPort) {}
	prepare(no)
	ended := make(chan error, 1)
	go func() { ended <- no.recordServices(ctx) }()
	if err := no.followRoutes(ctx); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.routes
}

// Open flows at a service that had just lost its route were looked for at other services
// only, after all processes had ended: nobody remembered the former service.
func TestFormerServicesOutliveAllProcesses(t *testing.T) {
	asLeft := func(*node) {}
	serves := func(ro *catalog.Routes, service string) bool {
		return ro.Addresses[recordedAddress].Services.Names(service)
	}
	inBubble := func(check func(t *testing.T)) { synctest.Test(t, check) }
	Convey("A balancer that starts after a change that nobody has seen knows the services before it", t, func() {
		inBubble(func(t *testing.T) {
			rs := &recordingStore{routes: sharedRoutes(7, "yardline", "ledgerwash")}
			rs.follow(t, 5*time.Second, asLeft)
			if rs.writes != 1 || rs.record == nil || rs.record.Version != 7 {
				t.Fatalf("%d writes, record %v", rs.writes, rs.record)
			}
			rs.routes = sharedRoutes(8, "yardline")
			ro := rs.follow(t, time.Second, asLeft)
			if ro.Version != 8 || !serves(ro, "ledgerwash") || ro.Addresses[recordedAddress].Services.Contains("ledgerwash") {
				t.Fatalf("routes %v", ro)
			}
			if rs.writes != 1 {
				t.Fatalf("%d writes of a record that names all services", rs.writes)
			}
		})
	})
	Convey("So does one that reads the record after the configuration, as the store fails at first", t, func() {
		inBubble(func(t *testing.T) {
			rs := &recordingStore{routes: sharedRoutes(8, "yardline"), record: catalog.NewServiceRecord(sharedRoutes(7, "ledgerwash")), revision: 3}
			rs.awayUntil = time.Now().Add(3 * time.Second)
			if ro := rs.follow(t, 10*time.Second, asLeft); !serves(ro, "ledgerwash") || !serves(ro, "yardline") {
				t.Fatalf("routes %v", ro)
			}
			if !rs.record.Covers(sharedRoutes(9, "ledgerwash", "yardline")) {
				t.Fatalf("record %v", rs.record)
			}
		})
	})
	Convey("The record is written again if another process has written it meanwhile", t, func() {
		inBubble(func(t *testing.T) {
			rs := &recordingStore{routes: sharedRoutes(7, "yardline"), refusals: 2}
			rs.follow(t, 10*time.Second, asLeft)
			if rs.writes != 3 || !rs.record.Covers(rs.routes) {
				t.Fatalf("%d writes, record %v", rs.writes, rs.record)
			}
		})
	})
	Convey("It is written again if the store comes back from a copy without it", t, func() {
		inBubble(func(t *testing.T) {
			rs := &recordingStore{routes: sharedRoutes(7, "yardline"), history: History{Era: 1}}
			time.AfterFunc(5*time.Second, func() { rs.history.Era, rs.record, rs.revision = 2, nil, 0 })
			rs.follow(t, 15*time.Second, asLeft)
			if rs.writes != 2 || !rs.record.Covers(rs.routes) {
				t.Fatalf("%d writes, record %v", rs.writes, rs.record)
			}
		})
	})
	Convey("Only the first balancer of a failure domain writes it, and each reads it once", t, func() {
		inBubble(func(t *testing.T) {
			rs := &recordingStore{routes: sharedRoutes(7, "yardline")}
			rs.follow(t, 10*time.Second, func(no *node) {
				no.view.Join(time.Now(), []members.Record{{
					Revision: register.Revision{Incarnation: 1}, Address: netip.MustParseAddrPort("127.0.0.0:1"),
					Role: members.RoleBalancer, Domain: no.settings.Domain, State: register.StateReady,
				}}, nil)
			})
			if rs.writes != 0 || rs.reads != 1 {
				t.Fatalf("%d writes, %d reads", rs.writes, rs.reads)
			}
		})
	})
}
