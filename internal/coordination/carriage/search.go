package carriage

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// candidateWait is how long a search waits for the answers of the flow's
	// candidates before it asks all agents. It contains the time for which questions are
	// collected. The search goes on earlier when all have answered.
	candidateWait = questionInterval + 6*time.Millisecond
	// localAgentsWait is how long a search waits for the answers of the agents of the
	// balancer's own failure domain, allAgentsWait for those of all.
	localAgentsWait = questionInterval + 10*time.Millisecond
	allAgentsWait   = questionInterval + 20*time.Millisecond
	// tentativeWait is how long a search waits after the packet was sent to a host
	// that possibly holds the flow. A host that doesn't hold it returns the packet at
	// once; one that does may stay silent until it answers the request.
	tentativeWait = 40 * time.Millisecond
	// lostPause is how long packets of a flow that wasn't found are dropped. The
	// first one after that starts another search, which passes over the hosts that
	// declined the flow's packets before.
	lostPause = 100 * time.Millisecond
	// maxEarlyTries is the number of hosts that all searches for a flow together may send
	// its packet to within tentativeInterval before all agents have answered that may hold
	// it. Three packets of an open flow at other hosts within 2 s, and none at its own,
	// break the flow, and a search that misses the holder's answer tries the others.
	maxEarlyTries     = 2
	tentativeInterval = 2200 * time.Millisecond
	// askedBeforeTries is the number of agents up to which all are asked before a third
	// host is sent the packet, also if none of the candidates is certain. With more of them
	// the questions after a restart of everything cost more than the searches gain.
	askedBeforeTries = 64
	// sameRestart is the distance between incarnations, in milliseconds, up to which agents
	// count as restarted at the same time.
	sameRestart = 1000
	// possibleInterval is how long an agent that possibly holds the flow isn't asked again.
	// After a restart of many agents these are so many that their answers, to each copy of
	// each packet, would be most of the traffic.
	possibleInterval = 2 * time.Second
	// maxTentative is the number of hosts that a search sends the packet to after all
	// agents have answered, as one of those then holds the flow. maxUnlikely is the
	// number for hosts that are unlikely to hold it: after a loss of power these are up
	// to half of all, and each returns the packet within a few milliseconds.
	maxTentative = 8
	maxUnlikely  = 64
	// maxBuffered bounds the packets that are buffered for one search: as many as
	// a caller has in flight at once.
	maxBuffered = 16
	// maxSearches is the number of flows with a deadline, searches included, from
	// which on no search for an unknown flow is started.
	maxSearches = 1024
	// viewSettled is how long after its list of the members' entries a balancer's view
	// is complete: a process whose entry was just being written has greeted it by then.
	viewSettled = time.Second
)

// round is a step of a search. The rounds follow each other until the flow is
// found.
type round uint8

const (
	// roundCandidates asks the flow's candidates whether their hosts hold the flow or
	// possibly do.
	roundCandidates round = iota + 1
	// roundTryCandidates sends the packet to some of the candidates that possibly hold
	// the flow, one after the other.
	roundTryCandidates
	// roundLocal asks all agents of the service in the balancer's own failure domain.
	// Most flows are there.
	roundLocal
	// roundRemote asks the agents of the other failure domains.
	roundRemote
	// roundOtherServices asks the agents of all other services, while the balancer runs for
	// less than a flow's lifetime: it may not know a service that the flow's address had
	// before its start.
	roundOtherServices
	// roundTryAll sends the packet to the hosts that possibly hold the flow, and then to
	// those that are unlikely to.
	roundTryAll
	// roundConfirm asks the agents again that declined the packet: those whose hosts
	// have returned it now know that they don't hold the flow.
	roundConfirm
)

// tries reports whether the round sends the packet to one host after the other.
func (ro round) tries() bool { return ro == roundTryCandidates || ro == roundTryAll }

