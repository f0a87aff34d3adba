package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"
)

const (
	// freeze is how long the balancer stands still: the longest freeze of the sheets is 4 s.
	freeze = 3500 * time.Millisecond
	// rounds is the number of flows that are tried, roundTime how long one takes.
	rounds    = 7
	roundTime = 14 * time.Second
	// answerBytes is the size of each answer: that of a wash report.
	answerBytes = 20_000
	// beforeLeaving is the time from the freeze to the opening: the balancer is out of
	// rotation before the last copy of the opening is sent.
	beforeLeaving = time.Second
	// pauseBetween is the pause of a client between two requests of a flow.
	pauseBetween = 120 * time.Millisecond
	// budget is the time budget of a request.
	budget = 8 * time.Second
)

// lateOpening freezes one balancer of a zone for some seconds while a client opens a flow.
// Copies of the opening packet wait in the frozen balancer's socket, while another balancer
// carries the flow. After the balancer has woken the flow must not be reset.
func lateOpening(sy *system) (string, error) {
	co := newConfiguration("yardline")
	address := sy.serviceAddress(0)
	co.Routes = append(co.Routes, newRoute("main", address, "yardline"))
	sy.writeConfiguration(co)
	edges, err := sy.edges("a", 1, 2)
	if err != nil {
		return "", err
	}
	if _, err := sy.edges("b", 2, 1); err != nil {
		return "", err
	}
	for third, zone := range map[int]string{1: "a", 2: "b"} {
		for number := range 2 {
			if _, _, err := sy.side(zone, third, number+1, "yardline"); err != nil {
				return "", err
			}
		}
	}
	if !sy.fabric.waitReady(3, 15*time.Second) {
		return "", errNotRun
	}
	// A machine is in touch once it has run for stability_ms.
	time.Sleep(stability)
	cl, err := sy.client("a", 1)
	if err != nil {
		return "", err
	}
	broken := ""
	for round := 1; round <= rounds && broken == ""; round++ {
		began := time.Now()
		broken = sy.lateRound(cl, edges, round)
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	return broken, nil
}

// lateRound freezes the first balancer and uses a flow that was opened meanwhile through the
// second one.
func (sy *system) lateRound(cl *client, edges []*process, round int) string {
	port := sy.portThrough(cl, edges[0].name, uint16(1000*round))
	woken := time.Now().Add(freeze)
	if sy.trouble {
		edges[0].signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() { edges[0].signal(syscall.SIGCONT) })
	}
	// The frozen balancer leaves the rotation after two misses. The client opens its flow
	// shortly before.
	time.Sleep(beforeLeaving)
	fl := cl.newFlow(port, sy.serviceAddress(0))
	if !fl.dial() {
		sy.add("round %d: the flow did not open", round)
		return ""
	}
	for number := 1; time.Now().Before(woken.Add(-pauseBetween)); number++ {
		if !fl.request(fmt.Sprintf("r%d-%d", round, number), answerBytes, 15, budget) {
			return ""
		}
		time.Sleep(pauseBetween)
	}
	// The client pauses until the balancer that was frozen is in touch again.
	time.Sleep(time.Until(woken.Add(stability + 500*time.Millisecond)))
	fl.request(fmt.Sprintf("r%d-last", round), answerBytes, 15, budget)
	defer fl.finish()
	if !fl.wasReset() {
		return ""
	}
	for _, ho := range sy.hosts {
		if ho.holds(fl.key) {
			return fmt.Sprintf("FLOW: the flow of %s is reset, and its host %s still holds it", fl.key.client, ho.name)
		}
	}
	return ""
}

// portThrough returns a port from which a flow goes through the balancer.
func (sy *system) portThrough(cl *client, name string, first uint16) uint16 {
	for port := first; ; port++ {
		pa := packet{src: netip.AddrPortFrom(cl.ip, port), dst: sy.serviceAddress(0)}
		if no := sy.fabric.route(cl.zone, pa); no != nil && no.name == name {
			return port
		}
	}
}
