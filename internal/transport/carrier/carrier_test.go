package carrier

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

func TestGreetBeforeRun(t *testing.T) {
	Convey("A process can greet other members before Run is called", t, func() {
		st := settings.CarrierBalancer{Carrier: settings.Carrier{
			Name: "edge-1", Domain: "a",
			Peers:   netip.MustParseAddrPort("127.0.0.1:0"),
			Callers: netip.MustParseAddrPort("127.0.0.1:0"),
			Seeds:   []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")},
		}}
		ba, err := OpenBalancer(BalancerConfig{Settings: st, Metrics: gauge.NewRegistry(), OpeningTimeout: time.Second})
		So(err, ShouldBeNil)
		defer ba.close()
		defer ba.callerConn.Close()
		ba.greet([]members.Record{{Address: netip.MustParseAddrPort("127.0.0.1:8"), Role: members.RoleAgent}})
		So(ba.view.Joined(), ShouldBeFalse)
		So(ba.Ready(), ShouldBeFalse)
	})
}
