package carriage

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/workload"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// minAdvantage is the mean of workload.Figures.Advantage of a service's hosts from
	// which its hosts are ranked by remaining work, keepAdvantage the one below which
	// they are ranked by counts again. Service times that are exponential, or spread
	// evenly by half their mean, stay below 0.12.
	minAdvantage  = 0.2
	keepAdvantage = 0.1
	// basisReview is the interval at which the basis of a service is reviewed.
	basisReview = 100 * time.Millisecond
	// retryRatio is the ratio of a host's mean cost to the median from which it is
	// tried as if it had the median once in a while. A host that costs more gets few
	// flows and would not be found to have recovered.
	retryRatio = 1.25
	// typicalShare is the weight of the mean load of all hosts in the load that a host is
	// estimated to have when its report is old. With 0 all hosts that were not heard for
	// a while seem idle, also when none is. With 1 none of them is tried, and the callers
	// of one domain crowd its hosts. From 0.35 to 0.65 the loads of load_test.go hardly
	// differ.
	typicalShare = 0.5
	// routeCostShare is the share of a new value in the average cost of a route.
	routeCostShare = 0.1
)

// bases decides for each service whether its hosts are ranked by remaining work or
// by counts, and keeps what the ranking by remaining work needs.
type bases struct {
	// enabled says that ranking by remaining work is asked for.
	enabled  bool
	services map[string]serviceBasis
	// routes holds the cost of an opening of each route in units of the mean cost at
	// the same host.
	routes map[netip.AddrPort]float64
}

// serviceBasis is what the hosts of one service are ranked by.
type serviceBasis struct {
	byWork bool
	// meanCost is the median of the mean costs that the hosts report, typical the mean
	// of their reported loads.
	meanCost time.Duration
	typical  float64
	// review is when the basis is reviewed next.
	review time.Time
}

func newBases(enabled bool) bases {
	return bases{
		enabled: enabled, services: make(map[string]serviceBasis), routes: make(map[netip.AddrPort]float64),
	}
}

// forgetRoutes forgets the costs of addresses without a route.
func (bs *bases) forgetRoutes(ro *catalog.Routes) {
	maps.DeleteFunc(bs.routes, func(address netip.AddrPort, _ float64) bool {
		_, ok := ro.Addresses[address]
		return !ok
	})
}

// relativeCost returns the expected cost of an opening of the route in units of the
// mean cost at the same host.
func (bs *bases) relativeCost(route netip.AddrPort) float64 {
	if relative, ok := bs.routes[route]; ok {
		return relative
	}
	return 1
}

// basis is what the hosts of a service are ranked by for one opening.
type basis struct {
	// median is that of the service times of the hosts, zero if unknown.
	median time.Duration
	// meanCost is the median of the mean costs of the hosts, zero for the ranking by
	// counts. relative is the cost of the opening in units of it, typical the mean load
	// of the hosts.
	meanCost time.Duration
	relative float64
	typical  float64
}

func (ba basis) byWork() bool { return ba.meanCost > 0 }

// basisOf returns what the hosts of the service are ranked by for the flow, given the
// median of their service times. It changes no state.
func (pl *Placer) basisOf(flow Flow, service string, median time.Duration) basis {
	ba := basis{median: median}
	if sb := pl.bases.services[service]; sb.byWork {
		ba.meanCost, ba.typical, ba.relative = sb.meanCost, sb.typical, pl.bases.relativeCost(flow.Service)
	}
	return ba
}

// reviewBasis decides how the hosts of the service are ranked from now on: by
// remaining work if at least half of the hosts that take new flows report it, and if
// it predicts better than counts.
func (pl *Placer) reviewBasis(now time.Time, service string) {
	if !pl.bases.enabled {
		return
	}
	sb := pl.bases.services[service]
	if now.Before(sb.review) {
		return
	}
	sb.review = now.Add(basisReview)
	var reporting []*agent
	hosts, advantage := 0, 0.0
	for _, ag := range pl.pools[service] {
		if !ag.takesNewFlows() {
			continue
		}
		hosts++
		if ag.report.Work.Valid() {
			reporting = append(reporting, ag)
			advantage += ag.report.Work.Advantage
		}
	}
	byWork := false
	if len(reporting) > 0 {
		sb.measure(reporting)
		advantage /= float64(len(reporting))
		least := minAdvantage
		if sb.byWork {
			least = keepAdvantage
		}
		byWork = 2*len(reporting) >= hosts && advantage >= least
	}
	if byWork != sb.byWork {
		sb.byWork = byWork
		pl.actions = append(pl.actions, Action{
			Kind: KindRanking, Service: service, Sure: byWork, Advantage: advantage, Attempt: len(reporting),
		})
	}
	pl.bases.services[service] = sb
}

