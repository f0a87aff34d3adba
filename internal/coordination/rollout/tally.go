package rollout

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// received is a report with the time at which it is dropped.
type received struct {
	Report
	expires time.Time
}

// tally sums up the reports of the instances below and the published sums of
// the failure domains.
type tally struct {
	below   map[netip.AddrPort]received
	domains map[string]received
	// reported is when the last report went out, reportAt when the next will.
	reported time.Time
	reportAt time.Time
	// repeats is how often the present report is still to be repeated soon.
	repeats int
}

func newTally() tally {
	return tally{
		below:   make(map[netip.AddrPort]received),
		domains: make(map[string]received),
	}
}

// touch lets the next report go out soon, that of the top less often.
func (re *Reader) touch(now time.Time) {
	soon := now.Add(ReportDelay)
	if re.role.top {
		soon = now.Add(SpreadDelay)
		if next := re.reported.Add(SpreadInterval); soon.Before(next) {
			soon = next
		}
	}
	re.repeats = ReportRepeats
	if re.reportAt.IsZero() || soon.Before(re.reportAt) {
		re.reportAt = soon
	}
}

// withdraw takes back what a former parent was told, with an empty report.
func withdraw(parent netip.AddrPort) []Action {
	if !parent.IsValid() {
		return nil
	}
	return []Action{{Kind: ActionReport, Peer: parent}}
}

// HandleReport takes the report of an instance below. An empty one withdraws it.
func (re *Reader) HandleReport(now time.Time, from netip.AddrPort, rp Report) []Action {
	if rp.Instances == 0 {
		delete(re.below, from)
		re.touch(now)
		return re.Tick(now)
	}
	old, known := re.below[from]
	re.below[from] = received{Report: rp, expires: now.Add(ReportExpiry)}
	if !known || !old.same(rp) {
		re.touch(now)
	}
	re.learn(now, rp)
	return re.Tick(now)
}

// learn notes the newest version of a report and who has it.
func (re *Reader) learn(now time.Time, rp Report) {
	re.news(now, rp.Newest)
	if !rp.Newest.Less(re.newest) && len(rp.Holders) > 0 {
		re.holders = rp.Holders
	}
}

func (re Report) same(other Report) bool {
	return re.Newest == other.Newest && re.Lowest == other.Lowest &&
		re.Instances == other.Instances && re.Current == other.Current
}

// sum returns the report of this instance and all below it.
func (re *Reader) sum(now time.Time) Report {
	version := re.state.Version()
	total := Report{
		Domain:    re.self.Domain,
		Newest:    version,
		Lowest:    version,
		Instances: 1,
		Current:   1,
		Holders:   []netip.AddrPort{re.self.Address},
	}
	for _, from := range slices.SortedFunc(maps.Keys(re.below), netip.AddrPort.Compare) {
		rp := re.below[from]
		if now.Before(rp.expires) && re.counts(from) {
			total = total.Add(rp.Report)
		}
	}
	return total
}

// counts reports whether the sender is one of this instance's children or a
// guest. A member that is neither reports to another by now.
func (re *Reader) counts(from netip.AddrPort) bool {
	return slices.Contains(re.role.children, from) || !re.view.known[from]
}

// sweep drops the reports that were not repeated.
func (ta *tally) sweep(now time.Time) {
	for from, rp := range ta.below {
		if !now.Before(rp.expires) {
			delete(ta.below, from)
		}
	}
}

// report passes the sum on, to the parent or as the domain's to all.
func (re *Reader) report(now time.Time) []Action {
	if now.Before(re.reportAt) || !re.role.top && !re.role.parent.IsValid() {
		return nil
	}
	re.reportAt = now.Add(ReportInterval)
	if re.repeats > 0 && !re.role.top {
		re.repeats--
		re.reportAt = now.Add(ReportRepeat)
	}
	re.reported = now
	re.sweep(now)
	total := re.sum(now)
	if !re.role.top {
		return []Action{{Kind: ActionReport, Peer: re.role.parent, Report: total}}
	}
	re.domains[total.Domain] = received{Report: total, expires: now.Add(ReportExpiry)}
	body, err := cbor.Marshal(total)
	if err != nil {
		return nil
	}
	return []Action{re.publish(KeySum+re.self.Address.String(), body)}
}

// heardSum takes the published sum of a failure domain.
func (re *Reader) heardSum(now time.Time, body []byte) {
	var rp Report
	if cbor.Unmarshal(body, &rp) == nil {
		re.domains[rp.Domain] = received{Report: rp, expires: now.Add(ReportExpiry)}
		re.learn(now, rp)
	}
}

// InForce returns what the fleet has in force, as far as this instance knows.
func (re *Reader) InForce(now time.Time) Report {
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
