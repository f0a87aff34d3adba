package capacity

import (
	"syscall"
	"time"

	"corneltiller.dev/corneltiller/internal/standin/fleet"
)

const (
	// hostsPerBalancer is the number of hosts per balancer at the target, rounded.
	hostsPerBalancer = (TargetHosts + TargetBalancers/2) / TargetBalancers
	membershipWarmUp = 10 * time.Second
	membershipWindow = 20 * time.Second
	measureSeed      = 7
)

// membershipSizes returns the numbers of balancers to measure. Each fleet also has
// hostsPerBalancer hosts per balancer.
func membershipSizes() []float64 {
	return []float64{8, 16, 24, 32, 48}
}

func membershipExperiments() []experiment {
	experiments := []experiment{
		{
			Slope:   Slope{Role: "balancer", Quantity: "bytes sent for membership a second", Unit: "B/s", Per: "balancers"},
			measure: func(size int) float64 { return meanBytesPerSecond(size, balancersOf) },
		},
		{
			Slope:   Slope{Role: "balancer", Quantity: "most bytes sent in one second", Unit: "B/s", Per: "balancers"},
			measure: peakBytesPerSecond,
		},
		{
			Slope:   Slope{Role: "agent", Quantity: "bytes sent for membership a second", Unit: "B/s", Per: "balancers"},
			measure: func(size int) float64 { return meanBytesPerSecond(size, hostsOf) },
		},
		{
			Slope:   Slope{Role: "balancer", Quantity: "processor time for membership a second, hosts' share included", Unit: "s/s", Per: "balancers"},
			measure: processorShare,
		},
		{
			Slope:   Slope{Role: "balancer", Quantity: "memory of the membership, hosts' share included", Unit: "B", Per: "balancers"},
			measure: membershipMemory,
		},
	}
	for i := range experiments {
		experiments[i].Sizes = membershipSizes()
		experiments[i].Target = TargetBalancers
	}
	return experiments
}

// newFleet returns a simulated fleet with hostsPerBalancer hosts per balancer.
func newFleet(balancers int) *fleet.Fleet {
	return fleet.New(fleet.Options{Balancers: balancers, Hosts: balancers * hostsPerBalancer, Domains: 9, Seed: measureSeed})
}

func balancersOf(fl *fleet.Fleet) []*fleet.Node { return fl.Balancers }

func hostsOf(fl *fleet.Fleet) []*fleet.Node { return fl.Hosts }

// meanBytesPerSecond returns the mean number of bytes that one of the selected nodes
// sends per second.
func meanBytesPerSecond(balancers int, selectNodes func(fl *fleet.Fleet) []*fleet.Node) float64 {
	fl := newFleet(balancers)
	fl.Run(membershipWarmUp)
	before := totalBytesSent(selectNodes(fl))
	fl.Run(membershipWindow)
	return float64(totalBytesSent(selectNodes(fl))-before) / membershipWindow.Seconds() / float64(len(selectNodes(fl)))
}

func totalBytesSent(nodes []*fleet.Node) int {
	sum := 0
	for _, nd := range nodes {
		sum += nd.SentBytes
	}
	return sum
}

// peakBytesPerSecond returns the largest number of bytes that any balancer sent in
// one second of a run in which one host per balancer crashes after the warm-up.
func peakBytesPerSecond(balancers int) float64 {
	fl := newFleet(balancers)
	fl.Run(membershipWarmUp)
	for i := 0; i < len(fl.Hosts); i += hostsPerBalancer {
		fl.Crash(fl.Hosts[i])
	}
	fl.Run(membershipWindow)
	most := 0
	for _, nd := range fl.Balancers {
		most = max(most, nd.PeakSecondBytes)
	}
	return float64(most)
}

// processorShare returns the processor time that a balancer and its share of
// the hosts take per second without changes, including that of the simulated
// network.
func processorShare(balancers int) float64 {
	fl := newFleet(balancers)
	fl.Run(membershipWarmUp)
	begin := processorTime()
	fl.Run(membershipWindow)
	return (processorTime() - begin).Seconds() / membershipWindow.Seconds() / float64(balancers)
}

// processorTime returns the processor time that this process has used so far,
// garbage collection included. Other load on the machine doesn't count.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// membershipMemory returns the bytes that a fleet keeps on the heap, divided by its
// number of balancers.
func membershipMemory(balancers int) float64 {
	retained := retainedHeapBytes(func() any {
		fl := newFleet(balancers)
		fl.Run(membershipWarmUp)
		return fl
	})
	return retained / float64(balancers)
}
