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
	malformedDatagrams = 300
	maxMalformedBytes  = 4000 // bytes
)

// sendMalformed sends datagrams of random bytes and random length below
// maxMalformedBytes.
func sendMalformed(tb testing.TB, to netip.AddrPort, random *rand.Rand) {
	tb.Helper()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		tb.Fatal(err)
	}
	defer conn.Close()
	for range malformedDatagrams {
		datagram := make([]byte, random.IntN(maxMalformedBytes))
		for i := range datagram {
			datagram[i] = byte(random.Uint32())
		}
		// A port whose process refuses the datagram may answer with an ICMP error.
		_, _ = conn.Write(datagram)
	}
}

// sendPlaintext sends an unencrypted HTTP request to a TCP port that expects TLS.
func sendPlaintext(tb testing.TB, to netip.AddrPort) {
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

// counterOf returns the value of a counter at a metrics address.
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

// TestMalformedInputAtEveryPort checks that malformed input neither stops a process
// nor keeps a service from answering.
func TestMalformedInputAtEveryPort(t *testing.T) {
	fl := startFleet(t)
	random := rand.New(rand.NewPCG(7, 7))
	convey.Convey("Balancers and agents count malformed datagrams, and all services still answer", t, func() {
		for _, address := range fl.datagramPorts() {
			sendMalformed(t, address, random)
		}
		for _, ba := range fl.Balancers {
			sendPlaintext(t, ba.Control)
			convey.So(counterOf(t, ba.Metrics, "DatagramsMalformed"), convey.ShouldBeGreaterThan, 0)
		}
		for _, ag := range fl.Agents {
			sendPlaintext(t, ag.Control)
			convey.So(counterOf(t, ag.Metrics, "DatagramsMalformed"), convey.ShouldBeGreaterThan, 0)
		}
		for service := range fl.Fabric.Services {
			output, code := fl.call(service, "/status")
			convey.So(output, convey.ShouldContainSubstring, trial.Services(loopback())[service].Name)
			convey.So(code, convey.ShouldEqual, 0)
		}
	})
}

// datagramPorts returns the UDP addresses of the fabric, the balancers and the agents.
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
