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
	if ho.agent {
		si.in(&ho.agentProcess, func() { si.fromHostAtAgent(ho, pk) })
	}
}

func (si *simulation) fromHostAtAgent(ho *simHost, pk Packet) {
	for _, ac := range ho.gate.HandleHostPacket(si.now, pk, encode(pk)) {
		if ac.Kind == KindReturn {
			if holder := si.holder(pk.Flow); pk.Resets && holder != nil && holder != ho {
				si.resetsByOtherHost++
			}
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
		si.in(&ho.agentProcess, func() { si.performAgent(ho, ho.gate.HandleHostPacket(si.now, returned, data)) })
		return
	}
	if pk.Opening {
		ho.openings = append(ho.openings, si.now)
		if !ok || fl.openingSequence != pk.Sequence {
			if !ho.draining.IsZero() && si.now.Sub(ho.draining) > 3*time.Second {
				si.openedAfterDrain++
			}
			si.nextSequence += simSequenceStep
			fl = &simFlow{
				initialSequence: si.nextSequence, openingSequence: pk.Sequence, received: pk.Sequence, answered: pk.Sequence,
			}
			ho.flows[pk.Flow] = fl
		}
		accept := Packet{Flow: pk.Flow, Accepting: true, Sequence: fl.initialSequence, Acknowledged: pk.Sequence + 1}
		si.after(300*time.Microsecond, func() { si.fromHost(ho, accept) })
		return
	}
	if !ok || !fl.open && pk.Acknowledged != fl.initialSequence+1 {
		si.noteDelivery(pk.Flow, ho, si.holder(pk.Flow))
		returned := pk
		returned.Returned = true
		si.after(10*time.Microsecond, func() {
			if ho.agent {
				si.in(&ho.agentProcess, func() { si.performAgent(ho, ho.gate.HandleHostPacket(si.now, returned, data)) })
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
	fl.open = true
	if near(pk.Sequence, fl.openingSequence) {
		si.noteDelivery(pk.Flow, ho, ho)
	} else {
		si.noteDelivery(pk.Flow, ho, si.holder(pk.Flow))
	}
	end := pk.Sequence + uint32(pk.Length)
	switch {
	case pk.Length > 0 && fl.finished && end != fl.received:
		si.after(10*time.Microsecond, func() { si.fromHost(ho, Packet{Flow: pk.Flow, Resets: true}) })
	case pk.Length == 0:
	case end > fl.received:
		fl.received = end
		ho.waiting = append(ho.waiting, simRequest{flow: pk.Flow, at: fl})
		si.startWork(ho)
	case fl.answered == fl.received:
		si.answer(ho, pk.Flow, fl)
	}
}

// holder returns the running host that holds the caller's present flow open, nil if
// none does.
func (si *simulation) holder(flow Flow) *simHost {
	for _, ho := range si.hosts {
		if fl, ok := ho.flows[flow]; ok && ho.alive && fl.open && fl.openingSequence == si.callers[flow].openingSequence {
			return ho
		}
	}
	return nil
}

func (si *simulation) startWork(ho *simHost) {
	for ho.working < simSlots && len(ho.waiting) > 0 {
		rq, startedAt := ho.waiting[0], ho.startedAt
		ho.waiting = ho.waiting[1:]
		ho.working++
		si.after(si.workOf(ho, rq.flow), func() {
			if ho.alive && ho.startedAt.Equal(startedAt) {
				si.in(&ho.process, func() { si.finishWork(ho, rq) })
			}
		})
	}
}

// finishWork answers a request that the host has worked on.
func (si *simulation) finishWork(ho *simHost, rq simRequest) {
	ho.working--
	ho.requests++
	if fl := rq.at; ho.flows[rq.flow] == fl {
		fl.answered = fl.received
		fl.sent += simAnswerBytes
		fl.finished = si.callers[rq.flow].keepsUntil.IsZero() || !ho.draining.IsZero()
		si.answer(ho, rq.flow, fl)
	}
	si.startWork(ho)
}

// workOf draws how long the host works on a request of the flow.
func (si *simulation) workOf(ho *simHost, flow Flow) time.Duration {
	if si.drawWork != nil {
		return si.drawWork(ho, flow)
	}
	return ho.work/2 + time.Duration(si.random.Int64N(int64(ho.work)))
}

// answer sends the flow's last answer.
func (si *simulation) answer(ho *simHost, flow Flow, fl *simFlow) {
	number := fl.initialSequence + 1 + fl.sent - simAnswerBytes
	si.fromHost(ho, Packet{Flow: flow, Sequence: number, Length: simAnswerBytes, Finishes: fl.finished})
}

// open lets a caller open a flow: it sends the opening packet up to three times
// and gives up after the opening timeout.
func (si *simulation) open(number int) *simCaller {
	return si.openFrom(&simCaller{flow: Flow{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(64 + number>>16), byte(number >> 8), byte(number)}), uint16(1024+number%50000)),
		Service: simAddress,
	}})
}

// openFrom lets the caller open its flow.
func (si *simulation) openFrom(ca *simCaller) *simCaller {
	ca.began = si.now
	si.callers[ca.flow] = ca
	for i, delay := range si.copyTimes {
		si.after(delay, func() {
			if !ca.accepted && !ca.done {
				si.fromCaller(Packet{Flow: ca.flow, Opening: true, Copy: uint32(i), Sequence: ca.openingSequence})
			}
		})
	}
	si.after(simOpeningTimeout, func() {
		if !ca.accepted && !ca.done {
			ca.done = true
			si.failed++
			si.ended(ca)
		}
	})
	return ca
}

// fromCaller sends a caller's packet to a balancer, as the fabric does.
func (si *simulation) fromCaller(pk Packet) {
	si.callers[pk.Flow].packets++
	if len(si.rotation) == 0 {
		return
	}
	ba := si.balancers[si.rotation[int(pk.Flow.Hash()%uint64(len(si.rotation)))]]
	if si.steer != nil {
		ba = si.balancers[si.steer(pk.Flow)]
	}
	si.send(func() {
		si.in(&ba.simProcess, func() {
			if ba.live {
				si.performBalancer(ba, ba.placer.HandlePacket(si.now, pk, encode(pk)))
			}
		})
	})
}

// isFormer reports whether a host's packet belongs to the caller's former flow.
func (ca *simCaller) isFormer(pk Packet) bool {
	switch {
	case ca.former == nil || pk.Resets:
		return false
	case pk.Accepting:
		return pk.Acknowledged == ca.former.openingSequence+1
	default:
		return ca.former.accepted && near(pk.Sequence, ca.former.number)
	}
}

// isFormerReset reports whether the number of a balancer's reset belongs to the caller's
// former flow. That of an opening is zero, which doesn't fit an accepted flow.
func (ca *simCaller) isFormerReset(ac Action) bool {
	switch {
	case ca.former == nil:
		return false
	case ac.Opening:
		return ca.accepted
	default:
		return ca.former.accepted && near(ac.Acknowledged, ca.former.number)
	}
}

// callerReceives simulates a caller that receives a packet of a host.
func (si *simulation) callerReceives(pk Packet) {
	ca := si.callers[pk.Flow]
	if ca == nil || ca.done || ca.isFormer(pk) {
		return
	}
	if pk.Resets {
		ca.done = true
		return
	}
	if pk.Accepting {
		if !ca.accepted {
			ca.accepted = true
			ca.sent = ca.openingSequence + 1
			ca.number = pk.Sequence + 1
			ca.waiting = true
			si.request(ca, ca.sent, 200*time.Millisecond)
		}
		return
	}
	if behind := ca.number - pk.Sequence; behind > 0 && behind < simSequenceStep/2 {
		// A copy of an earlier answer on this flow.
		return
	}
	if pk.Sequence != ca.number {
		// Each accepted flow has its own sequence number, so another host or another
		// start of the host has answered.
		si.wrongAnswers++
		return
	}
	si.served++
	if si.onAnswer != nil {
		si.onAnswer(ca, si.now.Sub(ca.began))
	}
	if si.now.Sub(ca.began) > 100*time.Millisecond {
		si.lateAnswers++
	}
	ca.sent += simRequestBytes
	ca.waiting = false
	ca.number += uint32(pk.Length)
	switch {
	case ca.keepsUntil.IsZero():
		ca.done = true
	case pk.Finishes:
		ca.done = true
		si.closedByHost++
		si.keep(ca.keepsUntil, ca.pause)
	default:
		si.after(si.pauseOf(ca), func() { si.requestAgain(ca) })
	}
}

// pauseOf draws the pause between two requests of a caller.
func (si *simulation) pauseOf(ca *simCaller) time.Duration {
	return ca.pause/2 + time.Duration(si.random.Int64N(int64(ca.pause)))
}

// requestAgain sends the next request on a kept flow.
func (si *simulation) requestAgain(ca *simCaller) {
	if ca.done || si.now.After(ca.keepsUntil) {
		ca.done = true
		return
	}
	ca.began = si.now
	ca.waiting = true
	si.request(ca, ca.sent, 200*time.Millisecond)
}

// keep lets a caller open a flow that it keeps until the given time for requests
// with the given mean pause between them.
func (si *simulation) keep(until time.Time, pause time.Duration) *simCaller {
	if si.now.After(until) {
		return nil
	}
	si.kept++
	ca := si.open(simKeptCallers + si.kept)
	ca.keepsUntil, ca.pause = until, pause
	return ca
}

// simKeptCallers is the number from which callers that keep flows are numbered.
const simKeptCallers = 1 << 20

// callerBudget is how long after its first packet a caller repeats its request.
const callerBudget = 8 * time.Second

// request sends the request that begins at the sequence number and repeats it with a doubling interval until it is
// answered.
func (si *simulation) request(ca *simCaller, sent uint32, again time.Duration) {
	if ca.done || ca.sent != sent {
		return
	}
	if si.now.Sub(ca.began) > callerBudget {
		ca.done = true
		si.failed++
		si.ended(ca)
		return
	}
	si.fromCaller(Packet{Flow: ca.flow, Sequence: sent, Length: simRequestBytes, Acknowledged: ca.number})
	si.after(again, func() { si.request(ca, sent, min(2*again, 1600*time.Millisecond)) })
}

// resetCaller simulates a caller that receives a reset from a balancer.
func (si *simulation) resetCaller(ac Action) {
	flow := ac.Flow
	ca := si.callers[flow]
	if ca == nil || ca.done || ca.isFormerReset(ac) {
		return
	}
	if si.holder(flow) != nil {
		si.resetsOfOpen++
	}
	if ca.accepted && si.livingHolder(ca) != nil {
		si.resetsOfHeld = append(si.resetsOfHeld, flow)
	}
	ca.done = true
	si.refused++
	si.ended(ca)
}

// ended tells onEnd that the caller was not served.
func (si *simulation) ended(ca *simCaller) {
	if si.onEnd != nil {
		si.onEnd(ca)
	}
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
