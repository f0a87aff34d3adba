package desk

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

// meters are the metrics of the requests. Each label is that of the tenant
// firm or service, followed by the class, or by outcome and reason.
type meters struct {
	board *gauge.Board
	label string
}

// newMeters returns the meters of a label.
func newMeters(bo *gauge.Board, label string) meters {
	return meters{board: bo, label: label}
}

// observe enters the time from the arrival of a request to its last byte.
func (me meters) observe(cl dispatch.Class, took time.Duration) {
	me.board.Observe("RequestMilliseconds", me.label+"/"+cl.String(), took)
}

// count enters an outcome.
func (me meters) count(re dispatch.Respond) {
	me.board.Count("Outcomes."+me.label+"/"+re.Outcome.String()+"/"+re.Reason.String(), 1)
}
