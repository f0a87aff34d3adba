package capacity

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// hostsPerService is the number of hosts of the service yardline, the larger of
	// the two services of package trial.
	hostsPerService = 7
	firstPort       = 7000
)

var (
	measureStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	measureKey   = route.DeriveKey([]byte("capacity"))
)

func steeringExperiments() []experiment {
	return []experiment{
		{
			Slope:   Slope{Role: "balancer", Quantity: "memory of the steering table", Unit: "B", Per: "hosts", Sizes: []float64{2000, 4000, 8000, 16000, 32000}, Target: TargetHosts},
			measure: tableMemory,
		},
		{
			Slope:   Slope{Role: "balancer", Quantity: "time to take one changed record", Unit: "s", Per: "hosts", Sizes: []float64{2000, 4000, 8000, 16000, 32000}, Target: TargetHosts},
			measure: tableUpdateTime,
		},
		{
			Slope:   Slope{Role: "balancer", Quantity: "time to choose the candidates of a packet", Unit: "s", Per: "hosts of the service", Sizes: []float64{2, 4, 8, 16, 32, 64}, Target: hostsPerService},
			measure: candidateSelectionTime,
		},
		{
			Slope:   Slope{Role: "agent", Quantity: "memory of the flow table", Unit: "B", Per: "flows", Sizes: []float64{1000, 2000, 4000, 8000, 16000}, Target: TargetFlows / TargetHosts},
			measure: flowMemory,
		},
		{
			Slope:   Slope{Role: "agent", Quantity: "time to open one flow", Unit: "s", Per: "flows", Sizes: []float64{1000, 2000, 4000, 8000, 16000}, Target: TargetFlows / TargetHosts},
			measure: flowOpeningTime,
		},
	}
}

// hostRecords returns the records of ready hosts, perService of them for each
// service.
func hostRecords(count, perService int) []register.Host {
	hosts := make([]register.Host, 0, count)
	for i := range count {
		address := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		hosts = append(hosts, register.Host{
			Revision: register.Revision{Incarnation: 1, Sequence: 1},
			Address:  netip.AddrPortFrom(address, firstPort),
			Control:  netip.AddrPortFrom(address, firstPort+1),
			Service:  register.ServiceID(1 + i/perService),
			State:    register.StateReady,
			Weight:   register.FullWeight,
		})
	}
	return hosts
}

// caller returns a caller's address, distinct for numbers below 2^24.
func caller(number int) netip.AddrPort {
	address := netip.AddrFrom4([4]byte{172, byte(number >> 16), byte(number >> 8), byte(number)})
	return netip.AddrPortFrom(address, 40000)
}

// tableMemory returns the heap bytes of a routing table of all hosts.
func tableMemory(hosts int) float64 {
	records := hostRecords(hosts, hostsPerService)
	return retainedHeapBytes(func() any { return route.NewTable(measureKey, measureStart, records) })
}

// tableUpdateTime returns the seconds to derive a routing table with one changed
// host.
func tableUpdateTime(hosts int) float64 {
	records := hostRecords(hosts, hostsPerService)
	ta := route.NewTable(measureKey, measureStart, records)
	changed := records[hosts/2]
	now := measureStart
	return minSecondsPerCall(func() {
		now = now.Add(time.Second)
		changed.Sequence++
		changed.Weight = register.FullWeight - uint16(changed.Sequence%2)
		ta = ta.Next(now, []register.Host{changed})
	})
}

// candidateSelectionTime returns the seconds to choose the candidate hosts for a new
// caller.
func candidateSelectionTime(perService int) float64 {
	ta := route.NewTable(measureKey, measureStart, hostRecords(perService, perService))
	number := 0
	return minSecondsPerCall(func() {
		ta.Candidates(1, caller(number))
		number++
	})
}

// newFlowTable returns the flow table of a host that is the only one of its service,
// and a function that returns the first packet of a flow by number.
func newFlowTable(capacity int) (*route.FlowTable, func(number int) route.Packet) {
	self := hostRecords(1, 1)[0]
	fl := route.NewFlowTable(self, measureKey, measureStart, capacity)
	ta := route.NewTable(measureKey, measureStart, []register.Host{self})
	return fl, func(number int) route.Packet {
		from := caller(number)
		return route.Packet{
			Header: route.Header{Service: self.Service, Caller: from, Chain: ta.Candidates(self.Service, from)},
			Sender: from,
		}
	}
}

// flowMemory returns the heap bytes of a flow table that holds the flows.
func flowMemory(flows int) float64 {
	return retainedHeapBytes(func() any {
		fl, packet := newFlowTable(2 * flows)
		for i := range flows {
			fl.Decide(measureStart, packet(i))
		}
		return fl
	})
}

// flowOpeningTime returns the seconds to open and close one flow at a host that holds
// the given number of others.
func flowOpeningTime(flows int) float64 {
	fl, packet := newFlowTable(2 * flows)
	for i := range flows {
		fl.Decide(measureStart, packet(i))
	}
	return minSecondsPerCall(func() {
		pk := packet(flows)
		fl.Decide(measureStart, pk)
		fl.Close(pk.Caller, pk.ID)
	})
}
