package desk

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

// meters are the metrics of the requests. Each label names the tenant firm and
// the class.
type meters struct {
	board *gauge.Registry
}

// observe enters the time from the arrival of a request to its last byte.
func (me meters) observe(label string, took time.Duration) {
	me.board.Observe("RequestMilliseconds", label, took)
}

// count enters an outcome.
func (me meters) count(label string, re dispatch.Respond) {
	me.board.Count("Outcomes."+label+"/"+re.Outcome.String()+"/"+re.Reason.String(), 1)
}
