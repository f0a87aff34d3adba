package main

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	// idleRoutes is the number of routes without traffic: those of the site's sheet and one
	// growth of the configuration by its largest dose.
	idleRoutes = 40 + 1400
	// zoneEdges and zoneSides are the numbers of machines in a zone: those of the site.
	zoneEdges = 7
	zoneSides = 18
	// restartAfter is the time from the change of the weights to the restarts.
	restartAfter = 35 * time.Second
	// firstProbe is from when on the changes begin: a flow's lifetime after the weights
	// have changed.
	firstProbe = flowTTL + 1500*time.Millisecond
	// lastChange is the time of the last change, of the whole run.
	lastChange = 105 * time.Second
	// changeInterval is the time between two changes.
	changeInterval = 6 * time.Second
)

// zones are the zones of the site.
var zones = []string{"a", "b", "c"}

// startSides starts the agents and hosts of a zone: a fifth of them serve ledgerwash.
func (sy *system) startSides(zone string, third int) error {
	for number := range zoneSides {
		service := "yardline"
		if number%5 == 4 {
			service = "ledgerwash"
		}
		if _, _, err := sy.side(zone, third, number+1, service); err != nil {
			return err
		}
	}
	return nil
}

// mixedPages restarts one balancer as planned, and has the operator change the routes a
// flow's lifetime after a service was taken from a route. Each balancer must accept flows
// to a route that was added more than config_apply_ms before.
func mixedPages(sy *system) (string, error) {
	co := newConfiguration("yardline", "ledgerwash")
	main := newRoute("main", sy.serviceAddress(0), "")
	main.Backends = []backend{{"yardline", 90}, {"ledgerwash", 10}}
	co.Routes = append(co.Routes, main)
	for i := range idleRoutes {
		co.Routes = append(co.Routes, newRoute(fmt.Sprintf("idle-%d", i), sy.serviceAddress(100+i), "yardline"))
	}
	sy.writeConfiguration(co)
	var first []*process
	for third, zone := range zones {
		edges, err := sy.edges(zone, third+1, zoneEdges)
		if err != nil {
			return "", err
		}
		first = append(first, edges[0])
		if err := sy.startSides(zone, third+1); err != nil {
			return "", err
		}
	}
	if !sy.fabric.waitReady(len(zones)*zoneEdges, 20*time.Second) {
		return "", errNotRun
	}
	co.Routes[0] = newRoute("main", sy.serviceAddress(0), "yardline")
	changed := sy.writeConfiguration(co)
	time.Sleep(restartAfter)
	if sy.trouble {
		// The planned restart of the first balancer of each zone, one after the other.
		for _, pr := range first {
			pr.stop()
			time.Sleep(500 * time.Millisecond)
			if _, err := sy.start(pr.machine, false); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(time.Until(changed.Add(firstProbe)))
	return sy.probeChanges(co)
}

// probeChanges has the operator replace one route by another again and again, and opens
// flows to the new one at each balancer after config_apply_ms.
func (sy *system) probeChanges(co *configuration) (string, error) {
	cl, err := sy.client("a", 1)
	if err != nil {
		return "", err
	}
	routes := co.Routes
	broken := ""
	for number := 1; time.Since(sy.started) < lastChange; number++ {
		began := time.Now()
		address := sy.serviceAddress(50 + number)
		co.Routes = append(routes[:len(routes):len(routes)], newRoute(fmt.Sprintf("new-%d", number), address, "yardline"))
		acknowledged := sy.writeConfiguration(co)
		time.Sleep(time.Until(acknowledged.Add(grownConfigApply + 200*time.Millisecond)))
		if refused := sy.probe(cl, address, uint16(1000+200*number)); refused != "" && broken == "" {
			broken = fmt.Sprintf("CONFIG: version %d was acknowledged more than %v before, and %srefuses its new route", co.Version, grownConfigApply, refused)
		}
		time.Sleep(time.Until(began.Add(changeInterval)))
	}
	return broken, nil
}

// probeTries is how often a flow is tried at a balancer before its refusal counts: a
// single one may be for want of room at the hosts.
const probeTries = 3

// probe opens flows to the address directly at each balancer, one after the other. It
// returns the names of those that reset all of them.
func (sy *system) probe(cl *client, address netip.AddrPort, firstPort uint16) string {
	refused := ""
	for i, no := range sy.fabric.all() {
		resets := 0
		for try := range probeTries {
			fl := cl.newFlow(firstPort+uint16(probeTries*i+try), address)
			fl.to = no.packets
			opened := fl.dial()
			fl.finish()
			sy.add("%s: flow to %s opened=%v reset=%v", no.name, address, opened, fl.wasReset())
			if !fl.wasReset() {
				break
			}
			resets++
			time.Sleep(60 * time.Millisecond)
		}
		if resets == probeTries {
			refused += no.name + " "
		}
	}
	return refused
}
