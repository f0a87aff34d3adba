package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// arrival is a packet of an open flow that reached a host.
type arrival struct {
	at   time.Time
	held bool
	host *host
	p    packet
}

// arrivals collects the packets of kept flows that reach hosts.
type arrivals struct {
	mu     sync.Mutex
	list   map[flowKey][]arrival
	holder map[flowKey]*host
}

func (a *arrivals) note(h *host, key flowKey, p packet, held bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if held {
		a.holder[key] = h
	}
	a.list[key] = append(a.list[key], arrival{at: now, held: held, host: h, p: p})
}

// misdirected returns a text for each flow of which, for flowSkew, three or more packets
// that its client sent reached other hosts and none its own. The copies of one sent
// packet count once.
func (a *arrivals) misdirected(flows []*clientFlow) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var breaks []string
	for _, f := range flows {
		f.cl.mu.Lock()
		sends := append([]time.Time(nil), f.sends...)
		f.cl.mu.Unlock()
		list := a.list[f.key]
		for i, first := range list {
			if first.held {
				continue
			}
			end := first.at.Add(flowSkew)
			others, hosts, own := map[int]bool{}, map[*host]bool{}, false
			for _, next := range list[i:] {
				if next.at.After(end) {
					break
				}
				own = own || next.held
				others[lastSend(sends, next.at)] = true
				hosts[next.host] = true
			}
			if !own && len(others) >= 3 {
				breaks = append(breaks, fmt.Sprintf("FLOW: for 2 s from %s on, %d packets of %s reach %d other hosts and none reaches %s, which holds it",
					clock(f.cl.rec, first.at), len(others), f.key.client, len(hosts), a.holder[f.key].name))
				break
			}
		}
	}
	return breaks
}

// lastSend returns the index of the client's last packet before the time.
func lastSend(sends []time.Time, at time.Time) int {
	found := -1
	for i, sent := range sends {
		if !sent.After(at) {
			found = i
		}
	}
	return found
}

func clock(rec *record, at time.Time) string {
	return fmt.Sprintf("%.3f", at.Sub(rec.started).Seconds())
}

// keepAsking sends a request on each flow every two seconds until the time, and returns how
// many were not answered within their time budget.
func keepAsking(fl *fleet, flows []*clientFlow, size int, until time.Time) int {
	var mu sync.Mutex
	var group sync.WaitGroup
	failed := 0
	for i, f := range flows {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 2 * time.Second / time.Duration(len(flows)))
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("kept-%d-%d", i, n)
				err := f.request(id, "/kept", size, 8*time.Second)
				fl.rec.printf("flow %s: %s answered: %v", f.key.client, id, err)
				if err != nil {
					mu.Lock()
					failed++
					mu.Unlock()
					return
				}
				time.Sleep(2 * time.Second)
			}
		})
	}
	group.Wait()
	return failed
}

// rollOrder is the order in which the agents are stopped: agents of the two services
// by turns.
var rollOrder = []int{0, 1, 7, 2, 3, 4, 8, 5, 6, 9}

// changedRoute gives the route of kept flows to another service while all agents are
// stopped and started in turn, and checks that the flows stay where they are.
func changedRoute(fl *fleet, trouble bool) ([]string, error) {
	seen := &arrivals{list: make(map[flowKey][]arrival), holder: make(map[flowKey]*host)}
	fl.packetSeen = seen.note
	fl.configure(bookings, reports)
	if err := awaitService(fl, reports); err != nil {
		return nil, err
	}
	flows := keptFlows(fl, reports, 600)
	if len(flows) < 500 {
		return nil, errNotRun
	}
	done := make(chan int)
	until := time.Now().Add(26 * time.Second)
	go func() { done <- keepAsking(fl, flows, 900, until) }()
	time.Sleep(2 * time.Second)
	if trouble {
		moved := reports
		moved.service = serviceNames[0]
		fl.configure(bookings, moved)
	}
	time.Sleep(5 * time.Second)
	for _, i := range rollOrder {
		fl.agents[i].signal(syscall.SIGTERM, false)
		time.Sleep(1200 * time.Millisecond)
	}
	failed := <-done
	fl.rec.printf("%d of %d kept flows had a request that was not answered", failed, len(flows))
	fmt.Printf("%d of %d kept flows had a request that was not answered\n", failed, len(flows))
	fmt.Printf("%d of %d kept flows had three arrivals or more at other hosts, and none at their own for 2 s\n", seen.strayed(flows), len(flows))
	return seen.misdirected(flows), nil
}

// strayed returns the number of flows of which, for flowSkew, three packets or more
// arrived at other hosts and none at their own. Each arrival counts.
func (a *arrivals) strayed(flows []*clientFlow) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, f := range flows {
		var strays []time.Time
		broken := false
		for _, next := range a.list[f.key] {
			if next.held {
				strays = nil
				continue
			}
			strays = append(strays, next.at)
			broken = broken || len(strays) >= 3 && next.at.Sub(strays[0]) >= flowSkew
		}
		if broken {
			count++
		}
	}
	return count
}
