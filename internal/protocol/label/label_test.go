package label

import (
	"flag"
	"net/netip"
	"os"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/state/register"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func newCodec(tb testing.TB, secrets ...string) *Codec {
	tb.Helper()
	var list [][]byte
	for _, se := range secrets {
		list = append(list, []byte(se))
	}
	co, err := NewCodec(list...)
	if err != nil {
		tb.Fatal(err)
	}
	return co
}

func drawTarget(t *rapid.T) Target {
	ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
	return Target{
		Service:     register.ServiceID(rapid.Uint32Range(0, uint32(register.MaxServiceID)).Draw(t, "service")),
		Host:        netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16().Draw(t, "port")),
		Incarnation: rapid.Uint16().Draw(t, "incarnation"),
	}
}

func TestTargetRoundTrip(t *testing.T) {
	co := newCodec(t, "first secret")
	rapid.Check(t, func(t *rapid.T) {
		ta := drawTarget(t)
		salt := [saltLength]byte(rapid.SliceOfN(rapid.Byte(), saltLength, saltLength).Draw(t, "salt"))
		id := co.Encode(ta, Random{Salt: salt, Nonce: rapid.Uint16().Draw(t, "nonce")})
		got, ok := co.NewDecoder().Decode(id[:])
		if !ok || got != ta {
			t.Fatalf("got %v %v, want %v", got, ok, ta)
		}
	})
}

func TestDecodeRejectsForeignIDs(t *testing.T) {
	ta := Target{Service: 7, Host: netip.MustParseAddrPort("10.0.0.1:443"), Incarnation: 3}
	own := newCodec(t, "first secret")
	id := own.Encode(ta, Random{Salt: [3]byte{1, 2, 3}, Nonce: 9})
	convey.Convey("Decoding refuses a connection ID", t, func() {
		convey.Convey("encoded with another secret", func() {
			_, ok := newCodec(t, "other secret").NewDecoder().Decode(id[:])
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("with any byte of salt or block changed", func() {
			for i := saltOffset; i < Length; i++ {
				changed := id
				changed[i] ^= 0x10
				_, ok := own.NewDecoder().Decode(changed[:])
				convey.So(ok, convey.ShouldBeFalse)
			}
		})
		convey.Convey("with another length", func() {
			_, ok := own.NewDecoder().Decode(id[:Length-1])
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

func TestDecodeWithPreviousSecret(t *testing.T) {
	convey.Convey("An ID encoded with the previous secret can still be decoded", t, func() {
		ta := Target{Service: 1, Host: netip.MustParseAddrPort("10.0.0.1:443"), Incarnation: 1}
		previous := newCodec(t, "first secret").Encode(ta, Random{})
		got, ok := newCodec(t, "first secret", "second secret").NewDecoder().Decode(previous[:])
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(got, convey.ShouldResemble, ta)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte{0x40})
	f.Add([]byte{0xC0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Add([]byte{0xC0, 0, 0, 0, 1, 255})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		packet, ok := Parse(datagram)
		if ok && len(packet.DestinationID) > maxIDLength {
			t.Fatalf("connection ID of %d bytes is longer than QUIC allows", len(packet.DestinationID))
		}
	})
}
