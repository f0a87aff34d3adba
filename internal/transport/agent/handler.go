package agent

import (
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/desk"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

// openHandler makes the handler of callers' requests.
func (ag *Agent) openHandler(mux *link.Mux, record register.Host) {
	ag.handler = desk.New(desk.Config{
		Host:    record,
		Label:   "Service" + strconv.FormatUint(uint64(ag.service), 10),
		Slots:   ag.cfg.Slots,
		Backend: ag.cfg.Backend,
		Secret:  ag.cfg.Material.Secret(),
		Pool:    ag.pool,
		Metrics: ag.cfg.Registry,
	})
	ag.handler.Register(mux)
}

// stopHandler refuses new requests, lets those in progress end and hands over the
// ledger, at most until the deadline. The returned channel is closed when that is
// done.
func (ag *Agent) stopHandler(deadline time.Time) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		re := ag.handler.Stop(deadline)
		if re.Unfinished > 0 {
			klog.InfoS("Agent stopped with requests in progress", "Requests", re.Unfinished, "LedgerAdopted", re.Adopted)
		}
	}()
	return done
}
