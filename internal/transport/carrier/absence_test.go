package carrier

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

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
