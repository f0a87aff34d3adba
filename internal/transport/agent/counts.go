package agent

import (
	"github.com/rcrowley/go-metrics"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

// counts are the metrics of the datagram path.
type counts struct {
	malformed, accepted, passed, reset, queueFull, sendFailed metrics.Counter
	// dropped counts by route.Reason.
	dropped [route.ReasonCount]metrics.Counter
}

func newCounts(bo *gauge.Registry) counts {
	co := counts{
		malformed:  bo.Counter("DatagramsMalformed"),
		accepted:   bo.Counter("DatagramsAccepted"),
		passed:     bo.Counter("DatagramsPassedOn"),
		reset:      bo.Counter("DatagramsHostLeft"),
		queueFull:  bo.Counter("DatagramsQueueFull"),
		sendFailed: bo.Counter("DatagramsSendFailed"),
	}
	for re := range co.dropped {
		co.dropped[re] = bo.Counter("DatagramsDropped." + route.Reason(re).String())
	}
	return co
}
