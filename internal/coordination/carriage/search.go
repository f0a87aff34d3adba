package carriage

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// candidateWait is how long a search waits for the answers of the flow's
	// candidates before it asks all agents.
	candidateWait = 6 * time.Millisecond
	// localAgentsWait is how long a search waits for the answers of the agents of the
	// balancer's own failure domain, allAgentsWait for those of all.
	localAgentsWait = 10 * time.Millisecond
	allAgentsWait   = 20 * time.Millisecond
	// tentativeWait is how long a search waits after the packet was sent to a host
	// that possibly holds the flow. A host that doesn't hold it returns the packet at
	// once; one that does may stay silent until it answers the request.
	tentativeWait = 40 * time.Millisecond
	// lostPause is how long packets of a flow that wasn't found are dropped. The
	// first one after that starts another search, which passes over the hosts that
	// declined the flow's packets before.
	lostPause = 100 * time.Millisecond
	// possibleInterval is the least time between two searches for one flow that ask
	// all agents for hosts that possibly hold it.
	possibleInterval = 2 * time.Second
	// maxTentative is the number of hosts that a search sends the packet to without
	// knowing that they hold the flow, maxTentativeCandidates that before all agents
	// were asked.
	maxTentative           = 8
	maxTentativeCandidates = 2
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
	// roundLocal asks all agents of the service in the balancer's own failure domain
	// whether their hosts hold the flow, and in a repeated search also whether they
	// possibly do. Most flows are there, and a balancer with a slow network could not
	// ask everyone about each flow after a change of the fabric's choice.
	roundLocal
	// roundRemote asks the agents of the other failure domains.
	roundRemote
	// roundOtherServices asks the agents of all other services, while the balancer runs for
	// less than a flow's lifetime: it may not know a service that the flow's address had
	// before its start. Agents claim a flow only if their host holds it, or if they know
	// that the address belonged to their service.
	roundOtherServices
	// roundTryOtherCandidates sends the packet to the rest of the candidates that
	// possibly hold the flow.
	roundTryOtherCandidates
	// roundAllPossible asks all agents whose hosts possibly hold the flow, if a candidate
	// possibly does: after a restart of many agents these are so many that they are asked
	// last and seldom.
	roundAllPossible
	// roundTryAll sends the packet to those.
	roundTryAll
)

// tries reports whether the round sends the packet to one host after the other.
func (ro round) tries() bool {
	return ro == roundTryCandidates || ro == roundTryOtherCandidates || ro == roundTryAll
}

// FindRequest asks an agent whether its host holds a flow.
type FindRequest struct {
	Flow Flow
	// Acknowledged is the sequence number of the next byte that the caller waits for.
	Acknowledged uint32
	// Possible says that the agent is to answer also if its host only possibly holds
	// the flow.
	Possible bool
}

// search is the state of a search for the agent of a flow.
type search struct {
	round        round
	acknowledged uint32
	buffered     [][]byte
	// possible are the agents whose hosts possibly hold the flow; excluded are
	// those that declined its packets.
	possible []netip.AddrPort
	excluded []netip.AddrPort
	// tentative is the number of hosts that the packet was sent to; trying is the
	// agent of the last one.
	tentative int
	trying    netip.AddrPort
	// doubted says that an agent possibly holds the flow, repeated that the last search
	// didn't find it.
	doubted, repeated bool
	// withPossible says that roundLocal and roundRemote ask for possible holders too.
	withPossible bool
	// resumes is, in phaseLost, the time from which a packet starts another search;
	// askPossible is when roundAllPossible may come next.
	// askOthers is the same for roundOtherServices.
	resumes, askPossible, askOthers time.Time
}

// buffer stores a copy of a packet until the flow is found. Above maxBuffered
// the packet is lost.
func (se *search) buffer(data []byte) {
	if len(se.buffered) < maxBuffered {
		se.buffered = append(se.buffered, slices.Clone(data))
	}
}

// exclude notes that the agent's host doesn't hold the flow.
func (se *search) exclude(address netip.AddrPort) {
	if !slices.Contains(se.excluded, address) {
		se.excluded = append(se.excluded, address)
	}
}

// mayAskPossible reports whether all agents may be asked for possible holders now. If
// so, they may not for possibleInterval.
func (se *search) mayAskPossible(now time.Time) bool { return postpone(now, &se.askPossible) }

// mayAskOthers reports the same for the agents of other services.
func (se *search) mayAskOthers(now time.Time) bool { return postpone(now, &se.askOthers) }

// postpone reports whether the time has come, and then moves it to possibleInterval from
// now.
func postpone(now time.Time, at *time.Time) bool {
	if now.Before(*at) {
		return false
	}
	*at = now.Add(possibleInterval)
	return true
}

