package carrier

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

// The entry of an agent whose host was gone stayed in the store: a balancer that started
// later waited for its answers, and told no caller that its flow was lost.
func TestStoppedAgentRemovesItsEntry(t *testing.T) {
	type outcome struct {
		removed, written []string
		took             time.Duration
	}
	// stop plays the stop of a process. Its entry was found in the store, or written.
	stop := func(leaves, found bool, remove func(ctx context.Context) error) outcome {
		var oc outcome
		synctest.Test(t, func(t *testing.T) {
			no := openNode(t, Store{
				RemoveEntry: func(ctx context.Context, en Entry) error {
					oc.removed = append(oc.removed, "found "+en.Name)
					return remove(ctx)
				},
				RemoveOwnEntry: func(ctx context.Context, name string) error {
					oc.removed = append(oc.removed, "written "+name)
					return remove(ctx)
				},
				WriteEntry: func(_ context.Context, name string, _ members.Record) error {
					oc.written = append(oc.written, name)
					return nil
				},
			})
			no.settings.StopWithin = settings.Duration(3 * time.Second)
			if found {
				no.noteOwnEntry(Entry{Name: no.settings.Name, Record: no.view.Self()})
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			began := time.Now()
			no.stop(ctx, t.Context(), lifecycle{
				drain: func(time.Time) {}, idle: func(time.Time) bool { return true },
				leaves: func() bool { return leaves },
			})
			oc.took = time.Since(began)
			// A member that hasn't heard of the stop says that the entry is missing.
			no.rewriteEntry(t.Context())
		})
		return oc
	}
	succeed := func(context.Context) error { return nil }
	Convey("An agent whose host has checked out removes its entry, and doesn't write it again", t, func() {
		So(stop(true, false, succeed).removed, ShouldResemble, []string{"written balancer-1"})
		So(stop(true, true, succeed).removed, ShouldResemble, []string{"found balancer-1"})
		So(stop(true, true, succeed).written, ShouldBeEmpty)
	})
	Convey("An agent whose host lives keeps its entry", t, func() {
		oc := stop(false, true, succeed)
		So(oc.removed, ShouldBeEmpty)
		So(oc.written, ShouldResemble, []string{"balancer-1"})
	})
	Convey("A store that doesn't answer is called once and delays the stop by the time of one call only", t, func() {
		oc := stop(true, false, func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
		So(oc.removed, ShouldResemble, []string{"written balancer-1"})
		So(oc.took, ShouldBeLessThanOrEqualTo, stopCheckInterval+callTimeout)
	})
}

// A balancer that hasn't read the entries doesn't know whose hosts may hold a flow.
func TestListOfEntriesCompletesTheView(t *testing.T) {
	Convey("The role learns of the list after its processes are members, and only if it was read", t, func() {
		var err error
		no := openNode(t, Store{
			ListEntries: func(context.Context) ([]Entry, error) {
				return []Entry{{Name: "agent-1", Record: agentAt("127.0.0.1:9")}}, err
			},
			WriteEntry: func(context.Context, string, members.Record) error { return nil },
		})
		listed := 0
		no.onMemberChanged = func(time.Time, members.Record) {}
		no.onEntriesListed = func(time.Time) {
			listed++
			So(len(no.view.Records()), ShouldEqual, 1)
		}
		err = errStore
		So(no.register(t.Context(), true), ShouldNotBeNil)
		So(listed, ShouldEqual, 0)
		err = nil
		So(no.register(t.Context(), true), ShouldBeNil)
		So(listed, ShouldEqual, 1)
	})
}

// Questions and answers that the shells don't pass on leave every search without a result.
func TestQuestionsReachTheAgentAndAnswersTheBalancer(t *testing.T) {
	Convey("An agent answers a batch of questions and a single one with their number", t, func() {
		anyPort := netip.MustParseAddrPort("127.0.0.1:0")
		ag, err := OpenAgent(AgentConfig{Settings: settings.CarrierAgent{
			Carrier:     settings.Carrier{Name: "agent-1", Domain: "a", Peers: anyPort, FlowLifetime: settings.Duration(time.Minute)},
			HostPackets: anyPort, Service: "yardline", FirstStart: true,
		}, Metrics: gauge.NewRegistry(), OpeningTimeout: time.Second})
		So(err, ShouldBeNil)
		defer ag.close()
		defer ag.hostConn.Close()
		balancer, err := listenUDP(anyPort)
		So(err, ShouldBeNil)
		defer balancer.Close()
		qu := carriage.Question{Flow: carriage.Flow{
			Caller: netip.MustParseAddrPort("100.64.0.1:1024"), Service: netip.MustParseAddrPort("198.18.0.1:443"),
		}, Acknowledged: 5}
		for number, datagram := range map[uint32][]byte{
			7: waybill.AppendFindHolders(nil, 7, []carriage.Question{qu, qu}),
			8: waybill.AppendFindHolder(nil, carriage.FindRequest{Flow: qu.Flow, Acknowledged: 5, Number: 8}),
		} {
			ag.handleMessage(balancer.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort(), datagram)
			buffer := make([]byte, maxDatagram)
			So(balancer.SetReadDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
			n, _, err := balancer.ReadFromUDPAddrPort(buffer)
			So(err, ShouldBeNil)
			back, answers, err := waybill.DecodeHolders(buffer[:n])
			So(err, ShouldBeNil)
			So(back, ShouldEqual, number)
			So(answers[0], ShouldEqual, absence.Absent)
		}
		ag.handleMessage(anyPort, []byte{byte(waybill.KindFindHolders), 0, 0})
		So(ag.metrics.Counts("MessagesRefused"), ShouldNotBeEmpty)
	})
}
