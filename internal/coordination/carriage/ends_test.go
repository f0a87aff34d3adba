package carriage

import (
	"net/netip"
	"time"
)

// This file plays the two ends of a flow: hosts and callers.

// duplicates returns the number of flows that several hosts were asked to open.
func (wo *world) duplicates() int {
	seen := make(map[Flow]int)
	for _, ho := range wo.hosts {
		for flow := range ho.flows {
			seen[flow]++
		}
	}
	count := 0
	for _, times := range seen {
		if times > 1 {
			count++
		}
	}
	return count
}

// opened returns the number of flows that the hosts have opened.
func (wo *world) opened(hosts []*worldHost) int {
	count := 0
	for _, ho := range hosts {
		count += len(ho.flows)
	}
	return count
}

// fromHost hands a packet of the host to its agent and on to the caller.
func (wo *world) fromHost(ho *worldHost, pk Packet) {
	if !ho.agent {
		return
	}
	for _, ac := range ho.gate.HandleHostPacket(wo.now, pk, wire(pk)) {
		if ac.Kind == KindReturn {
			wo.send(func() { wo.callerReceives(pk) })
			continue
		}
		wo.performAgent(ho, []Action{ac})
	}
}

// hostReceives plays a host that takes a packet of a caller.
func (wo *world) hostReceives(ho *worldHost, pk Packet, data []byte) {
	if !ho.alive {
		return
	}
	wo.deliveries++
	fl, ok := ho.flows[pk.Flow]
	if pk.Opening && ho.refusing {
		wo.refusals++
		returned := pk
		returned.Returned = true
		wo.performAgent(ho, ho.gate.HandleHostPacket(wo.now, returned, data))
		return
	}
	if pk.Opening {
		if !ok {
			if !ho.draining.IsZero() && wo.now.Sub(ho.draining) > 3*time.Second {
				wo.openedAfterDrain++
			}
			wo.next += 7919
			fl = &worldFlow{first: wo.next}
			ho.flows[pk.Flow] = fl
		}
		accept := Packet{Flow: pk.Flow, Accepting: true, Sequence: fl.first}
		wo.after(300*time.Microsecond, func() { wo.fromHost(ho, accept) })
		return
	}
	if !ok || !fl.open && pk.Acknowledged != fl.first+1 {
		if holder := wo.holder(pk.Flow); holder != nil && holder != ho {
			wo.strays[pk.Flow]++
		}
		returned := pk
		returned.Returned = true
		wo.after(10*time.Microsecond, func() {
			if ho.agent {
				wo.performAgent(ho, ho.gate.HandleHostPacket(wo.now, returned, data))
			}
		})
		return
	}
	if ho.breaking {
		wo.brokenByHost++
		delete(ho.flows, pk.Flow)
		wo.fromHost(ho, Packet{Flow: pk.Flow, Resets: true})
		return
	}
	if !fl.open {
		fl.open = true
		ho.waiting = append(ho.waiting, pk.Flow)
		wo.startWork(ho)
		return
	}
	if fl.answered {
		wo.answer(ho, pk.Flow, fl)
	}
}

// holder returns the host that holds the open flow.
func (wo *world) holder(flow Flow) *worldHost {
	for _, ho := range wo.hosts {
		if fl, ok := ho.flows[flow]; ok && ho.alive && fl.open {
			return ho
		}
	}
	return nil
}

func (wo *world) startWork(ho *worldHost) {
	for ho.working < worldSlots && len(ho.waiting) > 0 {
		flow, born := ho.waiting[0], ho.born
		ho.waiting = ho.waiting[1:]
		ho.working++
		wo.after(ho.work/2+time.Duration(wo.random.Int64N(int64(ho.work))), func() {
			if !ho.alive || !ho.born.Equal(born) {
				return
			}
			ho.working--
			fl := ho.flows[flow]
			fl.answered = true
			wo.answer(ho, flow, fl)
			wo.startWork(ho)
		})
	}
}

func (wo *world) answer(ho *worldHost, flow Flow, fl *worldFlow) {
	wo.fromHost(ho, Packet{Flow: flow, Sequence: fl.first + 1, Finishes: true})
}

// open lets a caller begin a request.
func (wo *world) open(number int) *worldCaller {
	ca := &worldCaller{began: wo.now, flow: Flow{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(number >> 8), byte(number)}), uint16(1024+number%50000)),
		Service: worldAddress,
	}}
	wo.callers[ca.flow] = ca
	for i, delay := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		wo.after(delay, func() {
			if !ca.accepted && !ca.done {
				wo.fromCaller(Packet{Flow: ca.flow, Opening: true, Copy: uint32(i)})
			}
		})
	}
	wo.after(worldPatient, func() {
		if !ca.accepted && !ca.done {
			ca.done = true
			wo.failed++
		}
	})
	return ca
}

// fromCaller hands a caller's packet to a balancer, as the fabric does.
func (wo *world) fromCaller(pk Packet) {
	if len(wo.rotation) == 0 {
		return
	}
	ba := wo.balancers[wo.rotation[int(pk.Flow.Hash()%uint64(len(wo.rotation)))]]
	wo.send(func() {
		if ba.live {
			wo.performBalancer(ba, ba.placer.HandlePacket(wo.now, pk, wire(pk)))
		}
	})
}

// callerReceives plays a caller that takes a packet of a host.
func (wo *world) callerReceives(pk Packet) {
	ca := wo.callers[pk.Flow]
	if ca == nil || ca.done {
		return
	}
	if pk.Resets {
		ca.done = true
		return
	}
	if pk.Accepting {
		if !ca.accepted {
			ca.accepted = true
			ca.number = pk.Sequence + 1
			wo.request(ca, 200*time.Millisecond)
		}
		return
	}
	if pk.Sequence != ca.number {
		// Numbers are given once, so another host or another start answered.
		wo.wrong++
		return
	}
	ca.done = true
	wo.served++
	if wo.now.Sub(ca.began) > 100*time.Millisecond {
		wo.late++
	}
}

// callerBudget is how long a caller repeats its request.
const callerBudget = 8 * time.Second

// request sends the request, and again until it is answered.
func (wo *world) request(ca *worldCaller, again time.Duration) {
	if ca.done {
		return
	}
	if wo.now.Sub(ca.began) > callerBudget {
		ca.done = true
		wo.failed++
		return
	}
	wo.fromCaller(Packet{Flow: ca.flow, Sequence: 1, Acknowledged: ca.number})
	wo.after(again, func() { wo.request(ca, min(2*again, 1600*time.Millisecond)) })
}

// resetCaller plays a caller that takes a reset of the system.
func (wo *world) resetCaller(flow Flow) {
	ca := wo.callers[flow]
	if ca == nil || ca.done {
		return
	}
	if wo.holder(flow) != nil {
		wo.resetsOfOpen++
	}
	ca.done = true
	wo.refused++
}

// load lets callers open flows at the rate until the end.
func (wo *world) load(perSecond int, end time.Time) {
	number := 0
	var step func()
	step = func() {
		if wo.now.After(end) {
			return
		}
		number++
		wo.open(number)
		wo.after(time.Duration(wo.random.ExpFloat64()*float64(time.Second)/float64(perSecond)), step)
	}
	wo.after(0, step)
}
