package carrier

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/evacuation"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

// evacuationStep is a change of the evacuations in a fake store, from a time on.
type evacuationStep struct {
	at      time.Time
	history History
	domains []string
}

// evacuationStore is a fake store: the evacuations are those of the last step that has
// begun, whose revision is its number. While it is away each call ends with an error
// callTimeout after its deadline; a slow one answers that much late.
type evacuationStore struct {
	steps                []evacuationStep
	awayFrom, awayUntil  time.Time
	slow                 time.Duration
	calls, failed, lists int
	routesRead           int
}

func (es *evacuationStore) away() bool {
	now := time.Now()
	return !now.Before(es.awayFrom) && now.Before(es.awayUntil)
}

// current returns the step in force and its position.
func (es *evacuationStore) current() (evacuationStep, Position) {
	number := 0
	for i, st := range es.steps {
		if !time.Now().Before(st.at) {
			number = i
		}
	}
	return es.steps[number], Position{History: es.steps[number].history, Revision: uint64(number + 1)}
}

// list lists the evacuated domains.
func (es *evacuationStore) list(ctx context.Context) ([]string, Position, error) {
	es.calls++
	es.lists++
	if es.away() {
		es.failed++
		sleepContext(ctx, callTimeout)
		return nil, Position{}, errStore
	}
	st, position := es.current()
	sleepContext(ctx, es.slow)
	return st.domains, position, nil
}

// watch waits for the next step.
func (es *evacuationStore) watch(ctx context.Context, after Position, deadline time.Time) ([]EvacuationChange, Position, error) {
	es.calls++
	for {
		st, position := es.current()
		switch {
		case es.away():
			es.failed++
			sleepContext(ctx, time.Until(deadline)+callTimeout)
			return nil, Position{}, errStore
		case position.History != after.History:
			return nil, Position{}, ErrRevisionExpired
		case position != after:
			sleepContext(ctx, es.slow)
			return es.changes(after, st), position, nil
		case !time.Now().Before(deadline) || !sleepContext(ctx, 10*time.Millisecond):
			return nil, position, nil
		}
	}
}

// changes returns the changes from a position to a step.
func (es *evacuationStore) changes(after Position, to evacuationStep) []EvacuationChange {
	from := es.steps[after.Revision-1]
	var list []EvacuationChange
	for _, name := range from.domains {
		if !slices.Contains(to.domains, name) {
			list = append(list, EvacuationChange{Domain: name, Removed: true})
		}
	}
	for _, name := range to.domains {
		list = append(list, EvacuationChange{Domain: name})
	}
	return list
}

func (es *evacuationStore) store() Store {
	return Store{
		Evacuations: es.list, WatchEvacuations: es.watch,
		Routes: func(context.Context) (*catalog.Routes, Position, error) {
			return &catalog.Routes{Version: 1}, Position{Revision: 1}, nil
		},
		Watch: func(ctx context.Context, _ Position, deadline time.Time) ([]*catalog.Routes, Position, error) {
			es.routesRead++
			sleepContext(ctx, time.Until(deadline))
			return nil, Position{Revision: 1}, nil
		},
	}
}

// openEvacuationNode returns a balancer's node with evacuation on that reports the sets in
// force with their times.
func openEvacuationNode(t *testing.T, st Store, report func(at time.Time, set evacuation.Set)) *node {
	no := openNode(t, st)
	no.settings.EvacuateWithin = settings.Duration(5 * time.Second)
	no.evacuations = evacuation.NewKeeper("a")
	no.onEvacuations = report
	no.onRoutes = func(time.Time, *catalog.Routes) {}
	no.onDeadline = func(time.Time) {}
	no.onMemberHeard = func(time.Time, netip.AddrPort) {}
	no.onMemberChanged = func(time.Time, members.Record) {}
	no.onMemberRemoved = func(netip.AddrPort) {}
	return no
}

// inForce is a set that was put in force, and when.
type inForce struct {
	at      time.Time
	domains []string
}

