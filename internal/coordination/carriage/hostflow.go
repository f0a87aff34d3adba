package carriage

import (
	"container/list"
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/workload"
)

// stage is the state of a flow at its host, as far as the agent knows.
type stage uint8

const (
	// stagePending is an opening that the host has not answered.
	stagePending stage = iota + 1
	// stageAccepted is a flow that the host has accepted and whose caller has not
	// completed the handshake.
	stageAccepted
	// stageOpen is a flow that the host holds.
	stageOpen
	// stageTentative is a flow that the host may hold and of which a packet was
	// delivered to find out.
	stageTentative
	// stageNotHeld is a flow of which the host returned a packet: it doesn't hold
	// the flow.
	stageNotHeld
	// stageLost is a flow that the host held before it restarted or discarded it.
	stageLost
)

// hostFlow is what an agent knows of a flow of its host.
type hostFlow struct {
	flow     Flow
	stage    stage
	balancer netip.AddrPort
	// initialSequence is the sequence number of the packet with which the host
	// accepted the flow.
	initialSequence uint32
	// openingSequence is the sequence number of the opening packet. It is the same in
	// all copies.
	openingSequence uint32
	exchange        exchange
	// request is the request in progress in the host's remaining work, nil if there is
	// none.
	request *workload.Request
	// working says that the flow counts as in progress: its opening or its request
	// is not yet answered. answering says that the host has sent data that the
	// caller has not acknowledged.
	working, answering bool
	// closed says that the host has ended the flow.
	closed bool
	// touched is when the last packet of an active flow was seen; element is its
	// position in the list of active flows, nil if it isn't in it.
	touched time.Time
	element *list.Element
	// opened is when the opening was delivered to the host, zero if unknown.
	opened time.Time
	// located says, in stageTentative, that the balancer knew the flow to be here.
	located bool
}

// isOf reports whether a caller's packet that acknowledges the number may belong to
// the flow. One that doesn't belongs to another flow between the same addresses: the
// caller has used its port again, perhaps for a flow at another host.
func (hf *hostFlow) isOf(acknowledged uint32) bool {
	if hf.stage == stageAccepted {
		return acknowledges(acknowledged, hf.initialSequence)
	}
	return hf.exchange.host.contains(acknowledged)
}

// isKnownHolder reports whether the host is known to hold the flow, to have accepted
// it, or to have lost it.
func (hf *hostFlow) isKnownHolder() bool {
	return hf.stage == stageAccepted || hf.stage == stageOpen || hf.stage == stageLost
}

// mayBeOpen reports whether the host may still hold the flow.
func (hf *hostFlow) mayBeOpen() bool {
	return !hf.closed && (hf.stage == stageAccepted || hf.stage == stageOpen || hf.stage == stageTentative)
}

// hasReturned reports whether the host itself has returned, or reset, a packet that
// acknowledges the number. A returned opening tells nothing about an earlier flow between
// the same addresses, and leaves no number of the host.
func (hf *hostFlow) hasReturned(acknowledged uint32) bool {
	return hf.stage == stageNotHeld && hf.exchange.host.known && hf.isOf(acknowledged)
}

// mayBecomeOf reports whether the host may yet turn out to hold the flow of a packet that
// acknowledges the number: it hasn't answered the opening or the packet that was
// delivered, or has accepted a late copy of the opening of a flow that is in use.
func (hf *hostFlow) mayBecomeOf(acknowledged uint32) bool {
	switch hf.stage {
	case stagePending:
		return true
	case stageAccepted:
		return near(acknowledged, hf.initialSequence)
	case stageTentative:
		return hf.isOf(acknowledged)
	default:
		return false
	}
}
