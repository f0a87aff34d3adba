package carriage

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/coordination/evacuation"
)

// This file simulates evacuations with hosts that are cold when they end.

// simWarmUpPerSecond is the number of requests that a cold host can take in a second, and
// simColdFor how long it is cold.
const (
	simWarmUpPerSecond = 8
	simColdFor         = 2 * time.Second
)

// newColdSimulation returns a simulation whose hosts are cold after they start and have a
// warm-up limit.
func newColdSimulation(seed uint64, balancers, hosts int, loss float64) *simulation {
	si := newSimulation(seed, balancers, hosts)
	si.loss = loss
	si.coldFor = simColdFor
	routes := warmUpRoutes(simWarmUpPerSecond)
	routes.Version = 2
	si.routes = routes
	for _, ba := range si.balancers {
		ba.placer.SetSharingBalancers(balancers - 1)
		si.performBalancer(ba, ba.placer.SetRoutes(si.now, routes))
	}
	for _, ho := range si.hosts {
		ho.gate.SetRoutes(routes)
		// The first check-in said that the host is warm.
		si.checkIn(ho)
	}
	return si
}

// evacuate lets the operator evacuate the domains. Each process learns of it within the
// delay.
func (si *simulation) evacuate(delay time.Duration, domains ...string) {
	si.evacuated, _ = evacuation.NewSet(evacuation.Origin{Era: 1, Revision: si.evacuated.Origin.Revision + 1}, domains)
	for _, ba := range si.balancers {
		si.after(time.Duration(si.random.Int64N(int64(delay))), func() {
			si.performBalancer(ba, ba.placer.SetEvacuations(si.now, si.evacuated))
		})
	}
	for _, ho := range si.hosts {
		si.after(time.Duration(si.random.Int64N(int64(delay))), func() { si.tellAgent(ho) })
	}
}

func (si *simulation) tellAgent(ho *simHost) {
	if ho.agent {
		si.performAgent(ho, ho.gate.SetEvacuated(si.now, si.evacuated.Contains(ho.domain)))
	}
}

