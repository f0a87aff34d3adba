package desk

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

// requestMetrics records the durations and outcomes of requests under the labels
// that metricsLabel returns.
type requestMetrics struct {
	registry *gauge.Registry
}

// observe records the time from the arrival of a request to the end of its
// handling.
func (me requestMetrics) observe(label string, took time.Duration) {
	me.registry.Observe("RequestMilliseconds", label, took)
}

// count adds one to the counter of the outcome and its reason.
func (me requestMetrics) count(label string, re dispatch.Respond) {
	me.registry.Count("Outcomes."+label+"/"+re.Outcome.String()+"/"+re.Reason.String(), 1)
}