// follow runs followEvacuations for the time and returns the sets that were put in force.
func follow(t *testing.T, es *evacuationStore, span time.Duration) []inForce {
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	var list []inForce
	no := openEvacuationNode(t, es.store(), func(at time.Time, set evacuation.Set) {
		list = append(list, inForce{at: at, domains: set.Domains})
	})
	if err := no.followEvacuations(ctx); err != nil {
		t.Fatal(err)
	}
	return list
}

func domainsOf(list []inForce) [][]string {
	var domains [][]string
	for _, it := range list {
		domains = append(domains, it.domains)
	}
	return domains
}

// An evacuation that was acknowledged must be in force in time, in whatever phase of a
// watch it was made, and end as soon.
func TestEvacuationsOfTheStoreAreFollowed(t *testing.T) {
	Convey("Overlapping evacuations are in force at once and taken back one by one", t, func() {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			es := &evacuationStore{steps: []evacuationStep{
				{at: began},
				{at: began.Add(3 * time.Second), domains: []string{"b"}},
				{at: began.Add(3700 * time.Millisecond), domains: []string{"b", "c"}},
				{at: began.Add(9 * time.Second), domains: []string{"c"}},
				{at: began.Add(12 * time.Second)},
			}}
			list := follow(t, es, 20*time.Second)
			want := [][]string{nil, {"b"}, {"b", "c"}, {"c"}, nil}
			if got := domainsOf(list); len(got) != len(want) || !slices.EqualFunc(got, want, slices.Equal) {
				t.Fatalf("in force: %v", got)
			}
			for i, it := range list {
				if late := it.at.Sub(es.steps[i].at); late > 50*time.Millisecond {
					t.Errorf("%v in force %s late", it.domains, late)
				}
			}
		})
	})
}

// A store that is away or slow must neither take an evacuation back nor delay one for
// longer than it is unstable.
func TestEvacuationsWhileTheStoreIsUnstable(t *testing.T) {
	Convey("However long the store was away, its changes are read soon after", t, func() {
		for away := time.Duration(0); away < 9*time.Second; away += 130 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				es := &evacuationStore{
					awayFrom: began.Add(2 * time.Second), awayUntil: began.Add(2*time.Second + away),
					steps: []evacuationStep{{at: began, domains: []string{"b"}}, {at: began.Add(2500 * time.Millisecond), domains: []string{"b", "c"}}},
				}
				list := follow(t, es, 20*time.Second)
				if got := domainsOf(list); len(got) != 2 || !slices.Equal(got[1], []string{"b", "c"}) {
					t.Fatalf("away for %s: in force: %v", away, got)
				}
				due := es.steps[1].at
				if es.awayUntil.After(due) {
					due = es.awayUntil
				}
				if late := list[1].at.Sub(due); late > maxBackoff+callTimeout {
					t.Errorf("away for %s: read %s after the store was back", away, late)
				}
			})
		}
	})
	Convey("A process that starts while the store is away reads them soon after", t, func() {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			es := &evacuationStore{awayFrom: began, awayUntil: began.Add(6 * time.Second), steps: []evacuationStep{{at: began, domains: []string{"b"}}}}
			list := follow(t, es, 20*time.Second)
			if len(list) != 1 || list[0].at.Sub(es.awayUntil) > minBackoff+callTimeout {
				t.Errorf("in force: %v, the store was back at %s", list, es.awayUntil)
			}
		})
	})
	Convey("A restored store is read anew, and its word holds", t, func() {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			es := &evacuationStore{steps: []evacuationStep{
				{at: began, domains: []string{"b"}, history: History{Era: 1}},
				{at: began.Add(3 * time.Second), domains: []string{"c"}, history: History{Era: 2}},
			}}
			list := follow(t, es, 20*time.Second)
			if got := domainsOf(list); len(got) != 2 || !slices.Equal(got[1], []string{"c"}) {
				t.Fatalf("in force: %v", got)
			}
			if late := list[1].at.Sub(es.steps[1].at); late > 50*time.Millisecond {
				t.Errorf("%s late", late)
			}
			if es.lists != 2 {
				t.Errorf("%d listings", es.lists)
			}
		})
	})
}

