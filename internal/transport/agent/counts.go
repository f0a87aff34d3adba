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

func newCounts(rg *gauge.Registry) counts {
	co := counts{
		malformed:  rg.Counter("DatagramsMalformed"),
		accepted:   rg.Counter("DatagramsAccepted"),
		forwarded:  rg.Counter("DatagramsPassedOn"),
		hostGone:   rg.Counter("DatagramsHostLeft"),
		queueFull:  rg.Counter("DatagramsQueueFull"),
		sendFailed: rg.Counter("DatagramsSendFailed"),
	}
	for re := range co.dropped {
		co.dropped[re] = rg.Counter("DatagramsDropped." + route.Reason(re).String())
	}
	return co
}
