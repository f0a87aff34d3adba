package balancer

import (
	"net/netip"
	"strings"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/protocol/explanation"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// explainTo adds the answer to a question about a new flow to the status.
func (ba *Balancer) explainTo(st *command.Status, qu command.FlowQuery) {
	ex := ba.explainChain(qu.Service, qu.Caller)
	st.Path = strings.Split(strings.TrimSpace(ex.String()), "\n")
	if qu.Address.IsValid() {
		an := ba.explain(qu.Caller, qu.Address)
		st.Explanation = &an
	}
}

// explainChain returns how this balancer selects the hosts of a new flow.
func (ba *Balancer) explainChain(service register.ServiceID, caller netip.AddrPort) route.Explanation {
	return route.Explain(ba.table.Load(), service, caller)
}

// explain answers an operator's question where a new flow would go now, and why. It
// changes nothing.
func (ba *Balancer) explain(caller, address netip.AddrPort) explanation.Answer {
	ba.cfg.Registry.Count("Explanations", 1)
	an := explanation.OfChain(explanation.ChainView{
		Configuration: ba.Configuration(), Explain: ba.explainChain, Hosts: ba.updater.fleet.Hosts(), Weight: ba.weight,
	}, caller, address)
	an.Balancer, an.Domain = ba.HostsAddress().String(), ba.cfg.Domain
	newest := ba.follower.InForce().Newest
	switch {
	case !ba.joined.Load():
		an.SetProblem(explanation.StaleView, "the view is incomplete: the balancer has not joined the fleet yet")
	case ba.Configuration().Version.Less(newest):
		an.SetProblem(explanation.StaleView, "the view is stale: configuration version %s is in force elsewhere, %s here", newest, an.Version)
	}
	return an
}
