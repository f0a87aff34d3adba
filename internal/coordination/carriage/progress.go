package carriage

import "time"

// workTimeout is how long a flow without packets counts as active.
const workTimeout = 2 * time.Second

// setWorking sets whether the flow counts as in progress: its opening or its
// request was delivered and isn't answered.
func (ga *Gate) setWorking(now time.Time, hf *hostFlow, working bool) {
	if !working {
		ga.removeWork(now, hf)
	}
	if hf.working != working {
		hf.working = working
		if working {
			ga.inProgress++
		} else {
			ga.inProgress--
		}
	}
	ga.updateActive(now, hf)
}

// setAnswering sets whether the host has sent data that the caller has not
// acknowledged.
func (ga *Gate) setAnswering(now time.Time, hf *hostFlow, answering bool) {
	hf.answering = answering
	ga.updateActive(now, hf)
}

// endProgress ends the request and the answer of the flow, if any.
func (ga *Gate) endProgress(now time.Time, hf *hostFlow) {
	ga.setWorking(now, hf, false)
	ga.setAnswering(now, hf, false)
}

// updateActive keeps the flow in the list of active flows while it is in progress
// or answering.
func (ga *Gate) updateActive(now time.Time, hf *hostFlow) {
	switch active := hf.working || hf.answering; {
	case active && hf.element == nil:
		hf.touched = now
		hf.element = ga.active.PushBack(hf)
	case !active && hf.element != nil:
		ga.active.Remove(hf.element)
		hf.element = nil
	}
}

// touch notes a packet of the flow.
func (ga *Gate) touch(now time.Time, hf *hostFlow) {
	hf.touched = now
	if hf.element != nil {
		ga.active.MoveToBack(hf.element)
	}
}

// expireActive ends the progress of flows without packets for workTimeout.
func (ga *Gate) expireActive(now time.Time) {
	for el := ga.active.Front(); el != nil; el = ga.active.Front() {
		hf := el.Value.(*hostFlow)
		if now.Sub(hf.touched) < workTimeout {
			return
		}
		hf.exchange.requested = time.Time{}
		ga.endProgress(now, hf)
	}
}

// trackRequest updates the flow by a caller's packet that is delivered to the host.
func (ga *Gate) trackRequest(now time.Time, pk Packet, hf *hostFlow) {
	ga.touch(now, hf)
	ex := &hf.exchange
	if ex.host.acknowledgedBy(pk.Acknowledged) {
		ga.setAnswering(now, hf, false)
	}
	if pk.Resets {
		ga.setWorking(now, hf, false)
		return
	}
	if !ex.caller.advance(pk) {
		return
	}
	if ex.requested.IsZero() {
		ex.requested = now
		ga.beginWork(now, pk, hf)
		if ex.answers > 0 {
			// The caller sends another request, so it has the whole last answer.
			ga.answerEnded()
		}
	}
	ga.setWorking(now, hf, true)
}

// trackAnswer updates the flow by a packet of the host to the caller.
func (ga *Gate) trackAnswer(now time.Time, pk Packet, hf *hostFlow) {
	ga.touch(now, hf)
	if hf.exchange.host.advance(pk) {
		ga.answerBegan(now, hf)
	}
	if pk.Resets && (hf.working || hf.answering) {
		ga.answerBroken(now)
	}
	if pk.Finishes {
		ga.answerEnded()
	}
	if pk.Finishes || pk.Resets {
		hf.closed = true
		ga.setWorking(now, hf, false)
	}
	if pk.Resets {
		ga.setAnswering(now, hf, false)
	}
}

// answerBegan notes that the host has answered the flow's request with data.
func (ga *Gate) answerBegan(now time.Time, hf *hostFlow) {
	ex := &hf.exchange
	if hf.working && !ex.requested.IsZero() {
		took := now.Sub(ex.requested)
		ga.requests.add(now, took)
		ga.finishWork(now, hf)
		if ex.answers == 0 && !hf.opened.IsZero() {
			ga.queue.service.add(now, now.Sub(hf.opened))
		}
		if ex.answers > 0 {
			ga.expected.add(now, took)
		}
		ex.answers++
		ga.announceIfSlower(now)
		ga.actions = append(ga.actions, Action{Kind: KindServed, Flow: hf.flow, Started: ex.requested})
	}
	ex.requested = time.Time{}
	ga.setWorking(now, hf, false)
	ga.setAnswering(now, hf, true)
}

// answerEnded notes that the host has sent a whole answer. This clears the counts
// of resets and ejections.
func (ga *Gate) answerEnded() {
	ga.resets = 0
	ga.ejections = 0
}

// answerBroken counts consecutive resets of active flows by the host and ejects the
// host from resetsToEject on.
func (ga *Gate) answerBroken(now time.Time) {
	ga.resets++
	if ga.resets >= resetsToEject {
		ga.eject(now)
	}
}

// announceIfSlower announces the report if the average time of a request has
// changed much and the last announcement is at least serviceTimeAnnounce ago.
func (ga *Gate) announceIfSlower(now time.Time) {
	if serviceTimeChanged(ga.announced.ServiceTime, ga.requests.value()) && now.Sub(ga.announcedAt) >= serviceTimeAnnounce {
		ga.announce(now)
	}
}