// FindRequest is a question to an agent that isn't known to take batches. An agent of a
// former build answers it only if its host holds the flow or, if Possible is set, possibly
// does.
type FindRequest struct {
	Flow         Flow
	Acknowledged uint32
	Possible     bool
	// Number is not zero if the balancer understands answers with it.
	Number uint32
}

func (fr FindRequest) question() Question {
	return Question{Flow: fr.Flow, Acknowledged: fr.Acknowledged}
}

// search is the state of a search for the agent of a flow.
type search struct {
	round        round
	acknowledged uint32
	buffered     [][]byte
	// absent are the agents that have said that their hosts don't hold the flow. It is
	// kept from one search for the flow to the next.
	absent absence.Proof
	// answered are the agents that have answered in this search; awaited are those whose
	// answers the round waits for.
	answered, awaited absence.Proof
	// askedAll are the agents that were asked after the candidates, in slices.
	askedAll absence.Proof
	// possible and unlikely are the agents whose hosts may hold the flow; excluded are
	// those that declined its packets, declined those of them since the last question.
	possible, unlikely []*agent
	excluded, declined []*agent
	// tentative is the number of hosts that the packet was sent to; trying is the
	// agent of the last one. tried are the times of the last such packets of all searches
	// for the flow, the oldest first.
	tentative int
	trying    netip.AddrPort
	tried     [maxEarlyTries]time.Time
	// possibleUntil is until when the lists possible and unlikely are kept for the next
	// search.
	possibleUntil time.Time
	// asked is the number of questions of all searches for the flow. turn is the position
	// among the searches that wait since waitsSince for their turn to ask, -1 if it isn't
	// there.
	asked      int
	turn       int
	waitsSince time.Time
	// begunAnew says that the candidates were asked again after the search had waited.
	begunAnew bool
	// resumes is, in phaseLost, the time from which a packet starts another search.
	resumes time.Time
}

// buffer stores a copy of a packet until the flow is found. Above maxBuffered
// the packet is lost.
func (se *search) buffer(data []byte) {
	if len(se.buffered) < maxBuffered {
		se.buffered = append(se.buffered, slices.Clone(data))
	}
}

// exclude notes that the agent declined a packet of the flow.
func (se *search) exclude(ag *agent) {
	if ag == nil {
		return
	}
	if !slices.Contains(se.excluded, ag) {
		se.excluded = append(se.excluded, ag)
	}
	if !slices.Contains(se.declined, ag) {
		se.declined = append(se.declined, ag)
	}
}

// setAnswer keeps the agent in the list of those that have given the answer.
func (se *search) setAnswer(ag *agent, an absence.Answer) {
	is := func(other *agent) bool { return other == ag }
	if se.round == roundConfirm && an != absence.Absent {
		// It wasn't the host that declined the packet.
		se.excluded = slices.DeleteFunc(se.excluded, is)
	}
	se.possible = slices.DeleteFunc(se.possible, is)
	se.unlikely = slices.DeleteFunc(se.unlikely, is)
	switch an {
	case absence.Absent:
		se.absent.Add(ag.number)
	case absence.Possible:
		se.possible = append(se.possible, ag)
	case absence.Unlikely:
		se.unlikely = append(se.unlikely, ag)
	}
}

// keepPossible takes over the agents whose hosts possibly hold the flow, and haven't been
// sent its packet, from an earlier search.
func (se *search) keepPossible(former *search) {
	se.possible, se.unlikely, se.possibleUntil = former.possible, former.unlikely, former.possibleUntil
	for _, ag := range append(slices.Clone(se.possible), se.unlikely...) {
		se.answered.Add(ag.number)
	}
}

// noteTry notes that the packet is sent to the agent's host.
func (se *search) noteTry(now time.Time, ag *agent) {
	copy(se.tried[:], se.tried[1:])
	se.tried[len(se.tried)-1] = now
	se.tentative++
	se.trying = ag.address
}

// handleSearchDecline handles a packet that an agent declined during a search. If
// the search waits for that agent it goes on.
func (pl *Placer) handleSearchDecline(now time.Time, tf *trackedFlow, from netip.AddrPort) {
	tf.search.exclude(pl.agents[from])
	if tf.search.round.tries() && tf.search.trying == from {
		pl.clearDeadline(tf)
		pl.nextRound(now, tf)
	}
}

