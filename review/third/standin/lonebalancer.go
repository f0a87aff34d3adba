package main

import (
	"fmt"
	"sync"
	"time"
)

// tally counts the outcomes of requests.
type tally struct {
	mu                   sync.Mutex
	sent, served, resets int
}

func (ta *tally) note(err error) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.sent++
	switch err {
	case nil:
		ta.served++
	case errReset:
		ta.resets++
	}
}

// String returns the counts.
func (ta *tally) String() string {
	return fmt.Sprintf("%d requests, %d served, %d reset", ta.sent, ta.served, ta.resets)
}

// load sends requests to the routes in turn for the time, 50 a second, and counts them by
// route.
func (fl *fleet) load(name string, routes []route, lasts time.Duration) []*tally {
	list := make([]*tally, len(routes))
	for i := range list {
		list[i] = &tally{}
	}
	var wg sync.WaitGroup
	end := time.Now().Add(lasts)
	for i := 0; time.Now().Before(end); i++ {
		at := i % len(routes)
		wg.Go(func() {
			_, err := fl.client.request(routes[at].address(), fmt.Sprintf("%s-%d", name, i))
			list[at].note(err)
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	for i, ta := range list {
		fl.re.say("%s: route %s: %s", name, routes[i].Name, ta)
	}
	return list
}

// zones are those of the site.
var zones = []string{"scot-central-a", "scot-central-b", "scot-central-c"}

// loneBalancer loses one of two edges and the only machine of one service for good, at
// once. Another machine takes the place of the latter, so that both services have hosts
// and one edge is left. RECOVER: of the requests that are sent later than recovery_s after
// that, a quarter is served.
func loneBalancer(fl *fleet) error {
	for i, zone := range zones[:2] {
		if _, err := fl.addMachine("balancer", zone, "", i+1); err != nil {
			return err
		}
	}
	for i, service := range []string{"yardline", "yardline", "yardline", "ledgerwash"} {
		if _, err := fl.addMachine("agent", zones[i%3], service, 11+i); err != nil {
			return err
		}
	}
	routes := []route{newRoute("status", 7001, "yardline"), newRoute("report", 7002, "ledgerwash")}
	fl.configure(routes)
	if err := fl.startAll(); err != nil {
		return err
	}
	if err := fl.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	before := fl.load("before", routes, 4*time.Second)
	if fl.trouble {
		if err := fl.loseMachines(); err != nil {
			return err
		}
	}
	fl.load("after", routes, recovery)
	last := fl.load("recovered", routes, 40*time.Second)
	return judgeRecovery(before, last)
}

// loseMachines kills everything on the second edge and on the machine of ledgerwash in the
// same moment, with requests under way, and then adds another machine of ledgerwash.
func (fl *fleet) loseMachines() error {
	lost := append(append([]*machine(nil), fl.edges[1:]...), fl.sides[3:]...)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			port := 7001 + i%2
			wg.Go(func() {
				ro := newRoute("", port, "")
				_, _ = fl.client.request(ro.address(), fmt.Sprintf("during-%d", i))
			})
		}
	})
	for _, ma := range lost {
		fl.remove(ma)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	ma, err := fl.addMachine("agent", zones[0], "ledgerwash", 21)
	if err != nil {
		return err
	}
	ma.seeds = fl.sides[0].seeds
	if err := ma.start(false); err != nil {
		return err
	}
	if err := fl.hosts[len(fl.hosts)-1].start(); err != nil {
		return err
	}
	fl.re.say("platform: a machine of ledgerwash was added")
	return nil
}

// judgeRecovery compares what was served before the fault and after the recovery.
func judgeRecovery(before, last []*tally) error {
	sum := func(list []*tally) (sent, served int) {
		for _, ta := range list {
			sent, served = sent+ta.sent, served+ta.served
		}
		return sent, served
	}
	sent, served := sum(before)
	if 4*served < sent {
		return fmt.Errorf("only %d of %d requests were served before the fault", served, sent)
	}
	if sent, served = sum(last); 4*served < sent {
		return fmt.Errorf("%w: RECOVER: %d of %d requests served later than %s after the machines were back", errBroken, served, sent, recovery)
	}
	return nil
}
