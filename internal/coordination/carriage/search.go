package carriage

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
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
	// lostPause is how long packets of a flow that wasn't found are dropped. The
	// first one after that starts another search, which passes over the hosts that
	// declined the flow's packets before.
	lostPause = 100 * time.Millisecond
	// possibleInterval is how long an agent that possibly holds the flow isn't asked again.
	// After a restart of many agents these are so many that their answers, to each copy of
	// each packet, would be most of the traffic.
	possibleInterval = 2 * time.Second
	// maxBuffered bounds the packets that are buffered for one search: as many as
	// a caller has in flight at once.
	maxBuffered = 16
	// maxSearches is the number of flows with a deadline, searches included, from
	// which on no search for an unknown flow is started.
	maxSearches = 1024
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
	// roundOtherServices asks the agents of all other services, while the balancer may not
	// know a service that the flow's address has or had.
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
	round round
	// early says that this is the check of a flow that isn't in use.
	early bool
	// began is when the first search for the flow began.
	began        time.Time
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
	excluded           []exclusion
	declined           []*agent
	// tentative is the number of hosts that the packet was sent to; trying is the
	// agent of the last one. tried are the times of the last such packets of all searches
	// for the flow, the oldest first.
	tentative int
	trying    netip.AddrPort
	tried     [maxEarlyTries]time.Time
	// triedPackets are the times at which the last packets of the flow were sent to hosts,
	// the oldest first. packetTried says that the packet that is searched for is among them.
	triedPackets [maxTriedPackets]time.Time
	packetTried  bool
	// complete says that all agents have answered, in this search or before, that may hold
	// the flow and aren't silent. reachesHolder says that the packet can be sent to all hosts
	// that are left, and that no agent is silent.
	complete, reachesHolder bool
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

// setAnswer keeps the agent in the list of those that have given the answer.
func (se *search) setAnswer(ag *agent, an absence.Answer) {
	is := func(other *agent) bool { return other == ag }
	if se.round == roundConfirm && an != absence.Absent {
		// It wasn't the host that declined the packet.
		se.excluded = slices.DeleteFunc(se.excluded, func(ex exclusion) bool { return ex.agent == ag })
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

// startSearch starts a search for the agent of a flow that the balancer doesn't
// know. It drops the packet if too many flows have a deadline.
func (pl *Placer) startSearch(now time.Time, pk Packet, data []byte) {
	if len(pl.due.items) >= maxSearches {
		pl.drop(pk.Flow, ReasonFull, false)
		return
	}
	tf := &trackedFlow{flow: pk.Flow, opened: now, number: pk.Sequence, index: -1}
	tf.noteAcknowledged(pk)
	pl.flows.put(now, pk.Flow, tf)
	pl.restartSearch(now, tf, pk, data)
}

// restartSearch searches from the first round for the agent of a tracked flow. What
// agents have said about another flow between the same addresses is forgotten.
func (pl *Placer) restartSearch(now time.Time, tf *trackedFlow, pk Packet, data []byte) {
	former := tf.search
	pl.leaveTurns(tf)
	tf.search = &search{turn: -1, began: now}
	if se := tf.search; former != nil && (former.asked == 0 || near(former.acknowledged, pk.Acknowledged)) {
		se.absent, se.excluded, se.tried, se.asked = former.absent, former.excluded, former.tried, former.asked
		se.declined = former.declined
		se.triedPackets, se.packetTried = former.triedPackets, former.packetTried
		if now.Before(former.possibleUntil) {
			se.keepPossible(former)
		}
		if near(former.acknowledged, pk.Acknowledged) {
			se.began = former.began
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
		began: se.began, acknowledged: se.acknowledged, absent: se.absent, excluded: se.excluded, declined: se.declined,
		answered: se.answered, tried: se.tried, triedPackets: se.triedPackets, asked: se.asked, turn: -1,
		resumes: now.Add(lostPause),
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
		list = pl.agentsOfOtherServices(now, tf)
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
	if tf.phase == phaseLocated && se.early {
		pl.noteEarlyAnswer(now, tf, ag, an)
		return
	}
	if tf.phase != phaseSearching && tf.phase != phaseLost {
		return
	}
	if an.IsAbsent() {
		an = absence.Absent
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
