package agent

import (
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/desk"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

// openDesk makes the handler of the callers' requests.
func (ag *Agent) openDesk(mux *link.Mux, record register.Host) {
	ag.desk = desk.New(desk.Config{
		Host:    record,
		Label:   "Service" + strconv.FormatUint(uint64(ag.service), 10),
		Slots:   ag.cfg.Slots,
		Backend: ag.cfg.Backend,
		Secret:  ag.cfg.Material.Secret(),
		Pool:    ag.pool,
		Board:   ag.cfg.Board,
	})
	ag.desk.Register(mux)
}

// stopDesk lets the requests in progress end and hands the ledger over. The
// returned channel is closed when that is done.
func (ag *Agent) stopDesk(deadline time.Time) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		re := ag.desk.Stop(deadline)
		if re.Unfinished > 0 {
			klog.InfoS("Agent stopped with requests in progress", "Requests", re.Unfinished, "LedgerAdopted", re.Adopted)
		}
	}()
	return done
}
