package dispatch

import "time"

// The behaviour of the meter.
const (
	// fullLoad is the utilisation of a server whose slots are all busy.
	fullLoad = 1000
	// meterWindow is the time over which the utilisation is averaged.
	meterWindow = 2 * time.Second
	// reportMargin is how far a report may exceed what the agent sees.
	reportMargin = 300
	// reportLife is how long a report counts.
	reportLife = 5 * time.Second
	// successMemory is how long a whole answer outweighs a bad health report.
	successMemory = 2 * time.Second
)

// meter measures the utilisation of the backend server and clamps what the
// server's endpoints report by what the agent itself sees.
type meter struct {
	slots    int
	since    time.Time
	busy     float64
	running  int
	success  time.Time
	reported LoadReported
	expiry   time.Time
}

// newMeter returns the meter of an idle server.
func newMeter(now time.Time, slots int) meter {
	return meter{slots: slots, since: now}
}

// advance accounts for the executions that ran since the last call.
func (me *meter) advance(now time.Time, running int) {
	if past := now.Sub(me.since); past > 0 {
		share := min(1, float64(past)/float64(meterWindow))
		me.busy += (float64(me.running) - me.busy) * share
		me.since = now
	}
	me.running = running
}

// succeeded accounts for a whole answer.
func (me *meter) succeeded(now time.Time) {
	me.success = now
}

// report takes what the server's endpoints say.
func (me *meter) report(now time.Time, ev LoadReported) {
	me.reported = ev
	me.expiry = now.Add(reportLife)
}

// load returns the utilisation in thousandths.
func (me *meter) load() int {
	seen := int(me.busy * fullLoad / float64(me.slots))
	if me.since.After(me.expiry) {
		return seen
	}
	return max(seen, min(me.reported.Load, seen+reportMargin))
}

// distrusted reports whether the server is said to be unhealthy and has not
// proven otherwise of late.
func (me *meter) distrusted(now time.Time) bool {
	if now.After(me.expiry) || me.reported.Healthy {
		return false
	}
	return me.success.IsZero() || now.Sub(me.success) > successMemory
}
