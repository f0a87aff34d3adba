package route

import (
	"math/bits"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// LoadScore compares hosts for late binding: the open flows for each unit of
// weight, times the utilisation. It is a floating-point number of 6 bits of
// exponent and 10 bits of mantissa, so that Pressures compare as integers. Zero
// is an unknown pressure.
type LoadScore uint16

const (
	mantissaBits = 10
	// utilisationBase damps the utilisation of idle hosts, in percent.
	utilisationBase = 20
	// pressureLifetime is how long a refused offer tells of the peer.
	loadScoreLifetime = 2 * time.Second
	// offerMargin is the share of the peer's pressure by which the own one
	// must be higher before a flow is offered, as a right shift.
	offerMarginShift = 7
	// offerMinimum is the number of open flows below which none is offered.
	minFlowsToOffer = 16
)

// pressureOf returns the pressure of a host.
func loadScoreOf(flows int, weight, utilisation uint16) LoadScore {
	scaled := uint64(flows+1) * uint64(utilisation+utilisationBase) << mantissaBits
	return newLoadScore(scaled / uint64(max(weight, 1)))
}

func newLoadScore(value uint64) LoadScore {
	value = max(value, 1<<mantissaBits)
	exponent := bits.Len64(value) - 1 - mantissaBits
	mantissa := value >> exponent & (1<<mantissaBits - 1)
	return LoadScore(exponent<<mantissaBits | int(mantissa))
}

// value returns the number that a pressure stands for.
func (ls LoadScore) value() uint64 {
	return (uint64(ls)&(1<<mantissaBits-1) | 1<<mantissaBits) << (ls >> mantissaBits)
}

// exceeds reports whether the pressure is higher by the margin.
func (ls LoadScore) exceeds(other LoadScore) bool {
	limit := other.value()
	return ls.value() > limit+limit>>offerMarginShift
}

// peer is another host of the service.
type peer struct {
	Candidate
	// generation changes when the pointers to the peer become void.
	generation uint8
	state      register.State
	loadScore  LoadScore
	// pressureDeadline ends the use of the pressure.
	loadScoreDeadline int64
}

// takesOffers reports whether the peer may be offered flows. A warming host
// gets its share by its weight alone.
func (pe *peer) takesOffers() bool {
	return pe.state == 0 || pe.state == register.StateReady
}

// Pressure returns the agent's own pressure.
func (fl *FlowTable) LoadScore() LoadScore {
	return loadScoreOf(fl.Flows(), fl.weight, fl.utilisation)
}

// learnPressure keeps what a peer says of itself.
func (fl *FlowTable) recordLoadScore(now int64, pk *Packet) {
	if pk.Hops == 0 || pk.LoadScore == 0 {
		return
	}
	i, ok := fl.peerIndex[pk.Sender]
	if !ok {
		return
	}
	fl.peers[i].loadScore = pk.LoadScore
	fl.peers[i].loadScoreDeadline = now + int64(loadScoreLifetime)
}

// wantsOffer reports whether a new flow is to be offered to the second choice.
func (fl *FlowTable) shouldOffer(now int64, second Candidate) bool {
	if fl.Flows() < minFlowsToOffer {
		return false
	}
	i, ok := fl.peerIndex[second.Address]
	if !ok {
		return true
	}
	pe := &fl.peers[i]
	if !pe.takesOffers() {
		return false
	}
	if pe.loadScoreDeadline <= now {
		return true
	}
	return fl.LoadScore().exceeds(pe.loadScore)
}
