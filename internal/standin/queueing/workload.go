// Package queueing measures the dispatch cores in virtual time and compares
// them with textbook placements under the same arrivals and service times.
//
// It is no model of the system: the agents are the real cores, and all that
// is simulated are arrivals, service times and the delay between agents.
//
// # Usage
//
//	wl := queueing.Workload{Hosts: 7, Slots: 2, Load: 0.8, Span: 30 * time.Second, Seed: 1}
//	re := queueing.Run(wl, queueing.PolicyAgents)
//	fmt.Println(re.Urgent.P99, re.Imbalance)
package queueing

import (
	"math"
	"math/rand/v2"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
)

// The shape of every workload.
const (
	// meanService is the mean service time.
	meanService = 20 * time.Millisecond
	// spread is the standard deviation of the logarithm of service times and of
	// the times between arrivals.
	spread = 1.0
	// urgentShare is the share of urgent requests.
	urgentShare = 0.5
	// flowsPerHost is the number of flows that share the requests unevenly.
	flowsPerHost = 200
	// callersPerHost is the number of addresses behind these flows.
	callersPerHost = 20
	// urgentPatience and deferrablePatience are the times to the deadline.
	urgentPatience     = time.Second
	deferrablePatience = 5 * time.Second
	// hopDelay is the time from one agent to another.
	hopDelay = time.Millisecond
	// warmUp is the time at the start that is not measured.
	warmUp = 3 * time.Second
	// retryDelay is the first delay of a caller whose request was refused.
	retryDelay = 100 * time.Millisecond
	// callerRetries is how often a caller repeats a refused request.
	callerRetries = 2
)

// Policy is a way of placing requests.
type Policy uint8

// The policies that can be compared.
const (
	// PolicyAgents runs the dispatch cores behind flows hashed to hosts.
	PolicyAgents Policy = iota
	// PolicyRandom picks a host at random for each request.
	PolicyRandom
	// PolicyRoundRobin picks the hosts in turn.
	PolicyRoundRobin
	// PolicyLeastConnections picks the host with the fewest open requests, as
	// known without delay.
	PolicyLeastConnections
	// PolicyTwoChoices picks the less busy of two random hosts.
	PolicyTwoChoices
	// PolicyCentral is one queue for all slots with full knowledge and no delay.
	PolicyCentral
)

// String returns the name of the policy.
func (po Policy) String() string {
	return [...]string{"Agents", "Random", "RoundRobin", "LeastConnections", "TwoChoices", "Central"}[po]
}

// Workload is what the callers do.
type Workload struct {
	Hosts int
	Slots int
	// Load is the offered work as a share of the slots.
	Load float64
	// Span is the measured time.
	Span time.Duration
	Seed uint64
	// BrownOut multiplies service times during its time if it is above 1.
	BrownOut float64
	// BrownOutStart and BrownOutEnd are counted from the start of the run.
	BrownOutStart time.Duration
	BrownOutEnd   time.Duration
	// Retries lets callers repeat refused requests.
	Retries bool
}

// call is one request of a caller.
type call struct {
	arrival  time.Time
	first    time.Time
	deadline time.Time
	class    dispatch.Class
	service  time.Duration
	host     int
	caller   int
	tries    int
}

// source draws the requests of a workload.
type source struct {
	workload Workload
	random   *rand.Rand
	// flows are the cumulative rates of the flows.
	flows []float64
	hosts []int
	next  time.Time
}

// newSource returns the source of the workload's requests.
func newSource(wl Workload) *source {
	so := &source{workload: wl, random: rand.New(rand.NewPCG(wl.Seed, 1)), next: epoch}
	sum := 0.0
	for range wl.Hosts * flowsPerHost {
		sum += math.Exp(so.random.NormFloat64() * spread)
		so.flows = append(so.flows, sum)
		so.hosts = append(so.hosts, so.random.IntN(wl.Hosts))
	}
	return so
}

// logNormal draws a time with the mean.
func (so *source) logNormal(mean float64) time.Duration {
	return time.Duration(mean * math.Exp(so.random.NormFloat64()*spread-spread*spread/2))
}

// draw returns the next request.
func (so *source) draw() *call {
	wl := so.workload
	gap := float64(meanService) / (wl.Load * float64(wl.Hosts*wl.Slots))
	so.next = so.next.Add(so.logNormal(gap))
	ca := &call{arrival: so.next, first: so.next, service: so.logNormal(float64(meanService))}
	ca.class = dispatch.ClassDeferrable
	ca.deadline = so.next.Add(deferrablePatience)
	if so.random.Float64() < urgentShare {
		ca.class = dispatch.ClassUrgent
		ca.deadline = so.next.Add(urgentPatience)
	}
	flow := search(so.flows, so.random.Float64()*so.flows[len(so.flows)-1])
	ca.host = so.hosts[flow]
	ca.caller = flow % callersPerHost
	return ca
}

// search returns the first position whose value reaches the target.
func search(values []float64, target float64) int {
	low, high := 0, len(values)-1
	for low < high {
		middle := (low + high) / 2
		if values[middle] < target {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// serviceAt returns the time that the request takes if it starts now.
func (wl Workload) serviceAt(now time.Time, ca *call) time.Duration {
	since := now.Sub(epoch)
	if wl.BrownOut > 1 && since >= wl.BrownOutStart && since < wl.BrownOutEnd {
		return time.Duration(float64(ca.service) * wl.BrownOut)
	}
	return ca.service
}