// startSearch starts a search for the agent of a flow that the balancer doesn't
// know. It drops the packet if too many flows have a deadline.
func (pl *Placer) startSearch(now time.Time, pk Packet, data []byte) {
	if len(pl.due.items) >= maxSearches {
		pl.drop(pk.Flow, ReasonFull, false)
		return
	}
	tf := &trackedFlow{flow: pk.Flow, opened: now, number: pk.Sequence, index: -1}
	pl.flows.put(now, pk.Flow, tf)
	pl.restartSearch(now, tf, pk, data)
}

// restartSearch searches from the first round for the agent of a tracked flow. What
// agents have said about another flow between the same addresses is forgotten.
func (pl *Placer) restartSearch(now time.Time, tf *trackedFlow, pk Packet, data []byte) {
	former := tf.search
	pl.leaveTurns(tf)
	tf.search = &search{turn: -1}
	if se := tf.search; former != nil && (former.asked == 0 || near(former.acknowledged, pk.Acknowledged)) {
		se.absent, se.excluded, se.tried, se.asked = former.absent, former.excluded, former.tried, former.asked
		se.declined = former.declined
		if now.Before(former.possibleUntil) {
			se.keepPossible(former)
		}
	}
	tf.search.acknowledged = pk.Acknowledged
	tf.phase = phaseSearching
	tf.agent = nil
	tf.search.buffer(data)
	pl.nextRound(now, tf)
}

// nextRound starts the next round of a search, or the next attempt of a round that
// sends the packet to one host after the other.
func (pl *Placer) nextRound(now time.Time, tf *trackedFlow) {
	se := tf.search
	if se.round == 0 || se.round == roundCandidates || se.round == roundConfirm {
		se.round++
	}
	for ; se.round <= roundConfirm; se.round++ {
		if pl.startRound(now, tf) {
			return
		}
	}
	pl.endSearch(now, tf)
}

// endSearch ends a search that hasn't found the flow. The caller is reset if all agents
// have proved that no host holds the flow; otherwise the packets are dropped.
func (pl *Placer) endSearch(now time.Time, tf *trackedFlow) {
	pl.leaveTurns(tf)
	if pl.resetIfAbsent(now, tf) {
		return
	}
	se := tf.search
	tf.phase = phaseLost
	tf.search = &search{
		acknowledged: se.acknowledged, absent: se.absent, excluded: se.excluded, declined: se.declined,
		answered: se.answered, tried: se.tried, asked: se.asked, turn: -1, resumes: now.Add(lostPause),
	}
	tf.search.keepPossible(se)
	pl.drop(tf.flow, ReasonNotFound, false)
}

// startRound starts the round that the search has come to. It reports false if there is
// nothing to do in it.
func (pl *Placer) startRound(now time.Time, tf *trackedFlow) bool {
	if tf.search.round.tries() {
		return pl.tryNext(now, tf)
	}
	list := pl.toAsk(now, tf)
	if len(list) == 0 {
		return false
	}
	if pl.mayAsk(now, tf) {
		pl.askAll(now, tf, list)
		pl.awaitAnswers(now, tf)
	}
	return true
}

// toAsk returns the agents that the round asks: those that may hold the flow and haven't
// answered in this search, or said before that their hosts don't hold it.
func (pl *Placer) toAsk(now time.Time, tf *trackedFlow) []*agent {
	se := tf.search
	var list []*agent
	switch se.round {
	case roundCandidates:
		list = pl.candidateAgents(tf.flow)
	case roundLocal:
		list, _ = pl.possibleAgents(tf.flow)
	case roundRemote:
		_, list = pl.possibleAgents(tf.flow)
	case roundOtherServices:
		list = pl.agentsOfOtherServices(now, tf.flow)
	case roundConfirm:
		list = slices.Clone(se.declined)
	}
	list = slices.DeleteFunc(list, func(ag *agent) bool {
		done := se.answered.Has(ag.number) || se.round != roundCandidates && se.askedAll.Has(ag.number)
		return done && se.round != roundConfirm || se.absent.Has(ag.number) || pl.agents[ag.address] != ag
	})
	return list[:min(len(list), maxAskedAtOnce)]
}

