package roster

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/register"
)

func TestSizeBoundsEncoding(t *testing.T) {
	revision := register.Revision{Incarnation: math.MaxUint64, Sequence: math.MaxUint64}
	for _, text := range []string{"10.255.255.255:65535", "[2001:db8:ffff::1]:65535"} {
		address := netip.MustParseAddrPort(text)
		subject := Subject{Role: RoleBalancer, Address: address}
		watchers := []netip.AddrPort{address, address, address}
		messages := []Message{
			{Heartbeat: &Heartbeat{Subject: subject, Revision: revision, Scope: math.MaxUint32, Beat: math.MaxUint64}},
			{Heartbeat: &Heartbeat{Subject: subject, Revision: revision, Scope: math.MaxUint32, Beat: math.MaxUint64, Watchers: watchers}},
			{Confirmation: &Confirmation{Subject: subject, ListKnown: true}},
			{Suspicion: &Suspicion{Subject: subject, Incarnation: math.MaxUint64, Beat: math.MaxUint64}},
			{Refutation: &Refutation{Subject: subject, Incarnation: math.MaxUint64, Beat: math.MaxUint64, Age: time.Hour}},
			{WatchRequest: &WatchRequest{Subject: subject, Revision: revision, Scope: math.MaxUint32, Beat: math.MaxUint64, Control: address, Watchers: watchers}},
			{Removed: &Removed{Subject: subject, Revision: revision}},
		}
		Convey("Size is an upper bound of the encoded size with "+text, t, func() {
			for _, msg := range messages {
				body, err := cbor.Marshal(msg)
				So(err, ShouldBeNil)
				So(len(body), ShouldBeLessThanOrEqualTo, msg.Size())
				So(msg.Size()-len(body), ShouldBeLessThan, 12)
				var back Message
				So(cbor.Unmarshal(body, &back), ShouldBeNil)
				So(back, ShouldResemble, msg)
			}
		})
	}
}
