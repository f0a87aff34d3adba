package balancer

import (
	"context"
	"net"
	"net/netip"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/protocol/frame"
	"corneltiller.dev/corneltiller/internal/protocol/label"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
	"corneltiller.dev/corneltiller/internal/transport/keys"
	"corneltiller.dev/corneltiller/internal/transport/socket"
)

const (
	benchService   = 7
	benchPayload   = 1200 // bytes
	benchWindow    = 256  // datagrams in flight
	benchHostCount = 10
)

var (
	loopback = netip.MustParseAddr("127.0.0.1")
	anyPort  = netip.AddrPortFrom(loopback, 0)
	address  = netip.MustParseAddrPort("192.0.2.1:443")
)

// openBalancer returns a running balancer that serves one address with one worker.
func openBalancer(tb testing.TB, fabric netip.AddrPort) *Balancer {
	tb.Helper()
	paths, err := keys.Generate(filepath.Join(tb.TempDir(), "keys"), time.Now())
	if err != nil {
		tb.Fatal(err)
	}
	material, err := keys.Open(paths)
	if err != nil {
		tb.Fatal(err)
	}
	st := settings.DefaultBalancer()
	st.Callers, st.Hosts, st.Control, st.Metrics = anyPort, anyPort, anyPort, anyPort
	st.Fabric = fabric
	st.Workers = 1
	st.Services = []settings.Service{{ID: benchService, Name: "bench", Addresses: []netip.AddrPort{address}}}
	ba, err := Open(context.Background(), Config{Balancer: st, Material: material, Registry: gauge.NewRegistry()})
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = ba.Run(ctx)
	}()
	tb.Cleanup(func() {
		ba.Abort()
		cancel()
		<-done
	})
	return ba
}

// openSink opens a socket that counts the datagrams it receives.
func openSink(tb testing.TB) (netip.AddrPort, *atomic.Int64) {
	tb.Helper()
	so, err := socket.Listen(context.Background(), anyPort, 1)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(so.Close)
	var count atomic.Int64
	go func() {
		_ = so.Serve(func(*socket.Worker, netip.AddrPort, []byte) { count.Add(1) })
	}()
	return so.Address(), &count
}

// sendBounded sends b.N datagrams with at most benchWindow in flight, and reports
// the datagrams sent a second. Datagrams that are still missing after the
// window has been full for a second count as lost.
func sendBounded(b *testing.B, to netip.AddrPort, datagram []byte, arrived *atomic.Int64) {
	b.Helper()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	b.ReportAllocs()
	b.ResetTimer()
	start := arrived.Load()
	lost := int64(0)
	for sent := range int64(b.N) {
		for deadline := time.Now().Add(time.Second); sent-(arrived.Load()-start)-lost >= benchWindow; {
			if time.Now().After(deadline) {
				lost = sent - (arrived.Load() - start)
			}
		}
		if _, err := conn.Write(datagram); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "datagrams/s")
	b.ReportMetric(float64(lost), "lost")
}

// shortPacket returns a QUIC packet with a short header whose connection ID names
// the host.
func shortPacket(tb testing.TB, ba *Balancer, host netip.AddrPort) []byte {
	tb.Helper()
	id := ba.labels.Encode(label.Target{Service: benchService, Host: host, Incarnation: 1}, label.Random{Nonce: 5})
	payload := make([]byte, benchPayload)
	payload[0] = 0x40
	copy(payload[1:], id[:])
	return payload
}

// BenchmarkDatagrams measures the forwarding of a balancer. For comparison, Relay is a
// bare socket that sends each datagram on unchanged.
func BenchmarkDatagrams(b *testing.B) {
	b.Run("Relay", func(b *testing.B) {
		to, arrived := openSink(b)
		so, err := socket.Listen(context.Background(), anyPort, 1)
		if err != nil {
			b.Fatal(err)
		}
		defer so.Close()
		go func() {
			_ = so.Serve(func(wo *socket.Worker, _ netip.AddrPort, datagram []byte) { _ = wo.Send(datagram, to) })
		}()
		he := frame.Header{Service: address, Caller: netip.MustParseAddrPort("198.51.100.7:4000")}
		sendBounded(b, so.Address(), frame.Append(nil, he, make([]byte, benchPayload)), arrived)
	})
	b.Run("Balancer", func(b *testing.B) {
		to, arrived := openSink(b)
		ba := openBalancer(b, to)
		he := frame.Header{Service: address, Caller: netip.MustParseAddrPort("198.51.100.7:4000")}
		sendBounded(b, ba.CallersAddress(), frame.Append(nil, he, shortPacket(b, ba, to)), arrived)
	})
}

func BenchmarkRoutingDecision(b *testing.B) {
	ba := openBalancer(b, anyPort)
	payload := shortPacket(b, ba, netip.MustParseAddrPort("127.0.0.1:9"))
	fo := ba.newForwarder()
	b.Run("ByConnectionID", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			packet, _ := label.Parse(payload)
			fo.envelope = envelope.Envelope{Header: route.Header{Service: benchService}}
			if !fo.setChain(packet) {
				b.Fatal("dropped")
			}
		}
	})
	var hosts []register.Host
	for i := range benchHostCount {
		hosts = append(hosts, register.Host{
			Revision: register.Revision{Incarnation: 1, Sequence: 1},
			Address:  netip.AddrPortFrom(loopback, uint16(1000+i)),
			Service:  benchService,
			State:    register.StateReady,
			Weight:   register.FullWeight,
		})
	}
	ba.table.Store(route.NewTable(ba.hashKey(), time.Now(), hosts))
	b.Run("ByBucket", func(b *testing.B) {
		first := label.Packet{LongHeader: true, DestinationID: []byte("firstpkt")}
		caller := netip.MustParseAddrPort("198.51.100.7:4000")
		b.ReportAllocs()
		for b.Loop() {
			fo.envelope = envelope.Envelope{Header: route.Header{Service: benchService, Caller: caller}}
			if !fo.setChain(first) {
				b.Fatal("dropped")
			}
		}
	})
}
