package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The bounds of the deployment glenrug-lb.
const (
	stability   = 4 * time.Second
	configApply = 3 * time.Second
	flowSkew    = 2 * time.Second
)

// The routes that the cases use.
var (
	bookings = route{name: "r-bookings", port: 8443, service: serviceNames[0]}
	reports  = route{name: "r-reports", port: 8444, service: serviceNames[1]}
)

// awaitService waits until clients of each zone are served on the route, and then for
// the time after which all machines count as in touch.
func awaitService(fl *fleet, ro route) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, cl := range fl.clients {
		for {
			if time.Now().After(deadline) {
				return fmt.Errorf("no service in zone %s: %w", cl.zone, errNotRun)
			}
			f, err := cl.open(fl.address(ro))
			if err == nil {
				err = f.request("warm-"+cl.zone, "/warm", 100, time.Second)
				f.finish()
			}
			if err == nil {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	fl.rec.printf("all zones are served")
	time.Sleep(stability + time.Second)
	return nil
}

// keptFlows opens flows that stay open and returns them.
func keptFlows(fl *fleet, ro route, count int) []*clientFlow {
	var list []*clientFlow
	for i := range count {
		f, err := fl.clients[i%len(fl.clients)].open(fl.address(ro))
		if err != nil {
			fl.rec.printf("kept flow %d not opened: %v", i, err)
			continue
		}
		if err := f.request(fmt.Sprintf("first-%d", i), "/first", 900, 2*time.Second); err != nil {
			fl.rec.printf("first request of kept flow %d: %v", i, err)
			f.finish()
			continue
		}
		list = append(list, f)
	}
	return list
}

// holderOf returns the host that holds the flow, nil if none does.
func holderOf(fl *fleet, key flowKey) *host {
	for _, h := range fl.hosts {
		if h.holds(key) {
			return h
		}
	}
	return nil
}

// foreignCheckIn sends one check-in of another writer to the control address of a
// machine and checks that no open flow of the machine's host is reset.
func foreignCheckIn(fl *fleet, trouble bool) ([]string, error) {
	fl.configure(bookings, reports)
	if err := awaitService(fl, bookings); err != nil {
		return nil, err
	}
	flows := keptFlows(fl, bookings, 42)
	if len(flows) < 30 {
		return nil, errNotRun
	}
	victim := fl.hosts[0]
	held := 0
	for _, f := range flows {
		if holderOf(fl, f.key) == victim {
			held++
		}
	}
	fl.rec.printf("%d kept flows, %d of them at %s", len(flows), held, victim.name)
	if trouble {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		status, err := putCheckIn(client, victim.control, "i-0ddba11", checkIn{
			Service: "unnamed", Address: victim.app.String(), Zone: victim.zone, Version: "v1", Capacity: capacity, State: "ready",
			Sequence: 1, Born: time.Now().UnixMilli(),
		})
		fl.rec.printf("another writer's check-in of the service \"unnamed\" at %s: status %d %v", victim.control, status, err)
	}
	var breaks []string
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, f := range flows {
		group.Go(func() {
			for n := range 8 {
				time.Sleep(time.Second)
				holder := holderOf(fl, f.key)
				id := fmt.Sprintf("kept-%d-%d", i, n)
				err := f.request(id, "/kept", 900, 2*time.Second)
				fl.rec.printf("flow %s: %s answered: %v", f.key.client, id, err)
				if errors.Is(err, errReset) && holder != nil {
					mu.Lock()
					breaks = append(breaks, fmt.Sprintf("FLOW: the client of %s gets a reset of the system for %s, while %s holds the flow: %t",
						f.key.client, id, holder.name, holder.holds(f.key)))
					mu.Unlock()
				}
				if err != nil {
					return
				}
			}
		})
	}
	group.Wait()
	fl.rec.printf("%s: %d check-ins not acknowledged", victim.name, victim.refused)
	return breaks, nil
}

// probeRoutes opens flows to the two routes through each of the balancers until the
// time, and returns the requests that only an older version allows.
func probeRoutes(fl *fleet, balancers []*process, dropped, added route, acked time.Time, length time.Duration) []string {
	var breaks []string
	var mu sync.Mutex
	var group sync.WaitGroup
	broken := func(text string) {
		mu.Lock()
		defer mu.Unlock()
		breaks = append(breaks, text)
	}
	for _, b := range balancers {
		cl := fl.clients[0]
		for _, other := range fl.clients {
			if other.zone == b.zone {
				cl = other
			}
		}
		group.Go(func() {
			for n := 0; time.Since(acked) < length; n++ {
				time.Sleep(700 * time.Millisecond)
				for _, ro := range []route{dropped, added} {
					sent := time.Now()
					id := fmt.Sprintf("probe-%s-%s-%d", b.name, ro.name, n)
					f, err := cl.openThrough(fl.address(ro), func(_ string, p packet) { fl.fabric.sendTo(b, p) })
					if err == nil {
						err = f.request(id, "/probe", 100, time.Second)
						f.finish()
					}
					late := sent.Sub(acked)
					fl.rec.printf("%s sent %.2f s after the acknowledgement: %v", id, late.Seconds(), err)
					if late <= configApply {
						continue
					}
					if ro == dropped && err == nil {
						broken(fmt.Sprintf("CONFIG: %s was run on a dropped route, %.2f s after the acknowledgement", id, late.Seconds()))
					}
					if ro == added && errors.Is(err, errReset) {
						broken(fmt.Sprintf("CONFIG: %s was refused though the route is there, %.2f s after the acknowledgement", id, late.Seconds()))
					}
				}
			}
		})
	}
	group.Wait()
	return breaks
}

// movedStore changes the store's address in the settings files without a signal and
// checks that a configuration that is written then is in force in time.
func movedStore(fl *fleet, trouble bool) ([]string, error) {
	old := route{name: "r-old", port: 8445, service: serviceNames[0]}
	added := route{name: "r-new", port: 8446, service: serviceNames[0]}
	fl.configure(bookings, reports, old)
	if err := awaitService(fl, bookings); err != nil {
		return nil, err
	}
	if trouble {
		address, closeNew, err := fl.store.listen(fl.base + ".253:0")
		if err != nil {
			return nil, err
		}
		defer closeNew()
		for _, pr := range fl.processes() {
			if err := pr.setStore(address); err != nil {
				return nil, err
			}
		}
		fl.rec.printf("the settings files name the store at %s, no signal is sent", address)
		time.Sleep(10 * time.Second)
		fl.closeAt()
		fl.rec.printf("the store's former address is closed")
		time.Sleep(stability + time.Second)
	}
	fl.configure(bookings, reports, added)
	return probeRoutes(fl, fl.balancers, old, added, time.Now(), 12*time.Second), nil
}

// lostBalancers loses all balancers but one and checks that a configuration that is
// written then is in force at that one in time.
func lostBalancers(fl *fleet, trouble bool) ([]string, error) {
	old := route{name: "r-old", port: 8445, service: serviceNames[0]}
	added := route{name: "r-new", port: 8446, service: serviceNames[0]}
	fl.configure(bookings, reports, old)
	if err := awaitService(fl, bookings); err != nil {
		return nil, err
	}
	left := fl.balancers[2]
	if trouble {
		for _, b := range fl.balancers {
			if b != left {
				b.signal(syscall.SIGKILL, true)
			}
		}
		time.Sleep(time.Second)
	}
	fl.configure(bookings, reports, added)
	return probeRoutes(fl, []*process{left}, old, added, time.Now(), 30*time.Second), nil
}