// A store that rejects the evacuations only must not cost the watch of the routes.
func TestFailuresOfTheEvacuationsDontDisturbTheRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := func(away time.Duration) int {
			began := time.Now()
			es := &evacuationStore{awayFrom: began, awayUntil: began.Add(away), steps: []evacuationStep{{at: began}}}
			no := openEvacuationNode(t, es.store(), func(time.Time, evacuation.Set) {})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			go no.followEvacuations(ctx)
			if err := no.followRoutes(ctx); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			return es.routesRead
		}
		if undisturbed, disturbed := run(0), run(time.Minute); undisturbed != disturbed {
			t.Errorf("%d watches of the routes instead of %d", disturbed, undisturbed)
		}
	})
}

// A balancer that doesn't watch the store must not add calls for the evacuations.
func TestOnlyBalancersThatWatchReadTheEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		es := &evacuationStore{steps: []evacuationStep{{at: time.Now()}}}
		no := openEvacuationNode(t, es.store(), func(time.Time, evacuation.Set) {})
		for _, address := range []string{"127.0.0.0:1", "127.0.0.0:2"} {
			no.view.Join(time.Now(), []members.Record{{
				Revision: register.Revision{Incarnation: 1}, Address: netip.MustParseAddrPort(address),
				Role: members.RoleBalancer, Domain: "a", State: register.StateReady,
			}}, nil)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				no.mu.Lock()
				no.view.Confirm(time.Now())
				no.mu.Unlock()
				sleepContext(ctx, time.Second)
			}
		}()
		synctest.Wait()
		if err := no.followEvacuations(ctx); err != nil {
			t.Fatal(err)
		}
		if es.calls != 1 {
			t.Errorf("%d calls", es.calls)
		}
	})
}

// listener receives what a node sends to a member.
type listener struct {
	conn   *net.UDPConn
	record members.Record
}

func newListener(t *testing.T, role members.Role, domain string) *listener {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return &listener{conn: conn, record: members.Record{
		Revision: register.Revision{Incarnation: 1}, Address: address, Role: role, Domain: domain, State: register.StateReady,
	}}
}

// received returns the origins of the sets received so far.
func (li *listener) received() []uint64 {
	var list []uint64
	buffer := make([]byte, maxDatagram)
	for {
		_ = li.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		n, _, err := li.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return list
		}
		if waybill.KindOf(buffer[:n]) != waybill.KindEvacuations {
			continue
		}
		pa, err := waybill.DecodeEvacuations(buffer[:n])
		So(err, ShouldBeNil)
		list = append(list, pa.Origin.Revision)
	}
}

// greet makes the node handle a greeting of the listener's process.
func (li *listener) greet(no *node, joins bool) {
	msg := members.Message{Greeting: &members.Greeting{Record: li.record, WantAnswer: joins, WantView: joins}}
	data, err := msg.Encode()
	So(err, ShouldBeNil)
	no.handleMessage(li.record.Address, append([]byte{byte(waybill.KindMember)}, data...))
}

