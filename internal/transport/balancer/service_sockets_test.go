package balancer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/protocol/frame"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

const receiveTimeout = 5 * time.Second

func listen(tb testing.TB) *net.UDPConn {
	tb.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(anyPort))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	return conn
}

func receive(tb testing.TB, conn *net.UDPConn) ([]byte, netip.AddrPort) {
	tb.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
		tb.Fatal(err)
	}
	buffer := make([]byte, 2048)
	length, from, err := conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		tb.Fatal(err)
	}
	return buffer[:length], from
}

func addressOf(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func TestServiceSockets(t *testing.T) {
	ba := openBalancer(t, netip.AddrPort{})
	host, caller, free := listen(t), listen(t), listen(t)
	service := addressOf(free)
	free.Close()
	convey.Convey("Given a balancer whose fabric uses no frames", t, func() {
		ba.Apply(&catalog.Configuration{Services: []catalog.Service{
			{ID: benchService, Addresses: []netip.AddrPort{service}},
		}})
		payload := shortPacket(t, ba, addressOf(host))
		_, err := caller.WriteToUDPAddrPort(payload, service)
		convey.So(err, convey.ShouldBeNil)

		convey.Convey("a datagram to a service's address reaches its host, and the answer comes from the service's address", func() {
			datagram, _ := receive(t, host)
			var en envelope.Envelope
			got, err := ba.envelopes.Decode(datagram, &en)
			convey.So(err, convey.ShouldBeNil)
			convey.So(got, convey.ShouldResemble, payload)
			convey.So(en.Caller, convey.ShouldEqual, addressOf(caller))

			en.Kind = envelope.KindToCaller
			answer, err := ba.envelopes.Append(nil, &en, []byte("answer"))
			convey.So(err, convey.ShouldBeNil)
			_, err = host.WriteToUDPAddrPort(answer, ba.HostsAddress())
			convey.So(err, convey.ShouldBeNil)
			text, from := receive(t, caller)
			convey.So(string(text), convey.ShouldEqual, "answer")
			convey.So(from, convey.ShouldEqual, service)
		})
		convey.Convey("the socket of a removed address is closed", func() {
			ba.Apply(&catalog.Configuration{})
			again, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(service))
			convey.So(err, convey.ShouldBeNil)
			again.Close()
		})
	})
}

func TestPacketOfAnotherServiceIsDropped(t *testing.T) {
	ba := openBalancer(t, anyPort)
	convey.Convey("A connection ID of one service sent to another's address is dropped and counted", t, func() {
		fo := ba.newForwarder()
		payload := shortPacket(t, ba, netip.MustParseAddrPort("127.0.0.1:9"))
		ba.addresses.Store(newAddresses(&catalog.Configuration{Services: []catalog.Service{
			{ID: benchService + 1, Addresses: []netip.AddrPort{address}},
		}}))
		fo.forward(nil, frameTo(address), payload)
		convey.So(ba.counts.wrongService.Count(), convey.ShouldEqual, 1)
		convey.So(ba.counts.forwarded.Count(), convey.ShouldEqual, 0)
	})
}

func frameTo(service netip.AddrPort) frame.Header {
	return frame.Header{Service: service, Caller: netip.MustParseAddrPort("198.51.100.7:4000")}
}
