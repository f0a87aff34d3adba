package explanation

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// OfPlacement returns the answer of a balancer on the users' platform.
func OfPlacement(ex carriage.Explanation) Answer {
	an := Answer{
		Caller: ex.Flow.Caller, Address: ex.Flow.Service, Service: ex.Service,
		MedianServiceTimeMilliseconds: knownMilliseconds(ex.Median), OtherHosts: ex.OtherHosts,
	}
	if !ex.Configured {
		an.Outcome, an.Reason = OutcomeWaits, "the balancer has no configuration"
		if ex.Kind == carriage.KindDrop {
			an.Outcome = OutcomeDropped
		}
		an.SetProblem(NoConfiguration, "the balancer has no configuration yet; openings wait for it as long as there is room")
		return an
	}
	an.Version = strconv.FormatUint(ex.Version, 10)
	an.setServices(ex.Services)
	switch {
	case ex.ByWork:
		an.RankedBy, an.MeanCostMilliseconds = RankedByWork, milliseconds(ex.MeanCost)
	case ex.Service != "":
		an.RankedBy = RankedByCounts
	}
	switch ex.Kind {
	case carriage.KindForward:
		an.Outcome, an.Choice, an.Mode = OutcomeSent, &ex.Choice, modeName(ex.Mode)
	case carriage.KindPark:
		an.Outcome, an.Reason = OutcomeWaits, "no host takes it, and one may become available soon"
	default:
		an.Outcome, an.Reason = OutcomeRefused, ex.Reason.String()
	}
	if ex.Service == "" {
		an.SetProblem(UnknownAddress, "%s", unknownAddressText(&an))
	}
	for i := range ex.Hosts {
		an.Hosts = append(an.Hosts, hostOfPlacement(&ex, &ex.Hosts[i]))
	}
	return an
}

// unknownAddressText says why no service gets the flow.
func unknownAddressText(an *Answer) string {
	if len(an.Services) > 0 {
		return fmt.Sprintf("every service of address %s has weight zero in configuration version %s", an.Address, an.Version)
	}
	return fmt.Sprintf("address %s has no route in configuration version %s", an.Address, an.Version)
}

// setServices sets the services of the address and the reason of the choice.
func (an *Answer) setServices(services catalog.WeightedServices) {
	var shares []string
	taking := 0
	for _, sv := range services {
		if sv.Weight > 0 {
			taking++
		}
		an.Services = append(an.Services, Share{Service: sv.Service, Weight: sv.Weight})
		shares = append(shares, fmt.Sprintf("%s (weight %d)", sv.Service, sv.Weight))
	}
	switch {
	case an.Service == "":
	case taking == 1:
		an.ServiceReason = "the only service of the address that gets new flows"
	default:
		an.ServiceReason = "the flow's hash picks it from " + strings.Join(shares, ", ")
	}
}

// modeName returns the name of a delivery mode.
func modeName(mode carriage.DeliveryMode) string {
	if mode == carriage.DeliverIfFree {
		return "IfFree"
	}
	return "OrQueue"
}

func hostOfPlacement(ex *carriage.Explanation, from *carriage.HostExplanation) Host {
	ho := Host{
		Address: from.Address, Service: from.Service, Domain: from.Domain, State: from.State.String(),
		InProgress: finite(from.InProgress), Slots: &from.Slots, ServiceTimeMilliseconds: knownMilliseconds(from.ServiceTime),
		Reason: string(from.Reason),
	}
	if !from.Reported.IsZero() {
		ho.ReportAgeMilliseconds = milliseconds(ex.At.Sub(from.Reported))
	}
	if from.Service == ex.Service {
		ho.setInputs(ex, from)
	}
	if from.Ranked {
		ho.Candidate, ho.Cost = &from.Candidate, finite(from.Cost)
	}
	return ho
}

// setInputs sets the inputs of the cost that depend on what the hosts are ranked by.
func (ho *Host) setInputs(ex *carriage.Explanation, from *carriage.HostExplanation) {
	if !ex.ByWork {
		ho.Slowness = finite(from.Slowness)
		return
	}
	if from.Work.MeanCost > 0 {
		ho.RemainingMilliseconds, ho.MeanCostMilliseconds = milliseconds(from.Work.Remaining), milliseconds(from.Work.MeanCost)
	}
	ho.EstimatedLoad, ho.RelativeCost = finite(from.Load), finite(from.RelativeCost)
}

// finite returns the value, nil if it is infinite or no number, which JSON can't hold.
// The wire format of reports has no such values, but carriage.Report can hold them.
func finite(value float64) *float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return nil
	}
	return &value
}
