package carriage

import "time"

// HandleHostPacket takes a packet that the host sends.
func (ga *Gate) HandleHostPacket(now time.Time, pk Packet, data []byte) []Action {
	ga.out = ga.out[:0]
	wasSilent := ga.silent
	ga.sign(now)
	if wasSilent {
		ga.announce(now)
	}
	if pk.Returned {
		ga.returned(now, pk, data)
		ga.serveQueue(now)
		return ga.out
	}
	ga.answered(now, pk)
	ga.out = append(ga.out, Action{Kind: KindReturn, Flow: pk.Flow, Data: data})
	ga.serveQueue(now)
	return ga.out
}

// returned handles a caller's packet that the host handed back.
func (ga *Gate) returned(now time.Time, pk Packet, data []byte) {
	el, ok := ga.flows.entries[pk.Flow]
	if !ok {
		ga.out = append(ga.out, Action{Kind: KindDrop, Flow: pk.Flow, Reason: ReasonNotHeld})
		return
	}
	ho := el.Value.(*used[*holding]).value
	re := ReasonNotHeld
	if ho.stage == stageOpen {
		re = ReasonHostLost
	}
	if pk.Opening {
		re = ReasonHostRefused
		ga.takeOut(now)
	}
	ga.setWorking(ho, false)
	ho.stage = stageAbsent
	if re == ReasonHostLost {
		ho.stage = stageLost
	}
	ga.out = append(ga.out, Action{
		Kind: KindDecline, To: ho.balancer, Flow: pk.Flow, Data: data, Reason: re, Opening: pk.Opening,
	})
}

// takeOut gives a host that fails flows none for a while.
func (ga *Gate) takeOut(now time.Time) {
	ga.refusedUntil = now.Add(min(firstRefusal<<min(ga.refusals, 8), lastRefusal))
	ga.refusals++
	ga.announce(now)
}

// judge learns from how the host ended a flow that was in progress.
func (ga *Gate) judge(now time.Time, pk Packet) {
	if pk.Finishes {
		ga.broken = 0
		ga.refusals = 0
		return
	}
	ga.broken++
	if ga.broken >= leastBroken {
		ga.takeOut(now)
	}
}

// learn takes how long a request took and spreads it if that changed much.
func (ga *Gate) learn(now time.Time, took time.Duration) {
	ga.queue.service.add(now, took)
	if changed(ga.told.ServiceTime, ga.queue.service.value()) && now.Sub(ga.toldAt) >= serviceTimeAnnounce {
		ga.tell(now)
	}
}

// answered learns from a packet of the host to a caller.
func (ga *Gate) answered(now time.Time, pk Packet) {
	ho, ok := ga.flows.get(now, pk.Flow)
	if !ok {
		if pk.Resets {
			return
		}
		ho = &holding{flow: pk.Flow, stage: stageOpen}
		if pk.Accepting {
			// The caller may have opened the flow at another host meanwhile.
			ho.stage = stageOffered
		}
		ga.flows.put(now, pk.Flow, ho)
	}
	switch {
	case pk.Accepting:
		if ho.stage == stageOffered || ho.stage >= stageTried {
			ho.stage = stageAccepted
		}
		ho.first = pk.Sequence
		ga.confirm(ho)
	case ho.stage >= stageTried && !pk.Resets:
		ho.stage = stageOpen
		ga.out = append(ga.out, Action{Kind: KindHeld, To: ho.balancer, Flow: pk.Flow, Sure: true})
	}
	if pk.Finishes || pk.Resets {
		if ho.working {
			ga.judge(now, pk)
		}
		if ho.working && !ho.opened.IsZero() {
			ga.learn(now, now.Sub(ho.opened))
			ga.out = append(ga.out, Action{Kind: KindServed, Flow: pk.Flow, Started: ho.opened})
		}
		ga.setWorking(ho, false)
	}
}

func (ga *Gate) confirm(ho *holding) {
	if ho.balancer.IsValid() {
		ga.out = append(ga.out, Action{Kind: KindConfirm, To: ho.balancer, Flow: ho.flow})
	}
}