// askAll asks each of the agents.
func (pl *Placer) askAll(now time.Time, tf *trackedFlow, list []*agent) {
	se := tf.search
	se.asked += len(list)
	if se.possibleUntil.IsZero() {
		se.possibleUntil = now.Add(possibleInterval)
	}
	se.awaited.Clear()
	if se.round == roundConfirm {
		se.declined = nil
	}
	for _, ag := range list {
		se.awaited.Add(ag.number)
		if se.round != roundCandidates {
			se.askedAll.Add(ag.number)
		}
		pl.sendQuestion(now, tf, ag)
	}
}

// awaitAnswers sets how long the round waits for the answers.
func (pl *Placer) awaitAnswers(now time.Time, tf *trackedFlow) {
	wait := allAgentsWait
	switch tf.search.round {
	case roundCandidates:
		wait = candidateWait
	case roundLocal:
		wait = localAgentsWait
	}
	pl.setDeadline(tf, now.Add(wait))
}

// tryNext sends the packet to the next host that possibly holds the flow. It reports
// false if there is none.
func (pl *Placer) tryNext(now time.Time, tf *trackedFlow) bool {
	se := tf.search
	var ag *agent
	complete := se.round == roundTryAll && pl.haveAnswered(now, se, pl.mayHold(now, tf.flow))
	if pl.mayTry(now, tf, complete) {
		ag = pl.nextPossible(se, &se.possible)
	}
	if ag == nil && len(se.possible) == 0 && complete && se.tentative < maxUnlikely {
		ag = pl.nextPossible(se, &se.unlikely)
	}
	if ag == nil {
		return false
	}
	se.noteTry(now, ag)
	pl.budget.Charge(now, datagramBytes+len(se.buffered[0]))
	pl.forward(ag, tf.flow, se.buffered[0], Action{Mode: DeliverTentatively})
	pl.setDeadline(tf, now.Add(tentativeWait))
	return true
}

// mayTry reports whether the search may send the packet to another host. Complete says
// that all agents have answered which may hold the flow.
func (pl *Placer) mayTry(now time.Time, tf *trackedFlow, complete bool) bool {
	se := tf.search
	switch {
	case complete:
		return se.tentative < maxTentative
	case se.round == roundTryAll:
		return false
	case !pl.haveAnswered(now, se, pl.candidateAgents(tf.flow)):
		// A candidate that isn't silent may hold the flow, and is asked again.
		return now.Sub(se.tried[maxEarlyTries-1]) >= tentativeInterval
	default:
		return now.Sub(se.tried[0]) >= tentativeInterval || se.tentative < localCandidates+remoteCandidates && pl.restartedTogether(now, tf)
	}
}

// restartedTogether reports whether none of the flow's candidates is certain, as far as
// they have answered: each has said that its host possibly holds the flow, or its host has
// returned the packet. Nearly all agents then say so, and to ask them takes hundreds of
// messages and leaves as many hosts to try.
func (pl *Placer) restartedTogether(now time.Time, tf *trackedFlow) bool {
	se := tf.search
	if len(pl.mayHold(now, tf.flow)) <= askedBeforeTries {
		return false
	}
	list := pl.candidateAgents(tf.flow)
	for _, ag := range list {
		tried := slices.Contains(se.excluded, ag) || se.trying == ag.address
		if !tried && !ag.suspect && !slices.Contains(se.possible, ag) {
			return false
		}
	}
	return len(list) > 0
}

