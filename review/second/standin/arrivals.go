package main

import (
	"sync"
	"time"
)

// arrival is a packet of a flow, other than an opening, at a host. Own says that the host holds
// the flow.
type arrival struct {
	at  time.Time
	own bool
}

// arrivals are the packets of all flows at all hosts.
type arrivals struct {
	mu    sync.Mutex
	flows map[flowKey][]arrival
}

func (ar *arrivals) note(key flowKey, own bool) {
	ar.mu.Lock()
	defer ar.mu.Unlock()
	if ar.flows == nil {
		ar.flows = make(map[flowKey][]arrival)
	}
	ar.flows[key] = append(ar.flows[key], arrival{at: time.Now(), own: own})
}

// elsewhere returns, for the span after the given time in which most of the flow's packets
// reached other hosts and none its own, the number of their arrivals, and of the packets of the client
// of which they are copies. A packet counts if an arrival follows it before the client's
// next one.
func (ar *arrivals) elsewhere(fl *clientFlow, after time.Time, span time.Duration) (others, packets int) {
	fl.mu.Lock()
	sent := append([]time.Time(nil), fl.sentAt...)
	fl.mu.Unlock()
	ar.mu.Lock()
	defer ar.mu.Unlock()
	list := ar.flows[fl.key]
	for i := range list {
		if list[i].at.Before(after) {
			continue
		}
		count, own, of := 0, false, make(map[int]bool)
		for _, it := range list[i:] {
			if it.at.Sub(list[i].at) > span {
				break
			}
			own = own || it.own
			count++
			of[lastBefore(sent, it.at)] = true
		}
		if !own && len(of) >= packets {
			others, packets = max(others, count), len(of)
		}
	}
	return others, packets
}

// lastBefore returns the index of the last time that isn't after the given one.
func lastBefore(list []time.Time, at time.Time) int {
	last := -1
	for i, it := range list {
		if !it.After(at) {
			last = i
		}
	}
	return last
}
