package carriage

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// benchFlows is the number of open flows at a host in the benchmarks.
const benchFlows = 2000

// newBenchGate returns a gate with benchFlows open flows between two requests.
func newBenchGate() (*Gate, []Flow) {
	ga := NewGate(began, GateSettings{Service: simService, HostAddress: simHostAddress, HeartbeatInterval: simHeartbeat, FlowLifetime: time.Minute, OpeningTimeout: simOpeningTimeout, FirstStart: true})
	ga.CheckIn(began, CheckIn{Name: "h", StartedAt: began, Sequence: 1, Service: simService, Address: simHostAddress, Slots: 2 * benchFlows})
	var flows []Flow
	for i := range benchFlows {
		flow := Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 1024), Service: simAddress}
		forward(ga, Packet{Flow: flow, Opening: true, Sequence: 1})
		ga.HandleHostPacket(began, Packet{Flow: flow, Accepting: true, Sequence: 1}, nil)
		flows = append(flows, flow)
	}
	return ga, flows
}

func forward(ga *Gate, pk Packet) {
	ga.HandleForwarded(began, ForwardedPacket{Packet: pk, ServiceHash: serviceHash(simService), Started: began}, nil)
}

// BenchmarkRequest serves one request on an open flow: a packet each way and the
// caller's acknowledgement.
func BenchmarkRequest(b *testing.B) {
	ga, flows := newBenchGate()
	b.ReportAllocs()
	i, sent, answered := 0, uint32(2), uint32(2)
	for b.Loop() {
		flow := flows[i]
		forward(ga, Packet{Flow: flow, Sequence: sent, Length: 100, Acknowledged: answered})
		ga.HandleHostPacket(began, Packet{Flow: flow, Sequence: answered, Length: 600}, nil)
		forward(ga, Packet{Flow: flow, Sequence: sent + 100, Acknowledged: answered + 600})
		if i++; i == len(flows) {
			i, sent, answered = 0, sent+100, answered+600
		}
	}
}

// BenchmarkOpenFlows opens benchFlows flows.
func BenchmarkOpenFlows(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		newBenchGate()
	}
}

// BenchmarkIdleTick is the work of one tick while all flows are open and idle.
func BenchmarkIdleTick(b *testing.B) {
	ga, flows := newBenchGate()
	forward(ga, Packet{Flow: flows[0], Sequence: 2, Length: 100, Acknowledged: 2})
	for b.Loop() {
		ga.Tick(began.Add(time.Second))
	}
}

// BenchmarkQueue adds an opening to a queue that is almost full and takes one.
func BenchmarkQueue(b *testing.B) {
	for _, byWork := range []bool{false, true} {
		b.Run(fmt.Sprintf("byWork=%v", byWork), func(b *testing.B) {
			qg := newQueueGate(byWork, 0)
			qg.queue.openingTimeout = time.Hour
			ro := catalog.Route{LatencyTarget: 200 * time.Millisecond}
			add := func(i int) {
				flow := benchFlow(i)
				if i%2 == 0 {
					flow.Service = dearAddress
				}
				fp := ForwardedPacket{Packet: Packet{Flow: flow, Opening: true}, Started: qg.now.Add(time.Duration(i%100) * time.Microsecond)}
				if _, ok := qg.queue.add(qg.now, fp, nil, ro, 4); !ok {
					b.Fatal("the opening was not queued")
				}
			}
			for i := range maxQueued - 2 {
				add(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				add(i)
				qg.queue.next(qg.now)
			}
		})
	}
}

// BenchmarkFlowMemory measures the heap of an agent with 4,000 open flows, each of which
// has had a request. Its time is that of the openings and requests.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 4000
	for _, byWork := range []bool{false, true} {
		b.Run(fmt.Sprintf("byWork=%v", byWork), func(b *testing.B) {
			var heap uint64
			for b.Loop() {
				before := heapInUse()
				ga := newOpenGate(flows, byWork)
				heap += heapInUse() - before
				runtime.KeepAlive(ga)
			}
			b.ReportMetric(float64(heap)/float64(b.N)/flows, "B/flow")
		})
	}
}

// heapInUse returns the bytes of the heap that are reachable.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

// newOpenGate returns an agent with open flows that have had a request each.
func newOpenGate(flows int, byWork bool) *Gate {
	ga := NewGate(began, GateSettings{
		Service: simService, HostAddress: simHostAddress, HeartbeatInterval: simHeartbeat, FlowLifetime: time.Minute,
		OpeningTimeout: simOpeningTimeout, FirstStart: true, ReportsWork: byWork,
	})
	ga.CheckIn(began, CheckIn{Name: "h", StartedAt: began, Sequence: 1, Service: simService, Address: simHostAddress, Slots: 8})
	for i := range flows {
		flow := benchFlow(i)
		forward(ga, Packet{Flow: flow, Opening: true, Sequence: 1})
		ga.HandleHostPacket(began, Packet{Flow: flow, Accepting: true, Sequence: 1}, nil)
		forward(ga, Packet{Flow: flow, Sequence: 2, Length: 100, Acknowledged: 2})
		ga.HandleHostPacket(began.Add(5*time.Millisecond), Packet{Flow: flow, Sequence: 2, Length: 600}, nil)
	}
	return ga
}