// haveAnswered reports whether all of the agents that aren't silent have answered. One of
// a former build answers only if its host may hold the flow. An agent that was asked once
// and hasn't answered isn't silent: the question or the answer was lost, and the next round
// or the flow's next packet asks it again.
func (pl *Placer) haveAnswered(now time.Time, se *search, list []*agent) bool {
	for _, ag := range list {
		silent := ag.suspect || ag.outbox.former || ag.outbox.isSilent(now) || ag.report.State == register.StateGone
		if !silent && !se.absent.Has(ag.number) && !se.answered.Has(ag.number) {
			return false
		}
	}
	return true
}

// resetIfAbsent resets the caller if it is proved that no host holds the flow, and
// forgets the flow. An agent whose host has checked out need not answer. One that does, and
// doesn't say Absent, has a host that has started since.
func (pl *Placer) resetIfAbsent(now time.Time, tf *trackedFlow) bool {
	list := pl.mayHold(now, tf.flow)
	if !pl.viewComplete(now) || len(list) == 0 {
		return false
	}
	for _, ag := range list {
		if !tf.search.absent.Has(ag.number) && (ag.report.State != register.StateGone || tf.search.answered.Has(ag.number)) {
			return false
		}
	}
	pl.actions = append(pl.actions, Action{
		Kind: KindReset, Flow: tf.flow, Reason: ReasonNotHeld, Acknowledged: tf.search.acknowledged, Agents: len(list),
	})
	pl.forget(tf)
	return true
}

// MembersListed notes that the balancer has itself read the members' entries from the
// store.
func (pl *Placer) MembersListed(now time.Time) {
	if pl.listed.IsZero() {
		pl.listed = now
	}
}

// settleView resets, once the view is complete, the callers of flows whose absence was
// proved before.
func (pl *Placer) settleView(now time.Time) {
	if pl.settled || !pl.viewComplete(now) {
		return
	}
	pl.settled = true
	for el := pl.flows.order.Front(); el != nil; {
		next := el.Next()
		if tf := el.Value.(*recentEntry[*trackedFlow]).value; tf.phase == phaseLost {
			pl.resetIfAbsent(now, tf)
		}
		el = next
	}
}

// settlesAt returns when the view will be complete, zero if it is or no list was read.
func (pl *Placer) settlesAt() time.Time {
	if pl.settled || pl.listed.IsZero() || pl.routes == nil {
		return time.Time{}
	}
	return pl.listed.Add(viewSettled)
}

// viewComplete reports whether the balancer knows all agents that may have hosts with
// flows. With older routes than an agent's it may not know that an address was given to
// another service, whose hosts hold flows by now.
func (pl *Placer) viewComplete(now time.Time) bool {
	return !pl.listed.IsZero() && now.Sub(pl.listed) >= viewSettled && pl.routes != nil && pl.routes.Version >= pl.newestVersion
}

// mayHold returns the agents whose hosts may hold the flow, as far as the balancer knows
// without their answers.
func (pl *Placer) mayHold(now time.Time, flow Flow) []*agent {
	local, remote := pl.possibleAgents(flow)
	return append(append(local, remote...), pl.agentsOfOtherServices(now, flow)...)
}

// candidateAgents returns the flow's candidates of all services of its address.
func (pl *Placer) candidateAgents(flow Flow) []*agent {
	if pl.routes == nil {
		return nil
	}
	var list []*agent
	for _, ws := range pl.routes.Addresses[flow.Service].Services {
		ca := pl.candidatesOf(flow, ws.Service)
		list = append(list, ca.list()...)
	}
	return list
}

// possibleAgents returns the agents whose hosts may hold the flow, those of the
// balancer's own failure domain apart: the agents of the services of its address and those
// whose service isn't known yet, or all agents if none is known for the address.
func (pl *Placer) possibleAgents(flow Flow) (local, remote []*agent) {
	var list []*agent
	if pl.routes != nil {
		for _, ws := range pl.routes.Addresses[flow.Service].Services {
			list = append(list, pl.pools[ws.Service]...)
		}
	}
	if len(list) == 0 {
		for _, pool := range pl.pools {
			list = append(list, pool...)
		}
		slices.SortFunc(list, func(a, b *agent) int { return a.address.Compare(b.address) })
	} else {
		// An agent that has just started doesn't know its host's service.
		list = append(list, pl.pools[""]...)
	}
	for _, ag := range list {
		if ag.domain == pl.domain {
			local = append(local, ag)
		} else {
			remote = append(remote, ag)
		}
	}
	return local, remote
}

