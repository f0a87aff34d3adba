package carriage

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/cost"
	"corneltiller.dev/corneltiller/internal/coordination/workload"
)

// openingKey returns the kind of the first request of a flow to the route.
func openingKey(route netip.AddrPort) cost.Key { return cost.Key{Route: route, First: true} }

// expectWork adds the first request of a flow that is being opened to the host's work.
func (ga *Gate) expectWork(hf *hostFlow) {
	if ga.work != nil {
		hf.request = ga.work.Expect(openingKey(hf.flow.Service))
	}
}

// beginWork adds a request whose first data is delivered to the host's work.
func (ga *Gate) beginWork(now time.Time, pk Packet, hf *hostFlow) {
	if ga.work == nil {
		return
	}
	ga.work.SetSlots(int(ga.host.Slots))
	key := cost.Key{Route: pk.Flow.Service, First: hf.exchange.answers == 0, Size: cost.SizeClass(pk.Length)}
	hf.request = ga.work.Begin(now, hf.request, key)
}

// finishWork learns from a request that the host has begun to answer.
func (ga *Gate) finishWork(now time.Time, hf *hostFlow) {
	if hf.request != nil {
		ga.work.Answered(now, hf.request)
		hf.request = nil
	}
}

// removeWork removes a request that is no longer in progress without an answer.
func (ga *Gate) removeWork(now time.Time, hf *hostFlow) {
	if hf.request != nil {
		ga.work.Remove(now, hf.request)
		hf.request = nil
	}
}

// workFigures returns the remaining work to report, the zero value if none is reported.
func (ga *Gate) workFigures(now time.Time) workload.Figures {
	if ga.work == nil {
		return workload.Figures{}
	}
	return ga.work.Figures(now, len(ga.queue.items), ga.expected.at(now))
}

// ReportOn returns the current report with the expected cost of an opening of the flow.
func (ga *Gate) ReportOn(now time.Time, flow Flow) Report {
	re := ga.Report(now)
	if re.Work.MeanCost > 0 {
		re.Work.RouteCost = ga.work.Cost(now, openingKey(flow.Service))
	}
	return re
}

// expectedCost implements hostWork.
func (ga *Gate) expectedCost(now time.Time, route netip.AddrPort) time.Duration {
	return ga.work.Cost(now, openingKey(route))
}

// expectedWait implements hostWork.
func (ga *Gate) expectedWait(now time.Time) time.Duration { return ga.work.Wait(now) }

// slots implements hostWork.
func (ga *Gate) slots() int { return int(max(ga.host.Slots, 1)) }
