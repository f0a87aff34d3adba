package rollout

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// receivedReport is a report with the time from which it no longer counts.
type receivedReport struct {
	Report
	expires time.Time
}

// tally holds the reports of the instances that report to this one and the
// published sums of the failure domains.
type tally struct {
	reports map[netip.AddrPort]receivedReport
	domains map[string]receivedReport
	// reported is when this instance last sent or published a report, reportAt
	// when the next is due.
	reported time.Time
	reportAt time.Time
	// repeats is how often the present report is still to be sent again after
	// ReportRepeat.
	repeats int
}

func newTally() tally {
	return tally{
		reports: make(map[netip.AddrPort]receivedReport),
		domains: make(map[string]receivedReport),
	}
}

// scheduleReport schedules a report after ReportDelay because it has changed; the
// top's after SumDelay and at least SumInterval after the one before.
func (re *Replica) scheduleReport(now time.Time) {
	soon := now.Add(ReportDelay)
	if re.role.top {
		soon = now.Add(SumDelay)
		if next := re.reported.Add(SumInterval); soon.Before(next) {
			soon = next
		}
	}
	re.repeats = ReportRepeats
	if re.reportAt.IsZero() || soon.Before(re.reportAt) {
		re.reportAt = soon
	}
}

// withdrawReport sends a former parent an empty report, which removes the earlier
// one.
func withdrawReport(parent netip.AddrPort) []Action {
	if !parent.IsValid() {
		return nil
	}
	return []Action{{Kind: ActionReport, Peer: parent}}
}

// HandleReport handles the report of an instance that reports to this one. An
// empty report removes the earlier one.
func (re *Replica) HandleReport(now time.Time, from netip.AddrPort, rp Report) []Action {
	if rp.Instances == 0 {
		delete(re.reports, from)
		re.scheduleReport(now)
		return re.Tick(now)
	}
	old, known := re.reports[from]
	re.reports[from] = receivedReport{Report: rp, expires: now.Add(ReportExpiry)}
	if !known || !old.equalCounts(rp) {
		re.scheduleReport(now)
	}
	re.noteReport(now, rp)
	return re.Tick(now)
}

// noteReport notes a report's newest version and the instances that have it in
// force.
func (re *Replica) noteReport(now time.Time, rp Report) {
	re.noteVersion(now, rp.Newest)
	if !rp.Newest.Less(re.newest) && len(rp.Holders) > 0 {
		re.holders = rp.Holders
	}
}

// equalCounts reports whether the versions and counts of two reports are equal.
func (re Report) equalCounts(other Report) bool {
	return re.Newest == other.Newest && re.Lowest == other.Lowest &&
		re.Instances == other.Instances && re.Current == other.Current
}

// sum returns the report on this instance and on all that report to it, directly
// or through others.
func (re *Replica) sum(now time.Time) Report {
	version := re.state.Version()
	total := Report{
		Domain:    re.self.Domain,
		Newest:    version,
		Lowest:    version,
		Instances: 1,
		Current:   1,
		Holders:   []netip.AddrPort{re.self.Address},
	}
	for _, from := range slices.SortedFunc(maps.Keys(re.reports), netip.AddrPort.Compare) {
		rp := re.reports[from]
		if now.Before(rp.expires) && re.countsReportOf(from) {
			total = total.Add(rp.Report)
		}
	}
	return total
}

// countsReportOf reports whether the sender is one of this instance's children or
// no member. Any other member reports to another parent by now, where it is
// counted.
func (re *Replica) countsReportOf(from netip.AddrPort) bool {
	return slices.Contains(re.role.children, from) || !re.view.known[from]
}

// dropExpired drops the reports that were not repeated within ReportExpiry.
func (ta *tally) dropExpired(now time.Time) {
	for from, rp := range ta.reports {
		if !now.Before(rp.expires) {
			delete(ta.reports, from)
		}
	}
}

// report sends the sum to the parent, or publishes it as the failure domain's if
// this instance is the top, when a report is due.
func (re *Replica) report(now time.Time) []Action {
	if now.Before(re.reportAt) || !re.role.top && !re.role.parent.IsValid() {
		return nil
	}
	re.reportAt = now.Add(ReportInterval)
	if re.repeats > 0 && !re.role.top {
		re.repeats--
		re.reportAt = now.Add(ReportRepeat)
	}
	re.reported = now
	re.dropExpired(now)
	total := re.sum(now)
	if !re.role.top {
		return []Action{{Kind: ActionReport, Peer: re.role.parent, Report: total}}
	}
	re.domains[total.Domain] = receivedReport{Report: total, expires: now.Add(ReportExpiry)}
	body, err := cbor.Marshal(total)
	if err != nil {
		return nil
	}
	return []Action{re.publish(KeySum+re.self.Address.String(), body)}
}

// handleSum handles the published sum of a failure domain.
func (re *Replica) handleSum(now time.Time, body []byte) {
	var rp Report
	if cbor.Unmarshal(body, &rp) == nil {
		re.domains[rp.Domain] = receivedReport{Report: rp, expires: now.Add(ReportExpiry)}
		re.noteReport(now, rp)
	}
}

// InForce returns the report on the whole fleet, as far as this instance has
// received sums.
func (re *Replica) InForce(now time.Time) Report {
	total := Report{}
	for _, domain := range slices.Sorted(maps.Keys(re.domains)) {
		rp := re.domains[domain]
		if domain == re.self.Domain && re.role.top || !now.Before(rp.expires) {
			continue
		}
		total = total.Add(rp.Report)
	}
	if re.role.top {
		total = total.Add(re.sum(now))
	}
	total.Domain = ""
	return total
}
