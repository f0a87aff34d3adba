package demo

import (
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
)

const (
	// drainGrace is how long after the start of a drain a server may still begin
	// new work.
	drainGrace = 3 * time.Second

	// highestLatency is the highest recordable latency, in microseconds.
	highestLatency       = int64(time.Minute / time.Microsecond)
	significantFigures   = 3
	microsPerMillisecond = 1000
)

// comparison checks the callers' records against those of the backend servers.
type comparison struct {
	report      *Report
	requests    []request
	brokenFlows []brokenFlow
	servers     []serverRecords
	// runCounts is how often each request ran, by identity.
	runCounts map[string]int
	// crashed are the agents that the plan crashed.
	crashed map[netip.AddrPort]bool
	// ranAtCrashed are the identities of requests that ran at a host that was
	// crashed.
	ranAtCrashed map[string]bool
}

func compare(re *Report, cr *callerRecords, servers []serverRecords) {
	co := &comparison{
		report:      re,
		requests:    cr.requests,
		brokenFlows: cr.brokenFlows,
		servers:     servers,
		runCounts:   make(map[string]int),
		crashed:     make(map[netip.AddrPort]bool),

		ranAtCrashed: make(map[string]bool),
	}
	re.Flows = cr.flows
	co.readServers()
	co.checkRequests()
	co.checkBrokenFlows()
	co.measureLatency()
	co.measureImbalance()
}

func (co *comparison) readServers() {
	for _, sr := range co.servers {
		crashed := !sr.crashedAt.IsZero()
		if crashed {
			co.crashed[sr.agent] = true
		}
		for _, ru := range sr.runs {
			co.runCounts[ru.Identity]++
			if crashed {
				co.ranAtCrashed[ru.Identity] = true
			}
			if ru.Service != sr.service {
				co.report.MisroutedPackets++
			}
			if !sr.drainedAt.IsZero() && ru.StartedAt.After(sr.drainedAt.Add(drainGrace)) {
				co.report.NewWorkAfterDrain++
			}
		}
	}
}

func (co *comparison) checkRequests() {
	re := co.report
	for _, rq := range co.requests {
		re.Requests++
		ran := co.runCounts[rq.identity]
		switch rq.outcome {
		case OutcomeAnswered:
			re.Outcomes.Answered++
			if rq.booking && ran == 0 {
				re.LostBookings++
			}
		case OutcomeNotRun:
			re.Outcomes.NotRun++
			klog.V(1).InfoS("Request not run", "Identity", rq.identity, "Reason", rq.reason, "Host", rq.host, "StartedAt", rq.startedAt, "Failure", rq.failure)
			if ran > 0 {
				re.NotRunButRan++
			}
		case OutcomeUnknown:
			re.Outcomes.Unknown++
			if !co.lostToCrash(rq) {
				re.CutByStop++
				klog.V(1).InfoS("Request cut", "Identity", rq.identity, "Host", rq.host, "AnsweredBy", rq.answeredBy, "StartedAt", rq.startedAt, "Elapsed", rq.finishedAt.Sub(rq.startedAt), "Failure", rq.failure)
			}
		}
		if rq.booking && ran > 1 {
			re.DoubledBookings++
		}
		if rq.wrongAnswer {
			re.WrongAnswers++
		}
	}
}

// lostToCrash reports whether a crash explains that the outcome is unknown: a
// crashed host held the request's flow or ran the request, or a host was crashed
// and the reason says that the peer or the holder of the ticket was lost.
func (co *comparison) lostToCrash(rq request) bool {
	if co.crashed[rq.host] || co.ranAtCrashed[rq.identity] {
		return true
	}
	byPeer := rq.reason == dispatch.ReasonHomeLost.String() || rq.reason == dispatch.ReasonPeerLost.String()
	return byPeer && len(co.crashed) > 0
}

func (co *comparison) checkBrokenFlows() {
	for _, bf := range co.brokenFlows {
		co.report.BrokenFlows++
		if co.crashed[bf.host] {
			co.report.CrashedHostFlows++
			continue
		}
		klog.V(1).InfoS("Flow broken", "Flow", bf.flow, "Host", bf.host, "Err", bf.err)
	}
}

func (co *comparison) measureLatency() {
	urgent := hdrhistogram.New(1, highestLatency, significantFigures)
	deferrable := hdrhistogram.New(1, highestLatency, significantFigures)
	for _, rq := range co.requests {
		if rq.outcome != OutcomeAnswered {
			continue
		}
		hi := urgent
		if rq.deferrable {
			hi = deferrable
		}
		// The error can be ignored: callers give up after requestTimeout, which is
		// shorter than the highest latency that the histogram holds.
		_ = hi.RecordValue(rq.finishedAt.Sub(rq.startedAt).Microseconds())
	}
	co.report.UrgentP50Milliseconds = quantile(urgent, 50)
	co.report.UrgentP99Milliseconds = quantile(urgent, 99)
	co.report.DeferrableP99Milliseconds = quantile(deferrable, 99)
}

func quantile(hi *hdrhistogram.Histogram, percent float64) float64 {
	return float64(hi.ValueAtPercentile(percent)) / microsPerMillisecond
}

// measureImbalance reports the service with the largest imbalance. It counts only
// servers whose hosts the plan has neither added, drained nor crashed.
func (co *comparison) measureImbalance() {
	type sums struct {
		total, largest time.Duration
		count          int
	}
	byService := make(map[string]sums)
	for _, sr := range co.servers {
		if !sr.undisturbed() {
			continue
		}
		su := byService[sr.service]
		su.total += sr.workTime()
		su.largest = max(su.largest, sr.workTime())
		su.count++
		byService[sr.service] = su
	}
	for _, su := range byService {
		if su.total > 0 {
			imbalance := float64(su.largest) * float64(su.count) / float64(su.total)
			co.report.Imbalance = max(co.report.Imbalance, imbalance)
		}
	}
}