// handleSearchDecline handles a packet that an agent declined during a search. If
// the search waits for that agent it goes on.
func (pl *Placer) handleSearchDecline(now time.Time, tf *trackedFlow, from netip.AddrPort) {
	tf.search.exclude(from)
	if tf.search.trying == from {
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

// restartSearch searches from the first round for the agent of a tracked flow.
func (pl *Placer) restartSearch(now time.Time, tf *trackedFlow, pk Packet, data []byte) {
	tf.search = search{
		acknowledged: pk.Acknowledged, excluded: tf.search.excluded, askPossible: tf.search.askPossible,
		askOthers: tf.search.askOthers, repeated: tf.phase == phaseLost,
	}
	tf.phase = phaseSearching
	tf.agent = nil
	tf.search.buffer(data)
	pl.nextRound(now, tf)
}

// nextRound starts the next round of a search, or the next attempt of a round that
// sends the packet to one host after the other.
func (pl *Placer) nextRound(now time.Time, tf *trackedFlow) {
	se := &tf.search
	if !se.round.tries() {
		se.round++
	}
	for ; se.round <= roundTryAll; se.round++ {
		if wait := pl.startRound(now, tf); wait > 0 {
			pl.setDeadline(tf, now.Add(wait))
			return
		}
	}
	tf.phase = phaseLost
	tf.search = search{
		excluded: se.excluded, askPossible: se.askPossible, askOthers: se.askOthers, resumes: now.Add(lostPause),
	}
	pl.drop(tf.flow, ReasonNotFound, false)
}

// startRound starts the round that the search has come to and returns how long to
// wait for its result, zero if there is nothing to do in it.
func (pl *Placer) startRound(now time.Time, tf *trackedFlow) time.Duration {
	se := &tf.search
	switch se.round {
	case roundCandidates:
		if pl.ask(tf, pl.candidateAgents(tf.flow), true) > 0 {
			return candidateWait
		}
	case roundLocal:
		se.withPossible = se.repeated && se.mayAskPossible(now)
		local, _ := pl.possibleAgents(tf.flow)
		if pl.ask(tf, local, se.withPossible) > 0 {
			return localAgentsWait
		}
	case roundRemote:
		_, remote := pl.possibleAgents(tf.flow)
		if pl.ask(tf, remote, se.withPossible) > 0 {
			return allAgentsWait
		}
	case roundOtherServices:
		if others := pl.agentsOfOtherServices(now, tf.flow); len(others) > 0 && se.mayAskOthers(now) {
			pl.ask(tf, others, true)
			return allAgentsWait
		}
	case roundAllPossible:
		if !se.doubted || !se.mayAskPossible(now) {
			break
		}
		local, remote := pl.possibleAgents(tf.flow)
		if pl.ask(tf, local, true)+pl.ask(tf, remote, true) > 0 {
			return allAgentsWait
		}
	default:
		if se.tentative >= maxTentative || se.round == roundTryCandidates && se.tentative >= maxTentativeCandidates {
			break
		}
		ag := pl.nextPossible(tf)
		if ag == nil {
			break
		}
		se.tentative++
		se.trying = ag.address
		pl.forward(ag, tf.flow, se.buffered[0], Action{Mode: DeliverTentatively})
		return tentativeWait
	}
	return 0
}

// ask asks each of the agents and returns their number. Agents that have declined
// the flow's packets are asked only whether their hosts hold the flow.
func (pl *Placer) ask(tf *trackedFlow, list []*agent, possible bool) int {
	for _, ag := range list {
		pl.actions = append(pl.actions, Action{
			Kind: KindFind, To: ag.address, Flow: tf.flow, Acknowledged: tf.search.acknowledged,
			Possible: possible && !slices.Contains(tf.search.excluded, ag.address),
		})
	}
	return len(list)
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
// balancer's own failure domain apart: the agents of the services of its address, or
// all agents if none is known for the address.
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
// known to have had. It returns none once the balancer has run for a flow's lifetime, as
// it then knows them all.
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
		if !ro.Services.Names(service) {
			list = append(list, pool...)
		}
	}
	slices.SortFunc(list, func(a, b *agent) int { return a.address.Compare(b.address) })
	return list
}

// nextPossible removes and returns the next agent whose host possibly holds the
// flow and that wasn't excluded, nil if none is left.
func (pl *Placer) nextPossible(tf *trackedFlow) *agent {
	for len(tf.search.possible) > 0 {
		address := tf.search.possible[0]
		tf.search.possible = tf.search.possible[1:]
		if ag, ok := pl.agents[address]; ok && !slices.Contains(tf.search.excluded, address) {
			return ag
		}
	}
	return nil
}

// HandleFindAnswer handles an agent's answer to a find message: its host holds
// the flow or, unless sure, possibly holds it.
func (pl *Placer) HandleFindAnswer(now time.Time, from netip.AddrPort, flow Flow, sure bool) []Action {
	pl.actions = pl.actions[:0]
	ag, known := pl.agents[from]
	tf, ok := pl.flows.get(now, flow)
	if !ok || !known || tf.phase != phaseSearching && tf.phase != phaseLost {
		return pl.actions
	}
	if !sure {
		tf.search.doubted = true
		if !slices.Contains(tf.search.possible, from) {
			tf.search.possible = append(tf.search.possible, from)
		}
		return pl.actions
	}
	pl.clearDeadline(tf)
	tf.phase = phaseLocated
	tf.agent = ag
	tf.established = true
	for _, data := range tf.search.buffered {
		pl.forward(ag, flow, data, Action{Mode: DeliverOrQueue})
	}
	tf.search = search{}
	return pl.actions
}
