package carriage

import (
	"net/netip"
	"time"
)

// This file simulates hosts and callers.

// duplicates returns the number of flows that more than one host was asked to
// open.
func (si *simulation) duplicates() int {
	seen := make(map[Flow]int)
	for _, ho := range si.hosts {
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

// opened returns the number of flows that the hosts have accepted since they
// started.
func (si *simulation) opened(hosts []*simHost) int {
	count := 0
	for _, ho := range hosts {
		count += len(ho.flows)
	}
	return count
}

// fromHost delivers a packet of the host to its agent and from there to the
// caller.
func (si *simulation) fromHost(ho *simHost, pk Packet) {
	if !ho.agent {
		return
	}
	for _, ac := range ho.gate.HandleHostPacket(si.now, pk, encode(pk)) {
		if ac.Kind == KindReturn {
			si.send(func() { si.callerReceives(pk) })
			continue
		}
		si.performAgent(ho, []Action{ac})
	}
}

// hostReceives simulates a host that receives a packet of a caller.
func (si *simulation) hostReceives(ho *simHost, pk Packet, data []byte) {
	if !ho.alive {
		return
	}
	si.deliveries++
	fl, ok := ho.flows[pk.Flow]
	if pk.Opening && ho.refusing {
		si.refusals++
		returned := pk
		returned.Returned = true
		si.performAgent(ho, ho.gate.HandleHostPacket(si.now, returned, data))
		return
	}
	if pk.Opening {
		if !ok {
			if !ho.draining.IsZero() && si.now.Sub(ho.draining) > 3*time.Second {
				si.openedAfterDrain++
			}
			si.nextSequence += 7919
			fl = &simFlow{initialSequence: si.nextSequence}
			ho.flows[pk.Flow] = fl
		}
		accept := Packet{Flow: pk.Flow, Accepting: true, Sequence: fl.initialSequence}
		si.after(300*time.Microsecond, func() { si.fromHost(ho, accept) })
		return
	}
	if !ok || !fl.open && pk.Acknowledged != fl.initialSequence+1 {
		if holder := si.holder(pk.Flow); holder != nil && holder != ho {
			si.misdelivered[pk.Flow]++
		}
		returned := pk
		returned.Returned = true
		si.after(10*time.Microsecond, func() {
			if ho.agent {
				si.performAgent(ho, ho.gate.HandleHostPacket(si.now, returned, data))
			}
		})
		return
	}
	if ho.breaking {
		si.brokenByHost++
		delete(ho.flows, pk.Flow)
		si.fromHost(ho, Packet{Flow: pk.Flow, Resets: true})
		return
	}
	if !fl.open {
		fl.open = true
		ho.waiting = append(ho.waiting, pk.Flow)
		si.startWork(ho)
		return
	}
	if fl.answered {
		si.answer(ho, pk.Flow, fl)
	}
}

// holder returns the running host that holds the flow open, nil if none does.
func (si *simulation) holder(flow Flow) *simHost {
	for _, ho := range si.hosts {
		if fl, ok := ho.flows[flow]; ok && ho.alive && fl.open {
			return ho
		}
	}
	return nil
}

func (si *simulation) startWork(ho *simHost) {
	for ho.working < simSlots && len(ho.waiting) > 0 {
		flow, startedAt := ho.waiting[0], ho.startedAt
		ho.waiting = ho.waiting[1:]
		ho.working++
		si.after(ho.work/2+time.Duration(si.random.Int64N(int64(ho.work))), func() {
			if !ho.alive || !ho.startedAt.Equal(startedAt) {
				return
			}
			ho.working--
			fl := ho.flows[flow]
			fl.answered = true
			si.answer(ho, flow, fl)
			si.startWork(ho)
		})
	}
}

func (si *simulation) answer(ho *simHost, flow Flow, fl *simFlow) {
	si.fromHost(ho, Packet{Flow: flow, Sequence: fl.initialSequence + 1, Finishes: true})
}

// open lets a caller open a flow: it sends the opening packet up to three times
// and gives up after the opening timeout.
func (si *simulation) open(number int) *simCaller {
	ca := &simCaller{began: si.now, flow: Flow{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(number >> 8), byte(number)}), uint16(1024+number%50000)),
		Service: simAddress,
	}}
	si.callers[ca.flow] = ca
	for i, delay := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		si.after(delay, func() {
			if !ca.accepted && !ca.done {
				si.fromCaller(Packet{Flow: ca.flow, Opening: true, Copy: uint32(i)})
			}
		})
	}
	si.after(simOpeningTimeout, func() {
		if !ca.accepted && !ca.done {
			ca.done = true
			si.failed++
		}
	})
	return ca
}

// fromCaller sends a caller's packet to a balancer, as the fabric does.
func (si *simulation) fromCaller(pk Packet) {
	if len(si.rotation) == 0 {
		return
	}
	ba := si.balancers[si.rotation[int(pk.Flow.Hash()%uint64(len(si.rotation)))]]
	si.send(func() {
		if ba.live {
			si.performBalancer(ba, ba.placer.HandlePacket(si.now, pk, encode(pk)))
		}
	})
}

// callerReceives simulates a caller that receives a packet of a host.
func (si *simulation) callerReceives(pk Packet) {
	ca := si.callers[pk.Flow]
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
			si.request(ca, 200*time.Millisecond)
		}
		return
	}
	if pk.Sequence != ca.number {
		// Each accepted flow has its own sequence number, so another host or another
		// start of the host has answered.
		si.wrongAnswers++
		return
	}
	ca.done = true
	si.served++
	if si.now.Sub(ca.began) > 100*time.Millisecond {
		si.lateAnswers++
	}
}

// callerBudget is how long after its first packet a caller repeats its request.
const callerBudget = 8 * time.Second

// request sends the request and repeats it with a doubling interval until it is
// answered.
func (si *simulation) request(ca *simCaller, again time.Duration) {
	if ca.done {
		return
	}
	if si.now.Sub(ca.began) > callerBudget {
		ca.done = true
		si.failed++
		return
	}
	si.fromCaller(Packet{Flow: ca.flow, Sequence: 1, Acknowledged: ca.number})
	si.after(again, func() { si.request(ca, min(2*again, 1600*time.Millisecond)) })
}

// resetCaller simulates a caller that receives a reset from a balancer.
func (si *simulation) resetCaller(flow Flow) {
	ca := si.callers[flow]
	if ca == nil || ca.done {
		return
	}
	if si.holder(flow) != nil {
		si.resetsOfOpen++
	}
	ca.done = true
	si.refused++
}

// load lets callers open flows at the average rate until the end.
func (si *simulation) load(perSecond int, end time.Time) {
	number := 0
	var step func()
	step = func() {
		if si.now.After(end) {
			return
		}
		number++
		si.open(number)
		si.after(time.Duration(si.random.ExpFloat64()*float64(time.Second)/float64(perSecond)), step)
	}
	si.after(0, step)
}
