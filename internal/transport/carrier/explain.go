package carrier

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/protocol/explanation"
)

// maxConfirmationAge is the age of the last confirmation from which a balancer's
// configuration counts as out of date: a newer one has to be in force everywhere within
// 3 s.
const maxConfirmationAge = 3 * time.Second

// explain answers an operator's question where an opening of the flow would go now, and
// why. It changes no state of the placer or of the view.
func (ba *Balancer) explain(caller, address netip.AddrPort) explanation.Answer {
	ba.metrics.Count("Explanations", 1)
	ba.mu.Lock()
	now := time.Now()
	ex := ba.placer.Explain(now, carriage.Flow{Caller: caller, Service: address})
	joined, confirmed := ba.view.Joined(), ba.view.Confirmed()
	ba.mu.Unlock()
	an := explanation.OfPlacement(ex)
	an.Balancer, an.Domain = ba.settings.Name, ba.settings.Domain
	if !confirmed.IsZero() {
		an.SetConfirmed(now.Sub(confirmed))
	}
	switch {
	case !joined:
		an.SetProblem(explanation.StaleView, "the view is incomplete: no other member was heard since the start %s ago",
			now.Sub(ba.started).Round(time.Millisecond))
	case confirmed.IsZero():
		an.SetProblem(explanation.StaleView, "the view is stale: the store never confirmed configuration version %s", an.Version)
	case now.Sub(confirmed) > maxConfirmationAge:
		an.SetProblem(explanation.StaleView, "the view is stale: the store last confirmed configuration version %s %s ago",
			an.Version, now.Sub(confirmed).Round(time.Millisecond))
	}
	return an
}
