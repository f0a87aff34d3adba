package carriage

import (
	"net/netip"
	"slices"
	"time"
)

// pool holds the agents of one service, sorted by address.
type pool []*agent

// find returns the position of the address, and whether it is in the pool.
func (po pool) find(address netip.AddrPort) (int, bool) {
	return slices.BinarySearchFunc(po, address, func(ag *agent, address netip.AddrPort) int {
		return ag.address.Compare(address)
	})
}

// addToPool adds the agent to the pool of its service.
func (pl *Placer) addToPool(ag *agent) {
	po := pl.pools[ag.service]
	if at, ok := po.find(ag.address); !ok {
		pl.pools[ag.service] = slices.Insert(po, at, ag)
	}
}

// removeFromPool removes the agent from the pool of its service.
func (pl *Placer) removeFromPool(ag *agent) {
	po := pl.pools[ag.service]
	at, ok := po.find(ag.address)
	if !ok {
		return
	}
	pl.pools[ag.service] = slices.Delete(po, at, at+1)
	if len(po) == 1 {
		delete(pl.pools, ag.service)
	}
}

// SetAgent adds an agent or applies its record, unless a newer one was applied
// before. Openings that wait are placed if hosts have room.
func (pl *Placer) SetAgent(now time.Time, record Agent) []Action {
	pl.actions = pl.actions[:0]
	ag, ok := pl.agents[record.Address]
	if ok && !record.Supersedes(ag.revision) {
		// A report received since that record was applied must not be overwritten.
		return pl.actions
	}
	switch {
	case !ok:
		ag = &agent{address: record.Address, seed: seedOf(record.Address), index: -1}
		pl.agents[record.Address] = ag
	case ag.service != record.Service:
		pl.removeFromPool(ag)
	}
	ag.apply(record)
	ag.evacuated = pl.evacuations.Contains(ag.domain)
	pl.addToPool(ag)
	pl.unpark(now)
	return pl.actions
}

// apply applies an agent's record.
func (ag *agent) apply(record Agent) {
	ag.revision = record.Revision
	ag.service, ag.domain = record.Service, record.Domain
	ag.report.State = record.State
	if record.Slots > 0 {
		ag.report.Slots = record.Slots
	}
	ag.report.ServiceTime = record.ServiceTime
}

// RemoveAgent removes an agent that is no longer a member.
func (pl *Placer) RemoveAgent(address netip.AddrPort) {
	ag, ok := pl.agents[address]
	if !ok {
		return
	}
	pl.stopPings(ag)
	pl.removeFromPool(ag)
	delete(pl.agents, address)
}
