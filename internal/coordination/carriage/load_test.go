package carriage

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// This file plays loads against ranking by counts and by remaining work.

const (
	loadBalancers = 12
	loadHosts     = 24
	loadTime      = 10 * time.Second
	// loadTarget is the strictest goal of callers, unless the load has another one.
	loadTarget = 200 * time.Millisecond
)

// dearAddress is the address of a second route of the service.
var dearAddress = netip.MustParseAddrPort("198.18.0.2:443")

// load is a load that is played. Its functions get the time since the start.
type load struct {
	name string
	// work draws the time of a request at a host of usual speed; at, which may be nil,
	// returns the factor of that time at a host.
	work func(random *rand.Rand, dear bool) time.Duration
	at   func(lr *loadRun, ho *simHost, ca *call) float64
	// rate returns the new callers a second, dearShare the share of them that go to
	// dearAddress, localShare that of those that come to balancers of domain a.
	rate       func(since time.Duration) float64
	dearShare  func(since time.Duration) float64
	localShare func(since time.Duration) float64
	// tries is how often a caller tries again that was refused or has given up.
	tries int
	// setUp schedules faults; it may be nil.
	setUp func(lr *loadRun)
	// target is the callers' goal, zero for loadTarget.
	target time.Duration
	// compare compares the outcomes of both rankings.
	compare func(counts, work outcome)
}

// loadRun is one run of a load.
type loadRun struct {
	*simulation
	load load
	// draws draws arrivals and work, whatever the balancers do.
	draws     *rand.Rand
	callers   int
	calls     map[Flow]call
	took      []time.Duration
	crossings int
}

// call is the call that a caller makes on a flow: when it began, the balancer that it
// reaches, how often it may try again, its work and whether it is one that a grey host
// delays.
type call struct {
	began    time.Time
	balancer int
	tries    int
	dear     bool
	work     time.Duration
	delayed  bool
}

// outcome is what callers saw of a load.
type outcome struct {
	inTime           float64
	p50, p90, p99    time.Duration
	refused, crossed int
}

func (ou outcome) String() string {
	return fmt.Sprintf("in time %.4f p50 %v p90 %v p99 %v refused %d crossed %d",
		ou.inTime, ou.p50.Round(100*time.Microsecond), ou.p90.Round(100*time.Microsecond), ou.p99.Round(100*time.Microsecond), ou.refused, ou.crossed)
}

// constant returns a function that always returns the value.
func constant(value float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return value }
}

// between returns a function with one value from a time to another and a second one
// otherwise.
func between(from, to time.Duration, inside, outside float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		if since >= from && since < to {
			return inside
		}
		return outside
	}
}

// spread draws a time that is spread evenly by half around the mean.
func spread(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}

// evenWork draws from evenly spread times.
func evenWork(random *rand.Rand, _ bool) time.Duration { return spread(random, 20*time.Millisecond) }

// tailWork draws times of which 3% are seven times the mean of 20 ms.
func tailWork(random *rand.Rand, _ bool) time.Duration {
	if random.Float64() < 0.03 {
		return 140 * time.Millisecond
	}
	return spread(random, 16300*time.Microsecond)
}

// routeWork draws times of 5 and 52 ms by the route.
func routeWork(random *rand.Rand, dear bool) time.Duration {
	if dear {
		return spread(random, 52*time.Millisecond)
	}
	return spread(random, 5*time.Millisecond)
}

// busy returns the callers a second that keep a share of all slots busy with requests
// of the mean work.
func busy(share float64, mean time.Duration) float64 {
	return share * loadHosts * simSlots / mean.Seconds()
}

