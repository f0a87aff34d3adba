package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the disruption: two of 18 machines freeze for freezeTime, as often as
// freezes says.
const (
	freezes    = 4
	freezeTime = 3500 * time.Millisecond
)

// reserve is the fleet of lateReserve and what its hosts have run.
type reserve struct {
	*fleet
	mu sync.Mutex
	// ran holds when the requests of the dropped route were run.
	ran map[string]time.Time
	// sent holds when their openings were sent.
	sent map[string]time.Time
}

// lateReserve freezes two of three edges of a zone four times, more than history_s apart,
// so that the third edge reads the store by itself. Right after the last freeze has begun
// the operator drops a route. CONFIG: a request that is sent through the third edge later
// than config_apply_ms after the acknowledgement isn't run with the dropped route.
func lateReserve(fl *fleet) error {
	rs := &reserve{fleet: fl, ran: make(map[string]time.Time), sent: make(map[string]time.Time)}
	const zone = "scot-central-a"
	for i := range 3 {
		if _, err := fl.addMachine("balancer", zone, "", i+1); err != nil {
			return err
		}
	}
	for i := range 15 {
		service := "yardline"
		if i >= 10 {
			service = "ledgerwash"
		}
		if _, err := fl.addMachine("agent", zone, service, 11+i); err != nil {
			return err
		}
	}
	kept, dropped := newRoute("status", 7001, "yardline"), newRoute("report", 7002, "ledgerwash")
	for _, ho := range fl.hosts {
		ho.onRun = rs.noteRun
	}
	fl.configure([]route{kept, dropped})
	if err := fl.startAll(); err != nil {
		return err
	}
	if err := fl.awaitReady(10 * time.Second); err != nil {
		return err
	}
	for i := range freezes - 1 {
		rs.changeAndWait(kept, dropped, i)
		thaw := rs.freezeWatchers()
		thaw()
		time.Sleep(400 * time.Millisecond)
	}
	rs.changeAndWait(kept, dropped, freezes)
	thaw := rs.freezeWatchers()
	acknowledged := fl.configure([]route{kept})
	var wg sync.WaitGroup
	wg.Go(thaw)
	rs.probe(dropped, acknowledged)
	wg.Wait()
	return rs.judge(acknowledged)
}

// changeAndWait writes a version with another time-out and waits until the store has
// dropped that change from its history.
func (rs *reserve) changeAndWait(kept, dropped route, number int) {
	kept.Timeout += number
	at := rs.configure([]route{kept, dropped})
	time.Sleep(time.Until(at.Add(history + 300*time.Millisecond)))
}

// freezeWatchers freezes the first two edges a moment after the store has answered their
// watches. The function that it returns wakes them freezeTime later.
func (rs *reserve) freezeWatchers() (thaw func()) {
	watchers := rs.edges[:2]
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		first, second := time.Since(rs.store.lastAnswer(watchers[0].name)), time.Since(rs.store.lastAnswer(watchers[1].name))
		if min(first, second) > 100*time.Millisecond && max(first, second) < 250*time.Millisecond {
			break
		}
	}
	if !rs.trouble {
		return func() { time.Sleep(time.Second) }
	}
	began := time.Now()
	for _, ma := range watchers {
		ma.signal(syscall.SIGSTOP)
	}
	rs.re.say("platform: machines %s and %s freeze", watchers[0].name, watchers[1].name)
	return func() {
		time.Sleep(time.Until(began.Add(freezeTime)))
		for _, ma := range watchers {
			ma.signal(syscall.SIGCONT)
		}
		rs.re.say("platform: they wake after %s", time.Since(began).Round(time.Millisecond))
	}
}

// probe sends requests of the route directly to the third edge while it is ready, as the
// platform does to learn which configuration is in force.
func (rs *reserve) probe(ro route, acknowledged time.Time) {
	third := rs.edges[2]
	if !third.ready() {
		rs.re.say("edge %s isn't ready", third.name)
		return
	}
	var wg sync.WaitGroup
	for i := 0; time.Since(acknowledged) < freezeTime; i++ {
		body := fmt.Sprintf("probe-%d", i)
		rs.mu.Lock()
		rs.sent[body] = time.Now()
		rs.mu.Unlock()
		wg.Go(func() {
			_, err := rs.client.requestThrough(third, ro.address(), body)
			rs.re.write("probe %s, sent %s after the acknowledgement: %v", body, rs.sentAt(body).Sub(acknowledged), err)
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
}

func (rs *reserve) sentAt(body string) time.Time {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.sent[body]
}

// noteRun notes a request that a host runs.
func (rs *reserve) noteRun(_ *host, _ flowKey, body string) {
	if !strings.HasPrefix(body, "probe-") {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.ran[body] = time.Now()
}

// judge looks for requests that were run although they were sent too late.
func (rs *reserve) judge(acknowledged time.Time) error {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	late, latest := 0, time.Duration(0)
	for body := range rs.ran {
		age := rs.sent[body].Sub(acknowledged)
		latest = max(latest, age)
		if age > configTime {
			late++
		}
	}
	rs.re.say("%d of %d probes were run, the last one of these sent %s after the acknowledgement", len(rs.ran), len(rs.sent), latest.Round(time.Millisecond))
	if late > 0 {
		return fmt.Errorf("%w: CONFIG: %d requests sent later than %s after the acknowledgement were run with a dropped route", errBroken, late, configTime)
	}
	return nil
}
