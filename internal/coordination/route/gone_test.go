package route

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/register"
)

func TestIsGone(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:1")
	record := register.Host{
		Revision: register.Revision{Incarnation: 5, Sequence: 1},
		Address:  address,
		Service:  1,
		State:    register.StateReady,
		Weight:   register.FullWeight,
	}
	goneRecord := record
	goneRecord.State = register.StateGone
	goneRecord.Sequence++
	now := time.Unix(0, 0)
	cases := []struct {
		name   string
		record register.Host
		target Target
		gone   bool
	}{
		{name: "a host that serves", record: record, target: Target{Address: address, Incarnation: 5}},
		{name: "a host that is gone", record: goneRecord, target: Target{Address: address, Incarnation: 5}, gone: true},
		{name: "an incarnation that this view may not know yet", record: goneRecord, target: Target{Address: address, Incarnation: 6}},
		{name: "a host that this view may not know yet", record: goneRecord, target: Target{Address: netip.MustParseAddrPort("10.0.0.2:1")}},
	}
	convey.Convey("A host counts as gone only if the known incarnation is Gone", t, func() {
		for _, tc := range cases {
			convey.Convey(tc.name, func() {
				ta := NewTable(Key{}, now, []register.Host{record}).Next(now, []register.Host{tc.record})
				convey.So(ta.IsGone(tc.target), convey.ShouldEqual, tc.gone)
			})
		}
	})
}