// A process that starts, was cut off or missed a message must learn of an evacuation from
// those that it meets; with evacuation off nothing may be sent.
func TestEvacuationsSpread(t *testing.T) {
	Convey("Given a balancer with a set and another member", t, func() {
		no := openEvacuationNode(t, Store{}, func(time.Time, evacuation.Set) {})
		other := newListener(t, members.RoleAgent, "b")
		page := func(revision uint64, domains ...string) []byte {
			return waybill.AppendEvacuations(nil, evacuation.Page{Origin: evacuation.Origin{Revision: revision}, Count: 1, Domains: domains})
		}
		Convey("One that joins gets the set with the answer, once it is known", func() {
			other.greet(no, true)
			So(other.received(), ShouldBeEmpty)
			no.handleMessage(other.record.Address, page(4, "b"))
			other.greet(no, true)
			So(other.received(), ShouldResemble, []uint64{4})
			other.greet(no, false)
			So(other.received(), ShouldBeEmpty)
		})
		Convey("One with an older set gets the newer one back, an equal one is not answered", func() {
			no.handleMessage(other.record.Address, page(4, "b"))
			no.handleMessage(other.record.Address, page(3))
			So(other.received(), ShouldResemble, []uint64{4})
			no.handleMessage(other.record.Address, page(4, "b"))
			So(other.received(), ShouldBeEmpty)
			So(no.isEvacuated("b"), ShouldBeTrue)
		})
		Convey("The member that is greeted each second gets it too", func() {
			other.greet(no, false)
			no.handleMessage(other.record.Address, page(4, "b"))
			no.handleTimer()
			So(other.received(), ShouldResemble, []uint64{4})
		})
		Convey("A malformed message is counted as refused and changes nothing", func() {
			no.handleMessage(other.record.Address, page(4, "b")[:5])
			_, known := no.evacuations.Set()
			So(known, ShouldBeFalse)
			So(no.metrics.Counter("MessagesRefused").Snapshot().Count(), ShouldEqual, 1)
		})
		Convey("An agent of the evacuated domain still has to have its entry", func() {
			other.record.State = register.StateDraining
			other.greet(no, false)
			So(no.membersWithoutEntry(nil), ShouldNotContain, other.record.Address)
			no.handleMessage(other.record.Address, page(4, "b"))
			So(no.membersWithoutEntry(nil), ShouldContain, other.record.Address)
		})
		Convey("With evacuation off nothing is sent or taken", func() {
			no.evacuations = nil
			no.handleMessage(other.record.Address, page(4, "b"))
			other.greet(no, true)
			no.handleTimer()
			So(other.received(), ShouldBeEmpty)
			So(no.isEvacuated("b"), ShouldBeFalse)
		})
	})
	Convey("A changed set goes to the members at once and once more", t, func() {
		es := &evacuationStore{steps: []evacuationStep{{at: time.Now(), domains: []string{"b"}}}}
		no := openEvacuationNode(t, es.store(), func(time.Time, evacuation.Set) {})
		other := newListener(t, members.RoleAgent, "b")
		other.greet(no, false)
		// The next regular greeting, which the set goes with, is a second away then.
		no.handleTimer()
		So(other.received(), ShouldBeEmpty)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = no.followEvacuations(ctx)
		}()
		time.Sleep(40 * time.Millisecond)
		So(other.received(), ShouldResemble, []uint64{1})
		time.Sleep(100 * time.Millisecond)
		So(other.received(), ShouldResemble, []uint64{1})
		cancel()
		<-ended
	})
}

// An agent takes the state from its own set: a balancer with an old one must not get an
// opening through.
func TestAgentDeclinesWhileItsDomainIsEvacuated(t *testing.T) {
	Convey("The set decides what the agent announces, not whether the process is ready", t, func() {
		local := netip.MustParseAddrPort("127.0.0.1:0")
		st := settings.CarrierAgent{
			Carrier: settings.Carrier{Name: "agent-1", Domain: "b", Peers: local, Callers: local, EvacuateWithin: settings.Duration(time.Second)},
			Service: "yardline", HostPackets: local, Backend: netip.MustParseAddrPort("127.0.0.1:9"), HeartbeatInterval: settings.Duration(time.Second),
		}
		ag, err := OpenAgent(AgentConfig{Settings: st, Metrics: gauge.NewRegistry(), OpeningTimeout: time.Second})
		So(err, ShouldBeNil)
		defer ag.close()
		defer ag.hostConn.Close()
		ag.mu.Lock()
		ag.performFlowActions(time.Now(), ag.gate.PresumeHealthy(time.Now()))
		ag.mu.Unlock()
		page := evacuation.Page{Origin: evacuation.Origin{Revision: 2}, Count: 1, Domains: []string{"a"}}
		receive := func() register.State {
			ag.handleMessage(netip.MustParseAddrPort("127.0.0.1:8"), waybill.AppendEvacuations(nil, page))
			return ag.view.Self().State
		}
		So(receive(), ShouldEqual, register.StateReady)
		page.Origin.Revision, page.Domains = 3, []string{"a", "b"}
		So(receive(), ShouldEqual, register.StateDraining)
		So(ag.Ready(), ShouldBeTrue)
		page.Origin.Revision, page.Domains = 4, nil
		So(receive(), ShouldEqual, register.StateReady)
	})
}
