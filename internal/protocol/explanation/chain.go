package explanation

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// maxOtherHosts bounds the hosts in an answer that aren't in the chain.
const maxOtherHosts = 256

// The reasons of hosts that aren't the owner of the flow's bucket.
const (
	// reasonLaterInChain is a host that gets the packet only from the owner's agent.
	reasonLaterInChain = "LaterInChain"
	// reasonRanksLower is a host that takes new flows and ranks lower for the bucket.
	reasonRanksLower   = "RanksLower"
	reasonOtherService = "OtherService"
	reasonDraining     = "Draining"
	reasonNoWeight     = "NoWeight"
	reasonTakesNoFlows = "TakesNoFlows"
)

// ChainView is what a balancer of the own interface knows when it is asked.
type ChainView struct {
	Configuration *catalog.Configuration
	// Explain returns the chain of a caller's flow.
	Explain func(service register.ServiceID, caller netip.AddrPort) route.Explanation
	// Hosts are the records of the hosts.
	Hosts []register.Host
	// Weight returns a host's weight for new flows under the configuration, zero if
	// it may take none.
	Weight func(ho register.Host) uint16
}

// OfChain returns the answer of a balancer of the own interface.
func OfChain(view ChainView, caller, address netip.AddrPort) Answer {
	an := Answer{Caller: caller, Address: address, Outcome: OutcomeDropped}
	cfg := view.Configuration
	if cfg.Version == (catalog.Version{}) && len(cfg.Services) == 0 {
		an.Reason = "the balancer has no configuration"
		an.SetProblem(NoConfiguration, "the balancer has no configuration yet; datagrams are dropped")
		return an
	}
	an.Version = cfg.Version.String()
	sv, ok := cfg.ServiceAt(address)
	if !ok {
		an.Reason = "no service has the address"
		an.SetProblem(UnknownAddress, "address %s belongs to no service in configuration version %s", address, an.Version)
		return an
	}
	an.Service, an.ServiceReason = sv.Name, "the address belongs to it"
	ex := view.Explain(sv.ID, caller)
	an.Chain = &Chain{Bucket: ex.Bucket, Hosts: ex.Hosts, Fresh: ex.Fresh, NextChange: ex.NextChange.UTC().Round(0)}
	an.Reason = "no host of the service is known"
	if len(ex.Steps) > 0 {
		an.Outcome, an.Choice, an.Reason = OutcomeSent, &ex.Steps[0].Address, ""
	}
	an.addHosts(&view, &sv, ex.Steps)
	return an
}

// addHosts adds the hosts of the chain in their order, then the others: those of the
// service, then those of other services, at most maxOtherHosts.
func (an *Answer) addHosts(view *ChainView, sv *catalog.Service, steps []route.Step) {
	inChain := make(map[netip.AddrPort]bool)
	loads := make(map[netip.AddrPort]*uint16)
	for i := range view.Hosts {
		loads[view.Hosts[i].Address] = &view.Hosts[i].Load
	}
	for i, st := range steps {
		inChain[st.Address] = true
		ho := Host{
			Address: st.Address, Service: sv.Name, Domain: st.Domain, State: st.State.String(), Role: st.Role.String(),
			Incarnation: st.Incarnation, Weight: &st.Weight, Load: loads[st.Address], Reason: reasonLaterInChain,
		}
		if i == 0 {
			ho.Reason = "Chosen"
		}
		an.Hosts = append(an.Hosts, ho)
	}
	listed := 0
	for _, sameService := range []bool{true, false} {
		for _, ho := range view.Hosts {
			if inChain[ho.Address] || (ho.Service == sv.ID) != sameService {
				continue
			}
			if listed++; listed > maxOtherHosts {
				an.OtherHosts++
				continue
			}
			an.Hosts = append(an.Hosts, view.hostOutsideChain(sv, ho))
		}
	}
}

// hostOutsideChain returns a host that isn't in the chain, with the reason.
func (cv *ChainView) hostOutsideChain(sv *catalog.Service, from register.Host) Host {
	weight := cv.Weight(from)
	ho := Host{
		Address: from.Address, Domain: from.Domain, State: from.State.String(), Incarnation: from.Incarnation,
		Weight: &weight, Load: &from.Load,
	}
	if other, ok := cv.Configuration.ServiceByID(from.Service); ok {
		ho.Service = other.Name
	}
	switch {
	case from.Service != sv.ID:
		ho.Reason = reasonOtherService
	case from.State == register.StateDraining:
		ho.Reason = reasonDraining
	case !from.State.TakesNewWork():
		ho.Reason = reasonTakesNoFlows
	case weight == 0:
		ho.Reason = reasonNoWeight
	default:
		ho.Reason = reasonRanksLower
	}
	return ho
}