var loads = []load{
	{name: "even", compare: isEqual, work: evenWork, rate: constant(busy(0.75, 20*time.Millisecond))},
	{name: "heavy tail", compare: isBetter, work: tailWork, rate: constant(busy(0.9, 20*time.Millisecond))},
	{
		name: "two routes", compare: isBetter, work: routeWork, rate: constant(busy(0.9, 19100*time.Microsecond)), dearShare: constant(0.3),
	},
	{
		// The mean of both routes says that many openings of low cost are late although
		// they can still be answered in time.
		name: "two routes, goal of 100 ms", compare: isBetter, target: 100 * time.Millisecond,
		work: routeWork, rate: constant(busy(0.9, 19100*time.Microsecond)), dearShare: constant(0.3),
	},
	{
		name: "burst of one route", compare: isMuchBetter, work: routeWork, rate: between(4*time.Second, 5*time.Second, 2700, 1260),
		dearShare: between(4*time.Second, 5*time.Second, 0.65, 0.3),
	},
	{
		name: "wave with shift", compare: isBetter, work: tailWork, localShare: between(3*time.Second, 7*time.Second, 0.7, 1.0/3),
		rate: func(since time.Duration) float64 {
			return busy(0.65+0.35*math.Sin(2*math.Pi*since.Seconds()/10), 20*time.Millisecond)
		},
	},
	{
		name: massRetry, compare: isHardlyWorse, tries: 3, work: tailWork, rate: constant(busy(0.6, 20*time.Millisecond)),
		at: func(lr *loadRun, ho *simHost, _ *call) float64 {
			if ho.startedAt.After(began) && lr.now.Sub(ho.startedAt) < 2*time.Second {
				return 1.6
			}
			return 1
		},
		setUp: func(lr *loadRun) { lr.after(3*time.Second, lr.loseEverything) },
	},
	{
		name: "slow and grey host", compare: isEqual, work: evenWork, rate: constant(busy(0.6, 20*time.Millisecond)),
		at: func(lr *loadRun, ho *simHost, ca *call) float64 {
			since := lr.now.Sub(began)
			switch {
			case since < 3*time.Second || since > 8*time.Second:
				return 1
			case ho == lr.hosts[0]:
				return 3
			case ho == lr.hosts[1] && ca.delayed:
				return 10
			default:
				return 1
			}
		},
	},
}

// loseEverything stops all processes and hosts and starts them after a second.
func (lr *loadRun) loseEverything() {
	for i := range lr.balancers {
		lr.balancers[i].live = false
	}
	lr.rotation = nil
	for i := range lr.hosts {
		lr.crashHost(i)
		lr.stopAgent(i)
	}
	lr.after(time.Second, func() {
		for i := range lr.hosts {
			lr.startHost(i)
			lr.startAgent(i)
			lr.checkIn(lr.hosts[i])
		}
		for i := range lr.balancers {
			lr.startBalancer(i)
		}
	})
}

// arrive lets callers arrive until the end of the load.
func (lr *loadRun) arrive() {
	since := lr.now.Sub(began)
	if since > loadTime {
		return
	}
	local := 1.0 / 3
	if lr.load.localShare != nil {
		local = lr.load.localShare(since)
	}
	ca := call{began: lr.now, balancer: 3 * lr.draws.IntN(loadBalancers/3), tries: lr.load.tries}
	if lr.draws.Float64() >= local {
		ca.balancer += 1 + lr.draws.IntN(2)
	}
	ca.dear = lr.load.dearShare != nil && lr.draws.Float64() < lr.load.dearShare(since)
	ca.work = lr.load.work(lr.draws, ca.dear)
	ca.delayed = lr.draws.Float64() < 0.2
	lr.call(ca)
	lr.after(time.Duration(lr.draws.ExpFloat64()*float64(time.Second)/lr.load.rate(since)), lr.arrive)
}

// call lets a caller open a flow for the call.
func (lr *loadRun) call(ca call) {
	lr.callers++
	flow := Flow{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(64 + lr.callers>>16), byte(lr.callers >> 8), byte(lr.callers)}), 1024),
		Service: simAddress,
	}
	if ca.dear {
		flow.Service = dearAddress
	}
	lr.calls[flow] = ca
	lr.openFrom(&simCaller{flow: flow})
}

