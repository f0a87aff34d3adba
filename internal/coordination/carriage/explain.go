package carriage

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/workload"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// maxOtherHosts bounds the hosts of other services in an Explanation. It is made
// while the process's state is locked, and there may be thousands of hosts.
const maxOtherHosts = 256

// HostReason says why a host would be chosen for an opening or passed over.
type HostReason string

// The reasons of hosts that the ranking doesn't skip, and of those that it doesn't
// contain. The reasons of skipped hosts are in skipReasonNames.
const (
	// HostChosen is the host that the opening would go to.
	HostChosen HostReason = "Chosen"
	// HostDraining is a host that gets the opening only if no other host takes it.
	HostDraining HostReason = "Draining"
	// HostNotCandidate is a host that isn't one of the flow's candidates. Its cost is
	// higher for that reason.
	HostNotCandidate HostReason = "NotCandidate"
	// HostCostsMore is a candidate that costs more than the chosen host.
	HostCostsMore HostReason = "CostsMore"
	// HostCostsTheSame is a candidate of the same cost as the chosen host, which comes
	// first in the order of the flow.
	HostCostsTheSame HostReason = "CostsTheSame"
	// HostNotConsidered is any host that isn't skipped while the balancer places no
	// openings, as it is isolated or doesn't know yet which domains are evacuated.
	HostNotConsidered HostReason = "NotConsidered"
	// HostOtherService is a host of another service.
	HostOtherService HostReason = "OtherService"
)

// skipReasonNames are the reasons of hosts that the ranking skips.
var skipReasonNames = [skipReasonCount]HostReason{
	skipTried:     "Tried",
	skipSuspected: "Suspected",
	skipState:     "TakesNoFlows",
	skipEvacuated: "Evacuated",
	skipWarming:   "WarmingLimit",
}

// HostExplanation is one host with the inputs of its evaluation.
type HostExplanation struct {
	Address netip.AddrPort
	Service string
	Domain  string
	State   register.State
	// Reported is when the agent's last report was received, zero if there was none.
	Reported time.Time
	// InProgress is the estimated number of requests in progress at the host.
	InProgress  float64
	Slots       uint16
	ServiceTime time.Duration
	// Slowness is the factor by which the service time raises the cost, 1 if it
	// doesn't. It is set for hosts of the flow's service.
	Slowness float64
	// Work is the remaining work and the mean cost that the agent reported, the zero
	// value if its last report has none. Load is the estimated load in requests of the
	// service's mean cost, RelativeCost the expected cost of the opening at this host in
	// the same unit. Both are set for hosts of a service that is ranked by remaining work.
	Work         workload.Figures
	Load         float64
	RelativeCost float64
	// Ranked says that the host isn't skipped. Candidate and Cost are set only then.
	Ranked    bool
	Candidate bool
	Cost      float64
	Reason    HostReason
}

// Explanation says where the opening packet of a new flow would go now, and why.
type Explanation struct {
	Flow Flow
	// At is the time for which it holds.
	At time.Time
	// Configured says that the balancer has routes; Version is their version.
	Configured bool
	Version    uint64
	// Services are those of the flow's address, with the weights by which Service was
	// picked. Service is "" if the address has no route.
	Services catalog.WeightedServices
	Service  string
	// Median is the median service time of the service's hosts, zero if unknown.
	Median time.Duration
	// ByWork says that the service's hosts are ranked by remaining work. MeanCost is then
	// the median of their mean costs, the unit of the loads.
	ByWork   bool
	MeanCost time.Duration
	// Kind is what becomes of the opening: KindForward to the agent Choice with Mode,
	// KindPark while a host may become available, KindReset with Reason, or KindDrop
	// with Reason if it can't wait for the routes.
	Kind   Kind
	Choice netip.AddrPort
	Mode   DeliveryMode
	Reason Reason
	// Hosts are the hosts of the service, the chosen one first, then by cost, then the
	// skipped ones, and after them those of other services. OtherHosts is the number
	// of hosts of other services that are left out.
	Hosts      []HostExplanation
	OtherHosts int
}

// Explain returns where the first copy of a new flow's opening packet would go now,
// and why. It evaluates the hosts as the placing of an opening does, and changes no
// state.
func (pl *Placer) Explain(now time.Time, flow Flow) Explanation {
	ex := Explanation{Flow: flow, At: now, Configured: pl.routes != nil}
	tf := &trackedFlow{flow: flow, opened: now, index: -1}
	if !ex.Configured {
		pl.explainParking(now, &ex, tf)
		return ex
	}
	ex.Version = pl.routes.Version
	ex.Services = pl.routes.Addresses[flow.Service].Services
	service, re := pl.serviceOf(flow)
	if re != ReasonNone {
		ex.Kind, ex.Reason = KindReset, re
		return ex
	}
	ex.Service = service
	tf.service = service
	ra := pl.rank(now, tf, pl.currentMedian(now, service))
	ex.Median = ra.basis.median
	ex.ByWork, ex.MeanCost = ra.basis.byWork(), ra.basis.meanCost
	best := pl.explainOutcome(now, &ex, &ra)
	ex.Hosts = ra.explainHosts(best)
	pl.explainOtherHosts(now, &ex)
	return ex
}

// currentMedian returns what medianOf returns, without writing its cache: a median that
// is cached by a question would be used for later openings.
func (pl *Placer) currentMedian(now time.Time, service string) time.Duration {
	if median, ok := pl.cachedMedian(now, service); ok {
		return median
	}
	return pl.pools[service].median()
}

