package carriage

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// nearWait is how long a search waits for the flow's candidates before it asks
	// all agents.
	nearWait = 6 * time.Millisecond
	// farWait is how long it waits for all agents.
	farWait = 20 * time.Millisecond
	// tryWait is how long it waits for a host that may hold the flow.
	tryWait = 12 * time.Millisecond
	// lostPause is how long packets of a flow that wasn't found are dropped
	// before the next one starts another search.
	lostPause = 100 * time.Millisecond
	// maxKept bounds the packets that wait for the end of a search: those that
	// a caller has in flight at once.
	maxKept = 16
	// maxSearches bounds the searches that go on at the same time.
	maxSearches = 1024
)

// search is the state of a search for a flow that the balancer doesn't know.
type search struct {
	round        int
	acknowledged uint32
	kept         [][]byte
	// doubtful are the agents that may hold the flow; excluded are those that
	// returned its packets.
	doubtful []netip.AddrPort
	excluded []netip.AddrPort
}

// keep holds a packet back until the flow is found.
func (se *search) keep(data []byte) {
	if len(se.kept) < maxKept {
		se.kept = append(se.kept, slices.Clone(data))
	}
}

// exclude takes an agent out that doesn't hold the flow.
func (se *search) exclude(address netip.AddrPort) {
	if !slices.Contains(se.excluded, address) {
		se.excluded = append(se.excluded, address)
	}
}

// startSearch asks where the flow of a packet is.
func (pl *Placer) startSearch(now time.Time, pk Packet, data []byte) {
	if len(pl.due.items) >= maxSearches {
		pl.drop(pk.Flow, ReasonFull, false)
		return
	}
	pa := &passage{flow: pk.Flow, opened: now, at: -1}
	pl.flows.put(now, pk.Flow, pa)
	pl.restartSearch(now, pa, pk, data)
}

// restartSearch asks again where a flow is.
func (pl *Placer) restartSearch(now time.Time, pa *passage, pk Packet, data []byte) {
	pa.phase = phaseSearching
	pa.agent = nil
	pa.search = search{acknowledged: pk.Acknowledged}
	pa.search.keep(data)
	pl.searchFurther(now, pa)
}

// searchFurther goes on to the next round of a search: the flow's candidates, all
// agents, then the hosts that may hold the flow.
func (pl *Placer) searchFurther(now time.Time, pa *passage) {
	pa.search.round++
	if pa.search.round == 1 && pl.ask(pa, pl.firstHolders(pa.flow)) > 0 {
		pl.wait(pa, now.Add(nearWait))
		return
	}
	if pa.search.round <= 2 {
		pa.search.round = 2
		pl.ask(pa, pl.holders(pa.flow))
		pl.wait(pa, now.Add(farWait))
		return
	}
	if ag := pl.nextDoubtful(pa); ag != nil {
		pl.carry(ag, pa.flow, pa.search.kept[0], Action{Mode: DeliverTentatively})
		pl.wait(pa, now.Add(tryWait))
		return
	}
	pa.phase = phaseLost
	pa.search = search{}
	pl.drop(pa.flow, ReasonNotFound, false)
	pl.wait(pa, now.Add(lostPause))
}

// ask sends the question to the agents and returns their number.
func (pl *Placer) ask(pa *passage, list []*agent) int {
	for _, ag := range list {
		pl.out = append(pl.out, Action{
			Kind: KindFind, To: ag.address, Flow: pa.flow, Acknowledged: pa.search.acknowledged,
		})
	}
	return len(list)
}

// firstHolders returns the agents among which the flow was placed first.
func (pl *Placer) firstHolders(flow Flow) []*agent {
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

// holders returns the agents that may hold the flow: those of the services of
// its address, or all if the address is unknown.
func (pl *Placer) holders(flow Flow) []*agent {
	var list []*agent
	if pl.routes != nil {
		for _, ws := range pl.routes.Addresses[flow.Service].Services {
			list = append(list, pl.pools[ws.Service]...)
		}
	}
	if len(list) > 0 {
		return list
	}
	for _, pool := range pl.pools {
		list = append(list, pool...)
	}
	slices.SortFunc(list, func(a, b *agent) int { return a.address.Compare(b.address) })
	return list
}

// nextDoubtful returns the next agent that may hold the flow.
func (pl *Placer) nextDoubtful(pa *passage) *agent {
	for len(pa.search.doubtful) > 0 {
		address := pa.search.doubtful[0]
		pa.search.doubtful = pa.search.doubtful[1:]
		if ag, ok := pl.agents[address]; ok && !slices.Contains(pa.search.excluded, address) {
			return ag
		}
	}
	return nil
}

// HandleFindAnswer takes an agent's answer: its host holds the flow or, unless sure, may
// hold it.
func (pl *Placer) HandleFindAnswer(now time.Time, from netip.AddrPort, flow Flow, sure bool) []Action {
	pl.out = pl.out[:0]
	ag, known := pl.agents[from]
	pa, ok := pl.flows.get(now, flow)
	if !ok || !known || pa.phase != phaseSearching && pa.phase != phaseLost {
		return pl.out
	}
	if !sure {
		if !slices.Contains(pa.search.doubtful, from) {
			pa.search.doubtful = append(pa.search.doubtful, from)
		}
		return pl.out
	}
	pl.cancel(pa)
	pa.phase = phaseLocated
	pa.agent = ag
	for _, data := range pa.search.kept {
		pl.carry(ag, flow, data, Action{Mode: UrgencyTake})
	}
	pa.search = search{}
	return pl.out
}