// play runs the load and returns what callers saw.
func play(lo load, seed uint64, byWork bool) outcome {
	lr := &loadRun{
		load: lo, calls: make(map[Flow]call), draws: rand.New(rand.NewPCG(seed, 2)),
		simulation: newRankedSimulation(seed, loadBalancers, loadHosts, byWork),
	}
	target := cmp.Or(lo.target, loadTarget)
	services := lr.routes.Addresses[simAddress].Services
	for _, address := range []netip.AddrPort{simAddress, dearAddress} {
		lr.routes.Addresses[address] = catalog.Route{Services: services, LatencyTarget: target}
	}
	lr.steer = func(flow Flow) int { return lr.calls[flow].balancer }
	lr.drawWork = func(ho *simHost, flow Flow) time.Duration {
		ca := lr.calls[flow]
		if lo.at == nil {
			return ca.work
		}
		return time.Duration(float64(ca.work) * lo.at(lr, ho, &ca))
	}
	retries := 0
	lr.onEnd = func(ca *simCaller) {
		if again := lr.calls[ca.flow]; again.tries > 0 {
			again.tries--
			retries++
			lr.after(100*time.Millisecond, func() { lr.call(again) })
		}
	}
	lr.onAnswer = func(ca *simCaller, _ time.Duration) {
		lr.took = append(lr.took, lr.now.Sub(lr.calls[ca.flow].began))
		if ho := lr.holder(ca.flow); ho != nil && ho.domain != string(rune('a'+lr.calls[ca.flow].balancer%3)) {
			lr.crossings++
		}
	}
	if lo.setUp != nil {
		lo.setUp(lr)
	}
	lr.after(0, lr.arrive)
	lr.runUntil(began.Add(loadTime + 3*time.Second))
	for _, ho := range lr.hosts {
		if byWork {
			So(ho.gate.work.InProgress(), ShouldEqual, 0)
		}
	}
	slices.Sort(lr.took)
	in, _ := slices.BinarySearch(lr.took, target+1)
	return outcome{
		inTime: float64(in) / float64(lr.callers-retries), p50: lr.took[len(lr.took)/2], p90: lr.took[len(lr.took)*9/10], p99: lr.took[len(lr.took)*99/100],
		refused: lr.refused, crossed: lr.crossings,
	}
}

// massRetry is the load that TestLoadOfMassRetry plays.
const massRetry = "mass retry"

// TestLoads plays each load but that of mass retry with both rankings. With LOAD_SEEDS=N
// in the environment it prints the outcomes for N seeds.
func TestLoads(t *testing.T) {
	playLoads(t, func(lo load) bool { return lo.name != massRetry })
}

// TestLoadOfMassRetry does the same for the calls that come back after a loss of
// everything, where no host has a free slot and ranking must not be worse than counts.
func TestLoadOfMassRetry(t *testing.T) {
	playLoads(t, func(lo load) bool { return lo.name == massRetry })
}

// playLoads plays the loads that match with both rankings and compares what callers saw.
func playLoads(t *testing.T, matches func(lo load) bool) {
	seeds, _ := strconv.Atoi(os.Getenv("LOAD_SEEDS"))
	for _, lo := range loads {
		if !matches(lo) {
			continue
		}
		Convey("The load "+lo.name+" with ranking by counts and by remaining work", t, func() {
			for seed := range uint64(max(seeds, 1)) {
				counts, work := play(lo, seed+1, false), play(lo, seed+1, true)
				if seeds > 0 {
					t.Logf("%s, seed %d\n%-8s%v\n%-8s%v", lo.name, seed+1, "counts", counts, "work", work)
				}
				lo.compare(counts, work)
			}
		})
	}
}

// isEqual compares the outcomes of a load whose costs barely differ: it stays with
// counts.
func isEqual(counts, work outcome) { So(work, ShouldResemble, counts) }

// isBetter compares the outcomes of a load in which remaining work predicts better.
func isBetter(counts, work outcome) {
	So(work.inTime, ShouldBeGreaterThan, counts.inTime)
	So(work.p90, ShouldBeLessThan, counts.p90)
	So(work.p99, ShouldBeLessThan, counts.p99)
	So(work.crossed, ShouldBeLessThan, counts.crossed*105/100)
}

// isMuchBetter compares the outcomes of a burst of one route, in which the agents' queues
// serve the other route. The ranking alone doesn't gain there, as no host has a free slot.
func isMuchBetter(counts, work outcome) {
	isBetter(counts, work)
	So(work.inTime, ShouldBeGreaterThan, counts.inTime+0.02)
	So(work.refused, ShouldBeLessThan, counts.refused*3/4)
}

// isHardlyWorse compares the outcomes of an overload by one route, in which no host has a
// free slot. There is nothing to gain; fewer flows are sent to other domains.
func isHardlyWorse(counts, work outcome) {
	So(work.inTime, ShouldBeGreaterThan, counts.inTime-0.008)
	So(work.crossed, ShouldBeLessThan, counts.crossed)
}