// agentsOfOtherServices returns the agents of the services that the flow's address is not
// known to have had, while the balancer runs for less than a flow's lifetime. It returns
// none if the address has no route, as possibleAgents returns all then.
func (pl *Placer) agentsOfOtherServices(now time.Time, flow Flow) []*agent {
	if pl.routes == nil || now.Sub(pl.started) >= pl.lifetime {
		return nil
	}
	ro, ok := pl.routes.Addresses[flow.Service]
	if !ok {
		return nil
	}
	var list []*agent
	for service, pool := range pl.pools {
		if service != "" && !ro.Services.Names(service) {
			list = append(list, pool...)
		}
	}
	slices.SortFunc(list, func(a, b *agent) int { return a.address.Compare(b.address) })
	return list
}

// nextPossible removes and returns the next agent of the list whose host didn't decline
// the flow's packets, nil if none is left. The agents that were restarted last come first:
// the others have learned most flows that are in use at their hosts.
func (pl *Placer) nextPossible(se *search, list *[]*agent) *agent {
	*list = slices.DeleteFunc(*list, func(ag *agent) bool {
		return pl.agents[ag.address] != ag || slices.Contains(se.excluded, ag)
	})
	if len(*list) == 0 {
		return nil
	}
	last := uint64(0)
	for _, ag := range *list {
		last = max(last, ag.revision.Incarnation)
	}
	best := -1
	for i, ag := range *list {
		if last-ag.revision.Incarnation > sameRestart {
			continue
		}
		if best < 0 || ag.domain == pl.domain && (*list)[best].domain != pl.domain {
			best = i
		}
	}
	ag := (*list)[best]
	*list = slices.Delete(*list, best, best+1)
	return ag
}

// HandleFindAnswer handles an answer of an agent of a former build: its host holds
// the flow or, unless sure, possibly holds it.
func (pl *Placer) HandleFindAnswer(now time.Time, from netip.AddrPort, flow Flow, sure bool) []Action {
	pl.actions = pl.actions[:0]
	ag, known := pl.agents[from]
	tf, ok := pl.flows.get(now, flow)
	if !ok || !known || tf.search == nil {
		return pl.actions
	}
	if sure {
		pl.noteAnswer(now, tf, ag, absence.Held)
	} else {
		pl.noteAnswer(now, tf, ag, absence.Possible)
	}
	return pl.actions
}

// noteAnswer notes an agent's answer about a flow. The search goes on if all agents that
// were asked have answered.
func (pl *Placer) noteAnswer(now time.Time, tf *trackedFlow, ag *agent, an absence.Answer) {
	se := tf.search
	if tf.phase != phaseSearching && tf.phase != phaseLost {
		return
	}
	if an == absence.Held {
		pl.locate(tf, ag)
		return
	}
	se.setAnswer(ag, an)
	se.answered.Add(ag.number)
	se.awaited.Remove(ag.number)
	switch {
	case tf.phase == phaseLost:
		pl.resetIfAbsent(now, tf)
	case !se.round.tries() && se.turn < 0 && se.awaited.Len() == 0:
		pl.clearDeadline(tf)
		pl.nextRound(now, tf)
	}
}

// locate ends a search: the agent's host holds the flow.
func (pl *Placer) locate(tf *trackedFlow, ag *agent) {
	pl.leaveTurns(tf)
	pl.clearDeadline(tf)
	tf.phase = phaseLocated
	tf.agent = ag
	tf.established = true
	for i, data := range tf.search.buffered {
		pl.forward(ag, tf.flow, data, Action{Mode: DeliverOrQueue, Found: i == 0})
	}
	tf.search = nil
}
