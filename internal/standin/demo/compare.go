package demo

import (
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
)

const (
	// drainGrace is how long after the announcement of a drain new work may still arrive.
	drainGrace = 3 * time.Second

	highestLatency       = int64(time.Minute / time.Microsecond)
	significantFigures   = 3
	microsPerMillisecond = 1000
)

// comparison checks the callers' book against the servers' books.
type comparison struct {
	report  *Report
	entries []entry
	endings []ending
	servers []serverBook
	// ranFor is how often a request ran, by identity.
	ranFor map[string]int
	// crashed are the agents that were crashed.
	crashed map[netip.AddrPort]bool
	// ranAtCrashed are the requests that ran at a crashed host.
	ranAtCrashed map[string]bool
}

func compare(re *Report, cb *callerBook, servers []serverBook) {
	co := &comparison{
		report:  re,
		entries: cb.entries,
		endings: cb.endings,
		servers: servers,
		ranFor:  make(map[string]int),
		crashed: make(map[netip.AddrPort]bool),

		ranAtCrashed: make(map[string]bool),
	}
	re.Flows = cb.flows
	co.readServers()
	co.checkEntries()
	co.checkEndings()
	co.measureLatency()
	co.measureImbalance()
}

func (co *comparison) readServers() {
	for _, sb := range co.servers {
		crashed := !sb.crashedAt.IsZero()
		if crashed {
			co.crashed[sb.agent] = true
		}
		for _, ru := range sb.runs {
			co.ranFor[ru.Identity]++
			if crashed {
				co.ranAtCrashed[ru.Identity] = true
			}
			if ru.Service != sb.service {
				co.report.MisroutedPackets++
			}
			if !sb.drainedAt.IsZero() && ru.StartedAt.After(sb.drainedAt.Add(drainGrace)) {
				co.report.NewWorkAfterDrain++
			}
		}
	}
}

func (co *comparison) checkEntries() {
	re := co.report
	for _, en := range co.entries {
		re.Requests++
		ran := co.ranFor[en.identity]
		switch en.outcome {
		case OutcomeAnswered:
			re.Outcomes.Answered++
			if en.booking && ran == 0 {
				re.LostBookings++
			}
		case OutcomeNotRun:
			re.Outcomes.NotRun++
			klog.V(1).InfoS("Request not run", "Identity", en.identity, "Reason", en.reason, "Host", en.host)
			if ran > 0 {
				re.NotRunButRan++
			}
		case OutcomeUnknown:
			re.Outcomes.Unknown++
			if !co.lostToCrash(en) {
				re.CutByStop++
				klog.V(1).InfoS("Request cut", "Identity", en.identity, "Host", en.host, "AnsweredBy", en.answeredBy, "Elapsed", en.finishedAt.Sub(en.startedAt), "Failure", en.failure)
			}
		}
		if en.booking && ran > 1 {
			re.DoubledBookings++
		}
		if en.wrong {
			re.WrongAnswers++
		}
	}
}

// lostToCrash reports whether a crashed host held the request's flow or its
// ticket, or ran it for another host.
func (co *comparison) lostToCrash(en entry) bool {
	if co.crashed[en.host] || co.ranAtCrashed[en.identity] {
		return true
	}
	byPeer := en.reason == dispatch.ReasonHomeLost.String() || en.reason == dispatch.ReasonPeerLost.String()
	return byPeer && len(co.crashed) > 0
}

func (co *comparison) checkEndings() {
	for _, en := range co.endings {
		co.report.BrokenFlows++
		if co.crashed[en.host] {
			co.report.CrashedHostFlows++
			continue
		}
		klog.V(1).InfoS("Flow broken", "Flow", en.flow, "Host", en.host, "Err", en.err)
	}
}

func (co *comparison) measureLatency() {
	urgent := hdrhistogram.New(1, highestLatency, significantFigures)
	deferrable := hdrhistogram.New(1, highestLatency, significantFigures)
	for _, en := range co.entries {
		if en.outcome != OutcomeAnswered {
			continue
		}
		hi := urgent
		if en.deferrable {
			hi = deferrable
		}
		// Longer latencies than the histogram holds don't occur: callers give up before.
		_ = hi.RecordValue(en.finishedAt.Sub(en.startedAt).Microseconds())
	}
	co.report.UrgentP50Milliseconds = quantile(urgent, 50)
	co.report.UrgentP99Milliseconds = quantile(urgent, 99)
	co.report.DeferrableP99Milliseconds = quantile(deferrable, 99)
}

func quantile(hi *hdrhistogram.Histogram, percent float64) float64 {
	return float64(hi.ValueAtPercentile(percent)) / microsPerMillisecond
}

// measureImbalance takes the worst service, over the servers that were there
// from the beginning to the end.
func (co *comparison) measureImbalance() {
	type sums struct {
		total, largest time.Duration
		count          int
	}
	byService := make(map[string]sums)
	for _, sb := range co.servers {
		if !sb.steady() {
			continue
		}
		su := byService[sb.service]
		su.total += sb.work()
		su.largest = max(su.largest, sb.work())
		su.count++
		byService[sb.service] = su
	}
	for _, su := range byService {
		if su.total > 0 {
			imbalance := float64(su.largest) * float64(su.count) / float64(su.total)
			co.report.Imbalance = max(co.report.Imbalance, imbalance)
		}
	}
}
