package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// keptFlows is the number of flows that clients keep open.
	keptFlows = 120
	// flowSkew is flow_skew_ms.
	flowSkew = 2 * time.Second
	// downTime is the time for which all processes are down.
	downTime = 700 * time.Millisecond
	// yardHosts and ledgerHosts are the numbers of hosts of a service in a zone.
	yardHosts   = 8
	ledgerHosts = 1
)

// killedChange has the operator take one of two services from a route, and kills all
// processes of the system right after the acknowledgement. Clients keep flows open meanwhile,
// and go on with them once all machines are in touch again.
func killedChange(sy *system) (string, error) {
	co := newConfiguration("yardline", "ledgerwash")
	address := sy.serviceAddress(0)
	main := newRoute("main", address, "")
	main.Backends = []backend{{"yardline", 75}, {"ledgerwash", 25}}
	co.Routes = append(co.Routes, main)
	for i := range 8 {
		co.Routes = append(co.Routes, newRoute(fmt.Sprintf("idle-%d", i), sy.serviceAddress(100+i), "yardline"))
	}
	sy.writeConfiguration(co)
	all, err := sy.startFleet()
	if err != nil {
		return "", err
	}
	time.Sleep(grownStability)
	flows, err := sy.openKeptFlows()
	if err != nil {
		return "", err
	}
	// Each flow is in use once, 0.5 s before the fault.
	sy.requestAll(flows, "before")
	time.Sleep(500 * time.Millisecond)
	co.Routes[0] = newRoute("main", address, "yardline")
	sy.writeConfiguration(co)
	if sy.trouble {
		for _, pr := range all {
			pr.signal(syscall.SIGKILL)
		}
		time.Sleep(downTime)
		for _, pr := range all {
			if _, err := sy.start(pr.machine, false); err != nil {
				return "", err
			}
		}
	}
	back := time.Now()
	time.Sleep(grownStability + time.Second)
	sy.requestAll(flows, "after")
	return sy.judgeFlows(flows, back.Add(grownStability)), nil
}

// startFleet starts two balancers and the hosts of both services in each zone.
func (sy *system) startFleet() ([]*process, error) {
	var all []*process
	for third, zone := range zones {
		list, err := sy.edges(zone, third+1, 2)
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
		for number := range yardHosts + ledgerHosts {
			service := "yardline"
			if number >= yardHosts {
				service = "ledgerwash"
			}
			pr, _, err := sy.side(zone, third+1, number+1, service)
			if err != nil {
				return nil, err
			}
			all = append(all, pr)
		}
	}
	if !sy.fabric.waitReady(2*len(zones), 15*time.Second) {
		return nil, errNotRun
	}
	return all, nil
}

// openKeptFlows opens the flows from one client in each zone.
func (sy *system) openKeptFlows() ([]*clientFlow, error) {
	var flows []*clientFlow
	for i, zone := range zones {
		cl, err := sy.client(zone, i+1)
		if err != nil {
			return nil, err
		}
		for number := range keptFlows / len(zones) {
			fl := cl.newFlow(uint16(2000+number), sy.serviceAddress(0))
			if fl.dial() {
				flows = append(flows, fl)
			}
			fl.request("first", 900, 5, budget)
		}
	}
	sy.add("%d flows are kept open", len(flows))
	return flows, nil
}

// requestAll sends a request on each flow and waits for the answers or the time budget.
func (sy *system) requestAll(flows []*clientFlow, when string) {
	var wg sync.WaitGroup
	for i, fl := range flows {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			fl.request(fmt.Sprintf("%s-%d", when, i), 900, 5, budget)
		}()
	}
	wg.Wait()
}

// judgeFlows counts the flows of living hosts that were broken after the time.
func (sy *system) judgeFlows(flows []*clientFlow, touch time.Time) string {
	reset, misrouted := 0, 0
	for _, fl := range flows {
		held := false
		for _, ho := range sy.hosts {
			held = held || ho.holds(fl.key)
		}
		fl.mu.Lock()
		at := fl.resetAt
		fl.mu.Unlock()
		if held && at.After(touch) {
			reset++
		}
		others, packets := sy.arrivals.elsewhere(fl, touch, flowSkew)
		if held && packets >= 3 {
			misrouted++
		}
		sy.add("flow of %s: held=%v reset=%v; within %v %d arrivals, of %d packets of the client, at other hosts and none at its own",
			fl.key.client, held, at.After(touch), flowSkew, others, packets)
	}
	sy.add("of %d flows %d were reset and %d misrouted", len(flows), reset, misrouted)
	if reset+misrouted == 0 {
		return ""
	}
	return fmt.Sprintf("FLOW: of %d flows of living hosts %d were reset and %d misrouted", len(flows), reset, misrouted)
}
