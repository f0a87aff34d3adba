// Package queueing is a discrete-event simulation that measures latency, balance
// and goodput of the agents' request dispatch, and compares them with textbook
// load-balancing policies under the same arrivals and service times.
//
// The agents run the production code, dispatch.Dispatcher. Only arrivals, service
// times and the delay between agents are simulated, in virtual time.
//
// # Usage
//
//	wl := queueing.Workload{Hosts: 7, Slots: 2, Load: 0.8, MeasuredTime: 30 * time.Second, Seed: 1}
//	re := queueing.Run(wl, queueing.PolicyAgents)
//	fmt.Println(re.Urgent.P99, re.Imbalance)
package queueing

import (
	"math"
	"math/rand/v2"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
)

// The parameters that all workloads share.
const (
	// meanServiceTime is the mean service time.
	meanServiceTime = 20 * time.Millisecond
	// logDeviation is the standard deviation of the logarithm of service times, of
	// the times between arrivals and of the flows' request rates.
	logDeviation = 1.0
	// urgentShare is the share of urgent requests.
	urgentShare = 0.5
	// flowsPerHost is the number of flows per host. The request rates of the flows
	// differ; they follow a log-normal distribution.
	flowsPerHost = 200
	// callersPerHost is the number of caller addresses per host, over which the
	// flows are distributed.
	callersPerHost = 20
	// urgentTimeout and deferrableTimeout are the times from a request's arrival to
	// its deadline.
	urgentTimeout     = time.Second
	deferrableTimeout = 5 * time.Second
	// hopDelay is the delay of a message between two agents.
	hopDelay = time.Millisecond
	// warmUp is the time at the start that is not measured.
	warmUp = 3 * time.Second
	// retryDelay is half the mean delay before a caller's first retry. The delay
	// doubles with each further retry.
	retryDelay = 100 * time.Millisecond
	// maxRetries is the number of times that a caller repeats a refused request.
	maxRetries = 2
)

// Policy is a way of assigning requests to hosts.
type Policy uint8

// The policies that can be compared.
const (
	// PolicyAgents hashes flows to hosts, whose agents execute or delegate the
	// requests as dispatch.Dispatcher decides.
	PolicyAgents Policy = iota
	// PolicyRandom picks a host at random for each request.
	PolicyRandom
	// PolicyRoundRobin picks the hosts in turn.
	PolicyRoundRobin
	// PolicyLeastConnections picks the host with the fewest pending requests, with
	// full knowledge and no delay.
	PolicyLeastConnections
	// PolicyTwoChoices picks two hosts at random, then the one with fewer pending
	// requests.
	PolicyTwoChoices
	// PolicyCentral has one queue for the slots of all hosts, urgent requests
	// first, with full knowledge and no delay.
	PolicyCentral
)

// String returns the name of the policy.
func (po Policy) String() string {
	return [...]string{"Agents", "Random", "RoundRobin", "LeastConnections", "TwoChoices", "Central"}[po]
}

// Workload describes the service and the load that its callers offer.
type Workload struct {
	// Hosts is the number of hosts, Slots the number of requests that each executes
	// at once.
	Hosts int
	Slots int
	// Load is the offered work as a share of the capacity of all slots.
	Load float64
	// MeasuredTime is the time after the warm-up that is simulated and measured.
	MeasuredTime time.Duration
	// Seed seeds all random draws.
	Seed uint64
	// BrownOutFactor multiplies the service times of requests whose execution starts
	// during the brown-out. Values of at most 1 switch the brown-out off.
	BrownOutFactor float64
	// BrownOutStart and BrownOutEnd are counted from the start of the run, which is
	// also the start of the warm-up.
	BrownOutStart time.Duration
	BrownOutEnd   time.Duration
	// Retries makes callers repeat refused requests. Only PolicyAgents observes it.
	Retries bool
}

// callerRequest is one request of a caller, with its retries.
type callerRequest struct {
	// arrival and firstAttempt are the time of the first attempt.
	arrival      time.Time
	firstAttempt time.Time
	deadline     time.Time
	class        dispatch.Class
	serviceTime  time.Duration
	// host is the position of the host that the request's flow is hashed to.
	host    int
	caller  int
	retries int
}

// source generates the requests of a workload.
type source struct {
	workload Workload
	random   *rand.Rand
	// cumulativeRates holds, per flow, the sum of the relative request rates up to
	// and including that flow.
	cumulativeRates []float64
	// flowHosts holds the position of the host that each flow is hashed to.
	flowHosts   []int
	lastArrival time.Time
}

// newSource returns a source for the workload with random rates per flow.
func newSource(wl Workload) *source {
	so := &source{workload: wl, random: rand.New(rand.NewPCG(wl.Seed, 1)), lastArrival: epoch}
	sum := 0.0
	for range wl.Hosts * flowsPerHost {
		sum += math.Exp(so.random.NormFloat64() * logDeviation)
		so.cumulativeRates = append(so.cumulativeRates, sum)
		so.flowHosts = append(so.flowHosts, so.random.IntN(wl.Hosts))
	}
	return so
}

// logNormal draws a time from a log-normal distribution with the mean, in
// nanoseconds.
func (so *source) logNormal(mean float64) time.Duration {
	return time.Duration(mean * math.Exp(so.random.NormFloat64()*logDeviation-logDeviation*logDeviation/2))
}

// draw returns the next request to arrive.
func (so *source) draw() *callerRequest {
	wl := so.workload
	gap := float64(meanServiceTime) / (wl.Load * float64(wl.Hosts*wl.Slots))
	so.lastArrival = so.lastArrival.Add(so.logNormal(gap))
	ca := &callerRequest{arrival: so.lastArrival, firstAttempt: so.lastArrival, serviceTime: so.logNormal(float64(meanServiceTime))}
	ca.class = dispatch.ClassDeferrable
	ca.deadline = so.lastArrival.Add(deferrableTimeout)
	if so.random.Float64() < urgentShare {
		ca.class = dispatch.ClassUrgent
		ca.deadline = so.lastArrival.Add(urgentTimeout)
	}
	flow := search(so.cumulativeRates, so.random.Float64()*so.cumulativeRates[len(so.cumulativeRates)-1])
	ca.host = so.flowHosts[flow]
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

// serviceTimeAt returns the time that the request's execution takes if it starts now.
func (wl Workload) serviceTimeAt(now time.Time, ca *callerRequest) time.Duration {
	since := now.Sub(epoch)
	if wl.BrownOutFactor > 1 && since >= wl.BrownOutStart && since < wl.BrownOutEnd {
		return time.Duration(float64(ca.serviceTime) * wl.BrownOutFactor)
	}
	return ca.serviceTime
}
