package envelope

import (
	"flag"
	"net/netip"
	"os"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// The smallest first QUIC packet (RFC 9000, section 14.1) with its envelope must
// fit into one IPv4 packet on a path with this MTU.
const (
	pathMTU        = 1280 // bytes
	firstPacket    = 1200 // bytes
	ipAndUDPHeader = 28   // bytes
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func drawIPv4(t *rapid.T, label string) netip.AddrPort {
	ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16().Draw(t, label+" port"))
}

func drawCaller(t *rapid.T) netip.AddrPort {
	if rapid.Bool().Draw(t, "IPv4 caller") {
		return drawIPv4(t, "caller")
	}
	ip := [16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "caller"))
	ip[0] = 0x20
	return netip.AddrPortFrom(netip.AddrFrom16(ip), rapid.Uint16().Draw(t, "caller port"))
}

func drawEnvelope(t *rapid.T) Envelope {
	en := Envelope{
		Kind:         Kind(rapid.IntRange(0, 1).Draw(t, "kind")),
		AddressIndex: rapid.Uint8().Draw(t, "address index"),
		Version:      rapid.Uint32Range(0, 1<<24-1).Draw(t, "version"),
		Balancer:     drawIPv4(t, "balancer"),
		Header: route.Header{
			Service:   register.ServiceID(rapid.Uint32Range(0, uint32(register.MaxServiceID)).Draw(t, "service")),
			Caller:    drawCaller(t),
			Index:     uint8(rapid.IntRange(0, 3).Draw(t, "index")),
			Hops:      uint8(rapid.IntRange(0, route.MaxHops).Draw(t, "hops")),
			Request:   route.Request(rapid.IntRange(0, 3).Draw(t, "request")),
			LoadScore: route.LoadScore(rapid.Uint16().Draw(t, "load score")),
		},
	}
	en.Chain.Count = uint8(rapid.IntRange(0, route.MaxChain).Draw(t, "count"))
	en.Chain.HolderCount = uint8(rapid.IntRange(0, int(en.Chain.Count)).Draw(t, "holders"))
	for i := range en.Chain.Count {
		en.Chain.Hosts[i] = route.Candidate{
			Address:     drawIPv4(t, "candidate"),
			Incarnation: uint64(rapid.Uint16().Draw(t, "incarnation")),
		}
	}
	return en
}

func TestEnvelopeRoundTrip(t *testing.T) {
	co := NewCodec([]byte("secret"))
	rapid.Check(t, func(t *rapid.T) {
		en := drawEnvelope(t)
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		datagram, err := co.Append(nil, &en, payload)
		if err != nil {
			t.Fatal(err)
		}
		var got Envelope
		rest, err := co.Decode(datagram, &got)
		if err != nil || got != en || string(rest) != string(payload) {
			t.Fatalf("got %v %v, want %v", got, err, en)
		}
		position := rapid.IntRange(0, len(datagram)-len(payload)-1).Draw(t, "position")
		datagram[position] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if _, err := co.Decode(datagram, &got); err == nil {
			t.Fatalf("a header with a changed bit in byte %d was accepted", position)
		}
	})
}

func TestEnvelopeFitsPathMTU(t *testing.T) {
	convey.Convey("The largest envelope of an IPv4 caller leaves room for a first QUIC packet", t, func() {
		candidate := route.Candidate{Address: netip.MustParseAddrPort("10.0.0.1:1")}
		en := Envelope{Balancer: candidate.Address}
		en.Caller = netip.MustParseAddrPort("198.51.100.1:1")
		en.Chain = route.Chain{Count: route.MaxChain, Hosts: [route.MaxChain]route.Candidate{candidate, candidate, candidate}}
		datagram, err := NewCodec([]byte("secret")).Append(nil, &en, make([]byte, firstPacket))
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(datagram), convey.ShouldBeLessThanOrEqualTo, pathMTU-ipAndUDPHeader)
	})
}

func FuzzDecode(f *testing.F) {
	co := NewCodec([]byte("secret"))
	en := Envelope{Balancer: netip.MustParseAddrPort("10.0.0.2:2")}
	en.Caller = netip.MustParseAddrPort("[2001:db8::1]:1")
	en.Chain.Count = 1
	en.Chain.Hosts[0].Address = netip.MustParseAddrPort("10.0.0.1:1")
	good, err := co.Append(nil, &en, []byte("payload"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:5])
	f.Add([]byte{0x40})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var got Envelope
		payload, err := co.Decode(datagram, &got)
		if err == nil && len(payload) >= len(datagram) {
			t.Fatal("payload is as long as the datagram, which leaves no room for a header")
		}
	})
}
