package carriage

import "time"

// HandleHostPacket handles a packet from the host.
func (ga *Gate) HandleHostPacket(now time.Time, pk Packet, data []byte) []Action {
	ga.actions = ga.actions[:0]
	wasSilent := ga.silent
	ga.hostHeard(now)
	if wasSilent {
		ga.announceIfChanged(now)
	}
	if pk.Returned {
		ga.handleReturned(now, pk, data)
		ga.serveQueue(now)
		return ga.actions
	}
	if ga.isTentativeReset(pk) {
		ga.handleTentativeReset(now, pk)
		ga.serveQueue(now)
		return ga.actions
	}
	ga.handleAnswer(now, pk)
	ga.actions = append(ga.actions, Action{Kind: KindReturn, Flow: pk.Flow, Data: data})
	ga.serveQueue(now)
	return ga.actions
}

// isTentativeReset reports whether the packet resets a flow of which packets were only
// delivered tentatively. The host had a former flow between the same addresses, which
// has ended, and the caller's present one may be at another host.
func (ga *Gate) isTentativeReset(pk Packet) bool {
	hf := ga.flows.peek(pk.Flow)
	return pk.Resets && hf != nil && hf.stage == stageTentative
}

// handleTentativeReset keeps the reset from the caller. Further packets of the flow are
// declined, so that its balancer searches elsewhere.
func (ga *Gate) handleTentativeReset(now time.Time, pk Packet) {
	hf := ga.flows.peek(pk.Flow)
	ga.endProgress(now, hf)
	hf.stage = stageNotHeld
	ga.actions = append(ga.actions, Action{Kind: KindDrop, Flow: pk.Flow, Reason: ReasonNotHeld})
}

// handleReturned handles a caller's packet that the host returned.
func (ga *Gate) handleReturned(now time.Time, pk Packet, data []byte) {
	hf := ga.flows.peek(pk.Flow)
	if hf == nil {
		ga.actions = append(ga.actions, Action{Kind: KindDrop, Flow: pk.Flow, Reason: ReasonNotHeld})
		return
	}
	re := ReasonNotHeld
	if hf.stage == stageOpen {
		re = ReasonHostLost
	}
	if pk.Opening {
		re = ReasonHostRefused
		ga.eject(now)
	}
	ga.endProgress(now, hf)
	hf.stage = stageNotHeld
	if re == ReasonHostLost {
		hf.stage = stageLost
	}
	if !pk.Opening {
		hf.exchange.host.start(pk.Acknowledged)
	}
	ga.actions = append(ga.actions, Action{
		Kind: KindDecline, To: hf.balancer, Flow: pk.Flow, Data: data, Reason: re, Opening: pk.Opening,
		Acknowledged: pk.Acknowledged,
	})
}

// eject reports the host's state as zero for a while, so that it gets no new
// flows. The time doubles from minEjection to maxEjection; the next check-in ends
// it early.
func (ga *Gate) eject(now time.Time) {
	ga.ejectedUntil = now.Add(min(minEjection<<min(ga.ejections, 8), maxEjection))
	ga.ejections++
	ga.announceIfChanged(now)
}

// handleAnswer handles a packet from the host to a caller.
func (ga *Gate) handleAnswer(now time.Time, pk Packet) {
	hf, ok := ga.flows.get(now, pk.Flow)
	if !ok {
		if pk.Resets {
			return
		}
		hf = &hostFlow{flow: pk.Flow, stage: stageOpen}
		hf.exchange.host.start(pk.Sequence)
		if pk.Accepting {
			// The flow is not open yet: its caller may have opened it at another
			// host meanwhile.
			hf.stage = stagePending
		}
		ga.flows.put(now, pk.Flow, hf)
	}
	switch {
	case pk.Accepting:
		if hf.stage == stagePending || hf.stage >= stageTentative {
			hf.stage = stageAccepted
		}
		hf.initialSequence = pk.Sequence
		hf.exchange.host.start(pk.Sequence)
		ga.confirm(hf)
	case hf.stage >= stageTentative && !pk.Resets:
		hf.stage = stageOpen
		hf.exchange.host.start(pk.Sequence)
		ga.actions = append(ga.actions, Action{Kind: KindHeld, To: hf.balancer, Flow: pk.Flow, Acknowledged: pk.Sequence, Sure: true})
	}
	ga.trackAnswer(now, pk, hf)
}

func (ga *Gate) confirm(hf *hostFlow) {
	if hf.balancer.IsValid() {
		ga.actions = append(ga.actions, Action{Kind: KindConfirm, To: hf.balancer, Flow: hf.flow})
	}
}
