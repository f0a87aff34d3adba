package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// portPool is the number of ports that each zone's clients use in turn.
const portPool = 100

// reusedPorts stops and starts the balancers in turn while clients keep flows open
// from ports from which they had other flows before, and checks that no open flow is
// reset.
func reusedPorts(fl *fleet, trouble bool) ([]string, error) {
	fl.configure(bookings, reports)
	if err := awaitService(fl, bookings); err != nil {
		return nil, err
	}
	for _, cl := range fl.clients {
		cl.setPorts(2000, portPool)
	}
	began := time.Now()
	var group sync.WaitGroup
	for i := range len(fl.clients) * portPool {
		cl := fl.clients[i%len(fl.clients)]
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			f, err := cl.open(fl.address(bookings))
			if err == nil {
				f.last = true
				err = f.request(fmt.Sprintf("short-%d", i), "/short", 900, 2*time.Second)
				select {
				case <-f.closed:
				case <-time.After(time.Second):
					err = errNoReply
				}
			}
			if err != nil {
				fl.rec.printf("short-%d: %v", i, err)
			}
		})
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	flows := keptFlows(fl, bookings, len(fl.clients)*portPool)
	if len(flows) < portPool {
		return nil, errNotRun
	}
	fl.rec.printf("%d kept flows, %.1f s after the first short one", len(flows), time.Since(began).Seconds())
	var breaks []string
	var mu sync.Mutex
	until := time.Now().Add(16 * time.Second)
	for i, f := range flows {
		group.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(len(flows)))
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("kept-%d-%d", i, n)
				holder := holderOf(fl, f.key)
				err := f.request(id, "/kept", 900, 4*time.Second)
				fl.rec.printf("flow %s: %s answered: %v", f.key.client, id, err)
				if (errors.Is(err, errReset) || errors.Is(err, errHost)) && holder != nil && holder.holds(f.key) && !holder.reset(f.key) {
					mu.Lock()
					breaks = append(breaks, fmt.Sprintf("FLOW: the client of %s gets a reset for %s (%v), while %s holds the flow", f.key.client, id, err, holder.name))
					mu.Unlock()
				}
				if err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		for _, b := range fl.balancers {
			b.signal(syscall.SIGTERM, false)
			time.Sleep(1200 * time.Millisecond)
		}
	}
	group.Wait()
	return breaks, nil
}
