package route

import (
	"math/bits"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// LoadScore is the load by which two hosts are compared before a new flow is
// offered: (open flows + 1) / weight, times the utilisation in percent plus
// utilisationBase. It is a floating-point number with 6 bits of exponent and 10
// bits of mantissa, so scores compare as integers. Zero means that the score is
// unknown.
type LoadScore uint16

const (
	mantissaBits = 10
	// utilisationBase, in percent, is added to the utilisation, so that small
	// differences between idle hosts don't dominate the score.
	utilisationBase = 20
	// loadScoreLifetime is how long a score that a peer has sent is used.
	loadScoreLifetime = 2 * time.Second
	// offerMarginShift sets by how much the own score must exceed the peer's
	// before a flow is offered: by the peer's score shifted right by this.
	offerMarginShift = 7
	// minFlowsToOffer is the number of open flows below which none is offered.
	minFlowsToOffer = 16
)

// loadScoreOf returns the score of a host. Utilisation is in percent.
func loadScoreOf(flows int, weight, utilisation uint16) LoadScore {
	scaled := uint64(flows+1) * uint64(utilisation+utilisationBase) << mantissaBits
	return newLoadScore(scaled / uint64(max(weight, 1)))
}

// newLoadScore rounds a value down to a score. Values below 1<<mantissaBits are
// raised to it.
func newLoadScore(value uint64) LoadScore {
	value = max(value, 1<<mantissaBits)
	exponent := bits.Len64(value) - 1 - mantissaBits
	mantissa := value >> exponent & (1<<mantissaBits - 1)
	return LoadScore(exponent<<mantissaBits | int(mantissa))
}

// value returns the number that a score encodes.
func (ls LoadScore) value() uint64 {
	return (uint64(ls)&(1<<mantissaBits-1) | 1<<mantissaBits) << (ls >> mantissaBits)
}

// exceeds reports whether the score is higher than the other by more than the
// margin of an offer.
func (ls LoadScore) exceeds(other LoadScore) bool {
	limit := other.value()
	return ls.value() > limit+limit>>offerMarginShift
}

// peer is another host of the service.
type peer struct {
	Candidate
	// generation changes when the forwarding entries to the peer become invalid.
	generation uint8
	// state is zero until a record of the peer is received.
	state     register.State
	loadScore LoadScore
	// loadScoreDeadline is when loadScore expires, in nanoseconds since the
	// table's start.
	loadScoreDeadline int64
}

// takesOffers reports whether flows may be offered to the peer. A warming host
// gets none: its weight alone limits its share of new flows.
func (pe *peer) takesOffers() bool {
	return pe.state == 0 || pe.state == register.StateReady
}

// LoadScore returns the host's own score.
func (fl *FlowTable) LoadScore() LoadScore {
	return loadScoreOf(fl.Flows(), fl.weight, fl.utilisation)
}

// recordLoadScore keeps the score that a known peer sent in a forwarded packet.
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

// shouldOffer reports whether a new flow is to be offered to the second choice:
// this host has at least minFlowsToOffer open flows, the second choice may get
// offers, and its score isn't known at present or is lower by more than the margin.
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
