package agent

import (
	"github.com/rcrowley/go-metrics"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

// counts holds the counters of the datagram path.
type counts struct {
	malformed, accepted, forwarded, hostGone, queueFull, sendFailed metrics.Counter
	// dropped is indexed by route.Reason.
	dropped [route.ReasonCount]metrics.Counter
}

func newCounts(bo *gauge.Registry) counts {
	co := counts{
		malformed:  bo.Counter("DatagramsMalformed"),
		accepted:   bo.Counter("DatagramsAccepted"),
		forwarded:  bo.Counter("DatagramsPassedOn"),
		hostGone:   bo.Counter("DatagramsHostLeft"),
		queueFull:  bo.Counter("DatagramsQueueFull"),
		sendFailed: bo.Counter("DatagramsSendFailed"),
	}
	for re := range co.dropped {
		co.dropped[re] = bo.Counter("DatagramsDropped." + route.Reason(re).String())
	}
	return co
}
