package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// hangupRounds is the number of planned restarts of an agent and of a balancer.
	hangupRounds = 3
	// hangupAfter is the time from SIGTERM to SIGHUP.
	hangupAfter = 300 * time.Millisecond
	// workMS is how long the host works on the request that is in progress then.
	workMS = 1200
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = time.Second
)

// hangup restarts processes as planned, one at a time. While a process shuts down its
// settings file changes and it gets SIGHUP. It must go on with its shutdown until the
// request that it carries is answered, as it does without the SIGHUP.
func hangup(sy *system) (string, error) {
	co := newConfiguration("yardline")
	co.Routes = append(co.Routes, newRoute("main", sy.serviceAddress(0), "yardline"))
	sy.writeConfiguration(co)
	edges, err := sy.edges("a", 1, 2)
	if err != nil {
		return "", err
	}
	side, _, err := sy.side("a", 1, 1, "yardline")
	if err != nil {
		return "", err
	}
	if !sy.fabric.waitReady(2, 15*time.Second) {
		return "", errNotRun
	}
	time.Sleep(stability)
	cl, err := sy.client("a", 1)
	if err != nil {
		return "", err
	}
	broken := ""
	for round := 1; round <= hangupRounds; round++ {
		result, err := sy.stopUnderRequest(cl, &side, uint16(1000*round))
		if err != nil {
			return "", err
		}
		broken += result
		if result, err = sy.stopUnderOpenings(cl, &edges[0], uint16(1000*round+500)); err != nil {
			return "", err
		}
		broken += result
	}
	return broken, nil
}

// stopUnderRequest restarts the agent while its host works on a request.
func (sy *system) stopUnderRequest(cl *client, pr **process, port uint16) (string, error) {
	fl := cl.newFlow(port, sy.serviceAddress(0))
	if !fl.dial() {
		return "", errNotRun
	}
	answered := make(chan bool, 1)
	go func() { answered <- fl.request(fmt.Sprintf("q%d", port), 600, workMS, budget) }()
	time.Sleep(200 * time.Millisecond)
	before := *pr
	if err := sy.restart(pr, func() {}); err != nil {
		return "", err
	}
	inTime := <-answered
	sy.add("request of %s answered=%v", fl.key.client, inTime)
	fl.finish()
	return before.crash("while its host worked on a request"), nil
}

// stopUnderOpenings restarts the balancer while a client opens flows through it.
func (sy *system) stopUnderOpenings(cl *client, pr **process, port uint16) (string, error) {
	before := *pr
	lost := 0
	err := sy.restart(pr, func() {
		fl := cl.newFlow(sy.portThrough(cl, before.name, port), sy.serviceAddress(0))
		if !fl.dial() {
			lost++
		}
		fl.finish()
	})
	if err != nil {
		return "", err
	}
	return before.crash(fmt.Sprintf("and %d of 1 openings through it got no answer", lost)), nil
}

// restart stops the process as planned and starts it again. Half a second after SIGTERM, and
// after the SIGHUP, it calls during.
func (sy *system) restart(pr **process, during func()) error {
	old := *pr
	old.signal(syscall.SIGTERM)
	time.Sleep(hangupAfter)
	if sy.trouble {
		if _, err := sy.writeSettings(old.machine, false); err != nil {
			return err
		}
		old.signal(syscall.SIGHUP)
	}
	time.Sleep(200 * time.Millisecond)
	during()
	if !old.waitEnd(grace) {
		old.kill()
	}
	time.Sleep(restartDelay)
	next, err := sy.start(old.machine, false)
	if err != nil {
		return err
	}
	*pr = next
	if old.role == "balancer" {
		sy.fabric.waitReady(2, 10*time.Second)
	}
	time.Sleep(2 * time.Second)
	return nil
}

// crash tells that the process was ended by SIGHUP, "" if it wasn't.
func (pr *process) crash(when string) string {
	status, ok := pr.cmd.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() || status.Signal() != syscall.SIGHUP {
		return ""
	}
	return fmt.Sprintf("%s ended at SIGHUP in its planned stop %s; ", pr.name, when)
}
