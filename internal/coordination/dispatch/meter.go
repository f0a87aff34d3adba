package dispatch

import "time"

// The parameters of the meter.
const (
	// fullLoad is the load, in thousandths, of a server whose slots are all busy.
	fullLoad = 1000
	// meterWindow is the time over which the number of busy slots is averaged.
	meterWindow = 2 * time.Second
	// reportMargin is how far, in thousandths, a reported load may exceed the
	// load that the agent measures.
	reportMargin = 300
	// reportLifetime is how long a report counts.
	reportLifetime = 5 * time.Second
	// successWindow is how long a complete response overrides a report that the
	// server is unhealthy.
	successWindow = 2 * time.Second
)

// meter measures the utilisation of the backend server. The load that the
// server reports in health checks can raise it by reportMargin at most and cannot
// lower it.
type meter struct {
	slots int
	// lastAdvance is the time of the last call of advance.
	lastAdvance time.Time
	// meanRunning is the moving average of the number of running executions.
	meanRunning float64
	// running is the number of executions since lastAdvance.
	running int
	// lastSuccess is the time of the last complete response, or zero.
	lastSuccess time.Time
	// lastReport counts until reportExpiry.
	lastReport   LoadReported
	reportExpiry time.Time
}

// newMeter returns the meter of an idle server.
func newMeter(now time.Time, slots int) meter {
	return meter{slots: slots, lastAdvance: now}
}

// advance accounts for the time since the last call and sets the number of
// running executions from now on.
func (me *meter) advance(now time.Time, running int) {
	if elapsed := now.Sub(me.lastAdvance); elapsed > 0 {
		share := min(1, float64(elapsed)/float64(meterWindow))
		me.meanRunning += (float64(me.running) - me.meanRunning) * share
		me.lastAdvance = now
	}
	me.running = running
}

// succeeded records a complete response.
func (me *meter) succeeded(now time.Time) {
	me.lastSuccess = now
}

// report records the result of a health check.
func (me *meter) report(now time.Time, ev LoadReported) {
	me.lastReport = ev
	me.reportExpiry = now.Add(reportLifetime)
}

// load returns the utilisation in thousandths.
func (me *meter) load() int {
	measured := int(me.meanRunning * fullLoad / float64(me.slots))
	if me.lastAdvance.After(me.reportExpiry) {
		return measured
	}
	return max(measured, min(me.lastReport.Load, measured+reportMargin))
}

// unhealthy reports whether the server is reported as unhealthy and has given
// no complete response within successWindow.
func (me *meter) unhealthy(now time.Time) bool {
	if now.After(me.reportExpiry) || me.lastReport.Healthy {
		return false
	}
	return me.lastSuccess.IsZero() || now.Sub(me.lastSuccess) > successWindow
}
