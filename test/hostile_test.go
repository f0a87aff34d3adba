package test

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/standin/trial"
)

const (
	garbageDatagrams = 300
	largestGarbage   = 4000 // bytes
)

// sendGarbage sends random, truncated and oversized datagrams.
func sendGarbage(tb testing.TB, to netip.AddrPort, random *rand.Rand) {
	tb.Helper()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		tb.Fatal(err)
	}
	defer conn.Close()
	for range garbageDatagrams {
		datagram := make([]byte, random.IntN(largestGarbage))
		for i := range datagram {
			datagram[i] = byte(random.Uint32())
		}
		// A port whose process refuses the datagram may answer with an ICMP error.
		_, _ = conn.Write(datagram)
	}
}

// sendText sends bytes that are no TLS to a TCP port.
func sendText(tb testing.TB, to netip.AddrPort) {
	tb.Helper()
	conn, err := net.DialTimeout("tcp", to.String(), time.Second)
	if err != nil {
		tb.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("GET /Link HTTP/1.1\r\n\r\n")); err != nil {
		tb.Fatal(err)
	}
}

// counterOf returns a counter of a process.
func counterOf(tb testing.TB, metrics netip.AddrPort, name string) int64 {
	tb.Helper()
	answer, err := http.Get("http://" + metrics.String() + "/Metrics")
	if err != nil {
		tb.Fatal(err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		tb.Fatal(err)
	}
	var all map[string]struct {
		Count int64 `json:"count"`
	}
	if err := json.Unmarshal(data, &all); err != nil {
		tb.Fatal(err)
	}
	return all[name].Count
}

func TestGarbageAtEveryPort(t *testing.T) {
	fl := startFleet(t)
	random := rand.New(rand.NewPCG(7, 7))
	convey.Convey("Garbage at every port is counted and the service goes on", t, func() {
		for _, address := range fl.datagramPorts() {
			sendGarbage(t, address, random)
		}
		for _, ba := range fl.Balancers {
			sendText(t, ba.Control)
			convey.So(counterOf(t, ba.Metrics, "DatagramsMalformed"), convey.ShouldBeGreaterThan, 0)
		}
		for _, ag := range fl.Agents {
			sendText(t, ag.Control)
			convey.So(counterOf(t, ag.Metrics, "DatagramsMalformed"), convey.ShouldBeGreaterThan, 0)
		}
		for service := range fl.Fabric.Services {
			output, code := fl.call(service, "/status")
			convey.So(output, convey.ShouldContainSubstring, trial.Services(loopback())[service].Name)
			convey.So(code, convey.ShouldEqual, 0)
		}
	})
}

// datagramPorts returns every UDP address of the fleet.
func (fl *fleet) datagramPorts() []netip.AddrPort {
	ports := append([]netip.AddrPort{fl.Fabric.Answers}, fl.Fabric.Services...)
	for _, ba := range fl.Balancers {
		ports = append(ports, ba.Callers, ba.Hosts)
	}
	for _, ag := range fl.Agents {
		ports = append(ports, ag.Datagrams)
	}
	return ports
}
