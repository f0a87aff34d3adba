package carriage

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// tentativeWait is how long a search waits after the packet was sent to a host
	// that possibly holds the flow. A host that doesn't hold it returns the packet at
	// once; one that does may stay silent until it answers the request.
	tentativeWait = 40 * time.Millisecond
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
	// maxTentative is the number of hosts that a search sends the packet to after all
	// agents have answered, as one of those then holds the flow. Each of the others
	// returns the packet within a few milliseconds.
	maxTentative = 64
	// maxTriedPackets is the number of a flow's packets that all searches for it send to
	// hosts within tentativeInterval. Each packet may go to several hosts.
	maxTriedPackets = 2
)

// exclusion is an agent that declined a packet of a flow. It lapses when the agent
// restarts: the new process doesn't know that its host returned the packet, and answers
// Possible until the host has returned another one.
type exclusion struct {
	agent       *agent
	incarnation uint64
}

// excludes reports whether the agent's present process has declined the flow's packets.
func (se *search) excludes(ag *agent) bool {
	return slices.Contains(se.excluded, exclusion{agent: ag, incarnation: ag.revision.Incarnation})
}

// exclude notes that the agent declined a packet of the flow.
func (se *search) exclude(ag *agent) {
	if ag == nil {
		return
	}
	if !se.excludes(ag) {
		se.excluded = append(se.excluded, exclusion{agent: ag, incarnation: ag.revision.Incarnation})
	}
	if !slices.Contains(se.declined, ag) {
		se.declined = append(se.declined, ag)
	}
}

// noteTry notes that the packet is sent to the agent's host.
func (se *search) noteTry(now time.Time, ag *agent) {
	copy(se.tried[:], se.tried[1:])
	se.tried[len(se.tried)-1] = now
	se.tentative++
	se.trying = ag.address
	se.notePacketTried(now)
}

// notePacketTried notes that the packet that is searched for is sent to a host.
func (se *search) notePacketTried(now time.Time) {
	if !se.packetTried {
		copy(se.triedPackets[:], se.triedPackets[1:])
		se.packetTried = true
	}
	se.triedPackets[maxTriedPackets-1] = now
}

// mayTryPacket reports whether the packet that is searched for may be sent to a host: it
// was already, or fewer than maxTriedPackets others were within tentativeInterval.
func (se *search) mayTryPacket(now time.Time) bool {
	return se.packetTried || now.Sub(se.triedPackets[0]) >= tentativeInterval
}

// reachesAll reports whether the packet can be sent to all hosts that may hold the flow, so
// that it reaches the flow's own: the agents have answered, also those that seem silent.
func (se *search) reachesAll(list []*agent) bool {
	for _, ag := range list {
		if !se.absent.Has(ag.number) && !se.answered.Has(ag.number) && ag.report.State != register.StateGone {
			return false
		}
	}
	return len(se.possible)+len(se.unlikely) <= maxTentative-se.tentative
}

// tryNext sends the packet to the next host that possibly holds the flow. It reports
// false if there is none.
func (pl *Placer) tryNext(now time.Time, tf *trackedFlow) bool {
	se := tf.search
	if se.round == roundTryAll && !se.complete {
		list := pl.mayHold(now, tf)
		se.complete = pl.haveAnswered(now, se, list)
		se.reachesHolder = se.complete && se.reachesAll(list)
	}
	if !se.mayTryPacket(now) && !se.reachesHolder || !pl.mayTry(now, tf) {
		return false
	}
	ag := pl.nextPossible(se, &se.possible)
	if ag == nil && se.complete {
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

// mayTry reports whether the search may send the packet to another host.
func (pl *Placer) mayTry(now time.Time, tf *trackedFlow) bool {
	se := tf.search
	switch {
	case se.complete:
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
	if len(pl.mayHold(now, tf)) <= askedBeforeTries {
		return false
	}
	list := pl.candidateAgents(tf.flow)
	for _, ag := range list {
		tried := se.excludes(ag) || se.trying == ag.address
		if !tried && !ag.suspect && !slices.Contains(se.possible, ag) {
			return false
		}
	}
	return len(list) > 0
}

// nextPossible removes and returns the next agent of the list whose host didn't decline
// the flow's packets, nil if none is left. The agents that were restarted last come first:
// the others have learned most flows that are in use at their hosts.
func (pl *Placer) nextPossible(se *search, list *[]*agent) *agent {
	*list = slices.DeleteFunc(*list, func(ag *agent) bool {
		return pl.agents[ag.address] != ag || se.excludes(ag)
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

// handleSearchDecline handles a packet that an agent declined during a search. If
// the search waits for that agent it goes on.
func (pl *Placer) handleSearchDecline(now time.Time, tf *trackedFlow, from netip.AddrPort) {
	tf.search.exclude(pl.agents[from])
	if tf.search.round.tries() && tf.search.trying == from {
		pl.clearDeadline(tf)
		pl.nextRound(now, tf)
	}
}