// measure sets the median cost and the mean load of the agents that report their work.
func (sb *serviceBasis) measure(reporting []*agent) {
	slices.SortFunc(reporting, func(a, b *agent) int {
		return cmp.Compare(a.report.Work.MeanCost, b.report.Work.MeanCost)
	})
	sb.meanCost = reporting[(len(reporting)-1)/2].report.Work.MeanCost
	sb.typical = 0
	for _, ag := range reporting {
		sb.typical += ag.reportedLoad(sb.meanCost) / float64(len(reporting))
	}
}

// noteRouteCost learns the cost of an opening of the flow's route from a confirmation.
func (pl *Placer) noteRouteCost(flow Flow, fi workload.Figures) {
	if !pl.bases.enabled || !fi.Valid() || fi.RouteCost == 0 {
		return
	}
	relative := float64(fi.RouteCost) / float64(fi.MeanCost)
	if known, ok := pl.bases.routes[flow.Service]; ok {
		relative = known + routeCostShare*(relative-known)
	}
	pl.bases.routes[flow.Service] = relative
}

// reportedLoad returns the load that the agent's last report shows, in requests of the
// mean cost: the slots that are taken and what goes before a new request. Without a
// report of the work it is the number of requests in progress.
func (ag *agent) reportedLoad(meanCost time.Duration) float64 {
	re := &ag.report
	if !re.Work.Valid() {
		return float64(re.InProgress)
	}
	return float64(min(re.InProgress, re.Slots)) + float64(re.Work.Remaining)/float64(meanCost)
}

// load returns the estimated load of the host in requests of the mean cost: the reported
// one, which gives way with age to one between what open flows bring and the mean of
// all hosts, and the openings sent since.
func (ag *agent) load(now time.Time, ba basis) float64 {
	decay := math.Exp2(-float64(now.Sub(ag.reported)) / float64(loadHalfLife))
	steady := ag.report.Expected + typicalShare*(ba.typical-ag.report.Expected)
	return steady + (ag.reportedLoad(ba.meanCost)-steady)*decay + ag.sentLoad
}

// relativeCost returns the expected cost of the opening at the agent's host in units of
// the mean cost. From retrySlow on a host that costs more than most is taken for one
// like the others.
func (ag *agent) relativeCost(now time.Time, ba basis) float64 {
	own := 1.0
	if ag.report.Work.Valid() {
		own = float64(ag.report.Work.MeanCost) / float64(ba.meanCost)
	} else if ag.report.State == register.StateWarming {
		own = warmingFactor
	}
	if own >= retryRatio && !now.Before(ag.retrySlow) {
		own = 1
	}
	return own * ba.relative
}

// costByWork returns the cost of placing the opening at the agent's host in the units of
// Placer.cost: 1 is the cost of a host with all slots taken by requests of the mean
// cost.
func (ag *agent) costByWork(now time.Time, ba basis) float64 {
	return (ag.load(now, ba) + ag.relativeCost(now, ba)) / float64(max(ag.report.Slots, 1))
}

// addSentLoad adds an opening that is sent to the agent to its estimated load. It
// returns the load before, and whether hosts are ranked by remaining work.
func (pl *Placer) addSentLoad(now time.Time, tf *trackedFlow, ag *agent) (load float64, byWork bool) {
	if !pl.bases.enabled {
		return 0, false
	}
	ba := pl.basisOf(tf.flow, tf.service, pl.medianOf(now, tf.service))
	if !ba.byWork() {
		return 0, false
	}
	load = ag.load(now, ba)
	ag.sentLoad += ag.relativeCost(now, ba)
	return load, true
}