// mostInASecond returns the greatest number of the times in a second that begins within
// the span.
func mostInASecond(times []time.Time, from, until time.Time) int {
	most := 0
	for i, at := range times {
		if at.Before(from) || !at.Before(until) {
			continue
		}
		count := 0
		for _, other := range times[i:] {
			if other.Sub(at) < time.Second && other.Before(until) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// runColdBurst evacuates all domains, restarts all hosts shortly before the end and lets
// callers come at the rate for four seconds from then on. It returns the end of the
// evacuation.
func runColdBurst(si *simulation, perSecond int) time.Time {
	end := began.Add(6 * time.Second)
	si.after(4*time.Second, func() { si.evacuate(50*time.Millisecond, "a", "b", "c") })
	for i := range si.hosts {
		si.after(end.Sub(began)-time.Duration(50+20*i)*time.Millisecond, func() {
			si.crashHost(i)
			si.startHost(i)
		})
	}
	si.after(end.Sub(began), func() {
		si.evacuate(50 * time.Millisecond)
		si.load(perSecond, end.Add(4*time.Second))
	})
	si.runUntil(end.Add(10 * time.Second))
	return end
}

// The burst that followed an evacuation went to hosts that had just started, which answered
// almost none of it in time.
func TestBurstOnColdHostsAfterAnEvacuation(t *testing.T) {
	for _, loss := range []float64{0, 0.02} {
		for _, perSecond := range []int{50, 150, 600} {
			Convey("No host gets more than its limit in any second, and every caller gets an answer", t, func() {
				for seed := uint64(1); seed <= 5; seed++ {
					si := newColdSimulation(seed, 4, 9, loss)
					end := runColdBurst(si, perSecond)
					most := 0
					for i, ho := range si.hosts {
						coldUntil := end.Add(simColdFor - time.Duration(50+20*i)*time.Millisecond)
						most = max(most, mostInASecond(ho.openings, end.Add(-time.Second), coldUntil))
					}
					t.Logf("loss %.2f, %d/s, seed %d: at most %d openings a second at a cold host; of %d callers %d served, %d of them late, %d refused, %d without an answer; %v",
						loss, perSecond, seed, most, len(si.callers), si.served, si.lateAnswers, si.refused, si.failed, si.refusedFor)
					So(most, ShouldBeLessThanOrEqualTo, simWarmUpPerSecond)
					So(si.resetsOfOpen+si.wrongAnswers, ShouldEqual, 0)
					if loss == 0 {
						So(si.failed, ShouldEqual, 0)
						So(si.served+si.refused, ShouldEqual, len(si.callers))
					}
					// Nine cold hosts can take 72 requests a second. Those who come while the
					// processes hear of the end are refused.
					if loss == 0 && perSecond == 50 {
						So(si.lateAnswers, ShouldEqual, 0)
						So(si.refused, ShouldEqual, si.refusedFor[ReasonEvacuated])
					}
				}
			})
		}
	}
}

// Hosts that were replaced during an evacuation got openings, as their agents had
// forgotten it.
func TestHostsReplacedDuringAnEvacuation(t *testing.T) {
	Convey("New hosts and agents of the domain get no opening until its evacuation ends", t, func() {
		for seed := uint64(1); seed <= 10; seed++ {
			si := newColdSimulation(seed, 3, 9, 0.02)
			si.load(60, began.Add(20*time.Second))
			start, end := began.Add(4*time.Second), began.Add(14*time.Second)
			si.after(start.Sub(began), func() { si.evacuate(50*time.Millisecond, "a") })
			for i, ho := range si.hosts {
				if ho.domain != "a" {
					continue
				}
				// The agent learns of the evacuation some time after its start.
				si.after(6*time.Second+time.Duration(i)*300*time.Millisecond, func() {
					si.crashHost(i)
					si.stopAgent(i)
					si.after(time.Second, func() {
						si.startAgent(i)
						si.startHost(i)
						si.after(1500*time.Millisecond, func() { si.tellAgent(ho) })
					})
				})
			}
			si.after(end.Sub(began), func() { si.evacuate(50 * time.Millisecond) })
			si.runUntil(began.Add(26 * time.Second))
			for _, ho := range si.hosts {
				during, after := 0, 0
				for _, at := range ho.openings {
					if ho.domain == "a" && at.After(start.Add(100*time.Millisecond)) && at.Before(end) {
						during++
					}
					if at.After(end) {
						after++
					}
				}
				So(during, ShouldEqual, 0)
				So(after, ShouldBeGreaterThan, 0)
			}
			So(si.resetsOfOpen+si.wrongAnswers, ShouldEqual, 0)
		}
	})
}

// After a restart of everything balancers placed openings in the evacuated domain until they
// had read the store.
func TestEverythingRestartsDuringAnEvacuation(t *testing.T) {
	Convey("Openings wait until the set is known, and none reaches the domain", t, func() {
		for seed := uint64(1); seed <= 10; seed++ {
			si := newColdSimulation(seed, 3, 9, 0)
			si.load(30, began.Add(12*time.Second))
			start := began.Add(4 * time.Second)
			si.after(start.Sub(began), func() { si.evacuate(50*time.Millisecond, "a") })
			restart := began.Add(7 * time.Second)
			si.after(restart.Sub(began), func() {
				si.awaitsEvacuations = true
				for i := range si.hosts {
					si.crashHost(i)
					si.stopAgent(i)
				}
				si.rotation = nil
				for i := range si.balancers {
					si.startBalancer(i)
					si.balancers[i].placer.SetSharingBalancers(len(si.balancers) - 1)
				}
				for i := range si.hosts {
					si.startAgent(i)
					si.startHost(i)
				}
				// The store answers half a second later.
				si.after(500*time.Millisecond, func() { si.evacuate(100*time.Millisecond, "a") })
			})
			si.runUntil(began.Add(22 * time.Second))
			elsewhere := 0
			for _, ho := range si.hosts {
				for _, at := range ho.openings {
					if ho.domain == "a" {
						So(at, ShouldHappenBefore, start.Add(100*time.Millisecond))
					} else if at.After(restart) {
						elsewhere++
					}
				}
			}
			So(elsewhere, ShouldBeGreaterThan, 100)
			So(si.refusedFor, ShouldBeEmpty)
			So(si.resetsOfOpen+si.wrongAnswers, ShouldEqual, 0)
		}
	})
}

// Openings that wait for the limit of a cold host, copies of them and evacuations must not
// break flows, whatever fails meanwhile.
func TestFlowsOfColdHostsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		loss := float64(rapid.IntRange(0, 5).Draw(rt, "loss")) / 100
		si := newColdSimulation(rapid.Uint64().Draw(rt, "seed"), 3, 6, loss)
		for _, ho := range si.hosts {
			ho.work = time.Duration(rapid.IntRange(5, 300).Draw(rt, "work")) * time.Millisecond
		}
		si.load(rapid.IntRange(5, 120).Draw(rt, "rate"), began.Add(6*time.Second))
		for range rapid.IntRange(0, 6).Draw(rt, "faults") {
			scheduleFault(rt, si)
		}
		for range rapid.IntRange(0, 3).Draw(rt, "changesOfTheSet") {
			at := time.Duration(rapid.IntRange(0, 6000).Draw(rt, "evacuatedAt")) * time.Millisecond
			domains := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID).Draw(rt, "domains")
			si.after(at, func() { si.evacuate(100*time.Millisecond, domains...) })
		}
		si.after(7*time.Second, func() { si.evacuate(100 * time.Millisecond) })
		si.runUntil(began.Add(22 * time.Second))
		checkFlows(rt, si)
		for _, ho := range si.hosts {
			if ho.agent && ho.alive && !ho.gate.Idle() {
				rt.Fatalf("agent of %v has %d requests in progress after all callers are done", ho.address, ho.gate.InProgress())
			}
			// An agent that restarts forgets the last second. The bound is that of the
			// requirement: half above the limit, and 5 besides.
			most := mostInASecond(ho.openings, began, began.Add(simColdFor))
			if most > simWarmUpPerSecond*3/2+5 {
				rt.Fatalf("%v got %d openings within a second while it was cold", ho.address, most)
			}
		}
	})
}