// explainOutcome sets what becomes of the opening, as handleOpening and place decide
// it. It returns the agent that the opening would be sent to, nil if none.
func (pl *Placer) explainOutcome(now time.Time, ex *Explanation, ra *ranking) *agent {
	if !pl.informed() {
		pl.explainParking(now, ex, ra.flow)
		return nil
	}
	if pl.isolated(now) {
		ex.Kind, ex.Reason = KindReset, ReasonIsolated
		return nil
	}
	best := ra.best()
	switch {
	case best != nil:
		ex.Kind, ex.Choice, ex.Mode = KindForward, best.address, pl.modeAt(now, ra.flow, best)
	case pl.mayBecomeAvailable(now, ex.Service):
		pl.explainParking(now, ex, ra.flow)
	default:
		ex.Kind, ex.Reason = KindReset, pl.reasonNoHost(ra.flow)
	}
	return best
}

// explainParking sets whether the opening waits at the balancer, as park decides it. It
// asks a copy of the parking, to whose queue an opening is added.
func (pl *Placer) explainParking(now time.Time, ex *Explanation, tf *trackedFlow) {
	copied := newParking(pl.parking.openingTimeout)
	if qu, ok := pl.parking.queues[tf.service]; ok {
		qc := *qu
		// An item that is appended must not be written behind those of the original.
		qc.items = slices.Clip(qc.items)
		copied.queues[tf.service] = &qc
	}
	var ro catalog.Route
	if ex.Configured {
		ro = pl.routes.Addresses[tf.flow.Service]
	}
	switch {
	case copied.add(now, tf, ro):
		ex.Kind = KindPark
	case ex.Configured:
		ex.Kind, ex.Reason = KindReset, ReasonFull
	default:
		ex.Kind, ex.Reason = KindDrop, ReasonFull
	}
}

// explainHosts returns the hosts of the service. The best host is nil if the opening
// isn't sent to any.
func (ra *ranking) explainHosts(best *agent) []HostExplanation {
	list := make([]HostExplanation, 0, len(ra.pool))
	least := 0.0
	for i := range ra.pool {
		ev := ra.hostAt(i)
		ho := ev.agent.explain(ra.now)
		ho.setInputs(ev.agent, ra)
		ho.Ranked, ho.Candidate, ho.Cost = ev.skip == skipNone, ev.candidate, ev.cost
		ho.Reason = skipReasonNames[ev.skip]
		if ev.agent == best {
			least = ev.cost
			ho.Reason = HostChosen
		}
		list = append(list, ho)
	}
	for i := range list {
		switch ho := &list[i]; {
		case !ho.Ranked || ho.Reason == HostChosen:
		case best == nil:
			ho.Reason = HostNotConsidered
		default:
			ho.Reason = ho.passedOver(least)
		}
	}
	slices.SortFunc(list, compareHosts)
	return list
}

// setInputs sets the inputs of the cost that depend on what the hosts are ranked by.
func (ho *HostExplanation) setInputs(ag *agent, ra *ranking) {
	if !ra.basis.byWork() {
		ho.Slowness = ag.slowness(ra.now, ra.basis.median)
		return
	}
	ho.Slowness = 1
	ho.Load, ho.RelativeCost = ag.load(ra.now, ra.basis), ag.relativeCost(ra.now, ra.basis)
}

// passedOver returns why a host that isn't skipped doesn't get the opening, given the
// cost of the host that does.
func (ho *HostExplanation) passedOver(least float64) HostReason {
	switch {
	case !ho.State.TakesNewWork():
		return HostDraining
	case !ho.Candidate:
		return HostNotCandidate
	case ho.Cost == least:
		return HostCostsTheSame
	default:
		return HostCostsMore
	}
}

// compareHosts orders the chosen host first, then the others by cost, then the skipped
// ones by address.
func compareHosts(a, b HostExplanation) int {
	return cmp.Or(cmp.Compare(a.group(), b.group()), cmp.Compare(a.Cost, b.Cost), a.Address.Compare(b.Address))
}

// group returns the place of the host's group in the order of an Explanation. The
// chosen host has one of its own, as another may have the same cost or one that is no
// number.
func (ho *HostExplanation) group() int {
	switch {
	case ho.Reason == HostChosen:
		return 0
	case ho.Ranked:
		return 1
	default:
		return 2
	}
}

// explainOtherHosts adds the hosts of other services, at most maxOtherHosts, those of
// the address's other services first.
func (pl *Placer) explainOtherHosts(now time.Time, ex *Explanation) {
	services := slices.Sorted(maps.Keys(pl.pools))
	slices.SortStableFunc(services, func(a, b string) int {
		return cmp.Compare(addressRank(ex.Services, a), addressRank(ex.Services, b))
	})
	room := maxOtherHosts
	for _, service := range services {
		if service == ex.Service {
			continue
		}
		po := pl.pools[service]
		listed := min(len(po), room)
		for _, ag := range po[:listed] {
			ho := ag.explain(now)
			ho.Reason = HostOtherService
			ex.Hosts = append(ex.Hosts, ho)
		}
		room -= listed
		ex.OtherHosts += len(po) - listed
	}
}

// addressRank returns 0 for a service of the address, 1 for another.
func addressRank(services catalog.WeightedServices, service string) int {
	if services.Names(service) {
		return 0
	}
	return 1
}

// explain returns the agent's host with the inputs of its evaluation.
func (ag *agent) explain(now time.Time) HostExplanation {
	return HostExplanation{
		Address: ag.address, Service: ag.service, Domain: ag.domain, State: ag.report.State,
		Reported: ag.reported, InProgress: ag.estimate(now), Slots: ag.report.Slots, ServiceTime: ag.report.ServiceTime,
		Work: ag.report.validWork(),
	}
}

// validWork returns the reported work, the zero value if it is missing or absurd.
func (re *Report) validWork() workload.Figures {
	if !re.Work.Valid() {
		return workload.Figures{}
	}
	return re.Work
}
