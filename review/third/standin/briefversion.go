package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case: the time between the two changes of the configuration, the number
// of flows that are opened between them, and how long the killed processes are down.
const (
	changeGap = 350 * time.Millisecond
	keptFlows = 24
	stability = 4 * time.Second
	herdDown  = 2 * time.Second
)

// briefVersion kills the processes on two of four edges, which are those that watch the
// store for a zone. At once the operator gives a route to another service and takes that
// back. Clients of the other zone open flows in between and keep them. Later the edge of
// their zone is stopped by plan, so that the flows go through the first zone. FLOW: none of
// them is reset, as their host lives and the route is there.
func briefVersion(fl *fleet) error {
	const near, far = "scot-central-a", "scot-central-b"
	for i := range 3 {
		if _, err := fl.addMachine("balancer", near, "", i+1); err != nil {
			return err
		}
	}
	if _, err := fl.addMachine("balancer", far, "", 4); err != nil {
		return err
	}
	for i := range 14 {
		zone, service := near, "yardline"
		if i >= 12 {
			zone, service = far, "ledgerwash"
		}
		if _, err := fl.addMachine("agent", zone, service, 11+i); err != nil {
			return err
		}
	}
	fl.clientZone = far
	first, second := newRoute("status", 7001, "yardline"), newRoute("report", 7002, "ledgerwash")
	fl.configure([]route{first, second})
	if err := fl.startAll(); err != nil {
		return err
	}
	if err := fl.awaitReady(10 * time.Second); err != nil {
		return err
	}
	fl.re.say("platform: all edges are ready; the next %s are quiet", flowTTL)
	time.Sleep(flowTTL - 2*time.Second)
	// Both edges that watch the store are answered at the same moment from now on.
	first.Timeout++
	fl.configure([]route{first, second})
	time.Sleep(3 * time.Second)
	flows, err := fl.openBetweenChanges(first, second)
	if err != nil {
		return err
	}
	// Every machine has been without impairment for stability_ms when the flows go on.
	time.Sleep(stability + 500*time.Millisecond)
	fl.re.say("platform: %s is stopped by plan", fl.edges[3].name)
	fl.edges[3].signal(syscall.SIGTERM)
	time.Sleep(2500 * time.Millisecond)
	return fl.continueFlows(flows)
}

// openBetweenChanges kills the processes of the first two edges, changes the configuration
// twice and opens flows in between. It returns once the processes were started again.
func (fl *fleet) openBetweenChanges(first, second route) ([]*flow, error) {
	watchers := fl.edges[:2]
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		ages := []time.Duration{time.Since(fl.store.lastAnswer(watchers[0].name)), time.Since(fl.store.lastAnswer(watchers[1].name))}
		if min(ages[0], ages[1]) > 1580*time.Millisecond && max(ages[0], ages[1]) < 1700*time.Millisecond {
			break
		}
	}
	began := time.Now()
	if fl.trouble {
		for _, ma := range watchers {
			ma.kill()
		}
		fl.re.say("platform: the processes on %s and %s are killed", watchers[0].name, watchers[1].name)
	}
	moved := first
	moved.Service = "ledgerwash"
	changed := fl.configure([]route{moved, second})
	var mu sync.Mutex
	var wg sync.WaitGroup
	var flows []*flow
	for i := range keptFlows {
		wg.Go(func() {
			time.Sleep(time.Duration(50+5*i) * time.Millisecond)
			kept, err := fl.client.open(first.address(), nil)
			if err != nil {
				return
			}
			answer, err := kept.call(fmt.Sprintf("first-%d", i), timeBudget)
			fl.re.write("client: first-%d of %s: answer %q, %v", i, kept.key, answer, err)
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				flows = append(flows, kept)
			}
		})
	}
	time.Sleep(time.Until(changed.Add(changeGap)))
	fl.configure([]route{first, second})
	wg.Wait()
	time.Sleep(time.Until(began.Add(herdDown)))
	if fl.trouble {
		for _, ma := range watchers {
			if err := ma.start(false); err != nil {
				return nil, err
			}
		}
	}
	fl.re.say("platform: %s later; %d flows are open", time.Since(began).Round(time.Millisecond), len(flows))
	if len(flows) < keptFlows/2 {
		return nil, fmt.Errorf("only %d flows were opened", len(flows))
	}
	return flows, nil
}

// continueFlows sends the next request on each flow, and looks for resets that no host has
// sent.
func (fl *fleet) continueFlows(flows []*flow) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	outcomes := make(map[string]int)
	for i, kept := range flows {
		to, _ := fl.pick(kept.key)
		wg.Go(func() {
			time.Sleep(time.Duration(10*i) * time.Millisecond)
			answer, err := kept.call(fmt.Sprintf("second-%d", i), timeBudget)
			fl.re.write("client: second-%d of %s through %s: answer %q, %v", i, kept.key, to, answer, err)
			mu.Lock()
			defer mu.Unlock()
			outcomes[fmt.Sprint(err)]++
		})
	}
	wg.Wait()
	fl.re.say("%d flows: %d answered, %d reset, %d without an answer", len(flows), outcomes["<nil>"], outcomes[errReset.Error()], outcomes[errSilent.Error()])
	if outcomes[errReset.Error()] > 0 {
		return fmt.Errorf("%w: FLOW: %d clients got a reset that the flow's host, which lives, didn't send", errBroken, outcomes[errReset.Error()])
	}
	return nil
}
