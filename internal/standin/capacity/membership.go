package capacity

import (
	"syscall"
	"time"

	"corneltiller.dev/corneltiller/internal/standin/fleet"
)

const (
	// hostsPerBalancer is the share of hosts and balancers at the target.
	hostsPerBalancer = (TargetHosts + TargetNodes/2) / TargetNodes
	membershipWarmUp = 10 * time.Second
	membershipWindow = 20 * time.Second
	measureSeed      = 7
)

// membershipSizes are numbers of balancers; the hosts come on top.
func membershipSizes() []float64 {
	return []float64{8, 16, 24, 32, 48}
}

func membershipExperiments() []experiment {
	bound := []experiment{
		{
			Slope:   Slope{Role: "balancer", Quantity: "bytes sent for membership a second", Unit: "B/s", Per: "balancers"},
			measure: func(size int) float64 { return sentASecond(size, balancersOf) },
		},
		{
			Slope:   Slope{Role: "balancer", Quantity: "most bytes sent in one second", Unit: "B/s", Per: "balancers"},
			measure: mostSent,
		},
		{
			Slope:   Slope{Role: "agent", Quantity: "bytes sent for membership a second", Unit: "B/s", Per: "balancers"},
			measure: func(size int) float64 { return sentASecond(size, hostsOf) },
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
	for i := range bound {
		bound[i].Sizes = membershipSizes()
		bound[i].Target = TargetNodes
	}
	return bound
}

func newFleet(balancers int) *fleet.Fleet {
	return fleet.New(fleet.Options{Balancers: balancers, Hosts: balancers * hostsPerBalancer, Domains: 9, Seed: measureSeed})
}

func balancersOf(fl *fleet.Fleet) []*fleet.Node { return fl.Balancers }

func hostsOf(fl *fleet.Fleet) []*fleet.Node { return fl.Hosts }

// sentASecond returns the mean of what each of the nodes sends.
func sentASecond(balancers int, of func(fl *fleet.Fleet) []*fleet.Node) float64 {
	fl := newFleet(balancers)
	fl.Run(membershipWarmUp)
	before := sentBy(of(fl))
	fl.Run(membershipWindow)
	return float64(sentBy(of(fl))-before) / membershipWindow.Seconds() / float64(len(of(fl)))
}

func sentBy(nodes []*fleet.Node) int {
	sum := 0
	for _, nd := range nodes {
		sum += nd.SentBytes
	}
	return sum
}

// mostSent returns the largest amount that any balancer sent in one second,
// while hosts crash.
func mostSent(balancers int) float64 {
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
// the hosts take in a second of quiet, the network's stand-in included.
func processorShare(balancers int) float64 {
	fl := newFleet(balancers)
	fl.Run(membershipWarmUp)
	begin := processorTime()
	fl.Run(membershipWindow)
	return (processorTime() - begin).Seconds() / membershipWindow.Seconds() / float64(balancers)
}

// processorTime returns what the process has used so far, the collector
// included. Other load on the machine doesn't count.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func membershipMemory(balancers int) float64 {
	held := heapOf(func() any {
		fl := newFleet(balancers)
		fl.Run(membershipWarmUp)
		return fl
	})
	return held / float64(balancers)
}
