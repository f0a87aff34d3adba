package carriage

import (
	"net/netip"
	"slices"
	"time"
)

// phase is the state of a flow at a balancer.
type phase uint8

const (
	// phaseOpening is a flow whose opening was sent to an agent and is not
	// confirmed.
	phaseOpening phase = iota + 1
	// phaseLocated is a flow whose agent is known.
	phaseLocated
	// phaseSearching is a flow whose agent is being searched for.
	phaseSearching
	// phaseLost is a flow that the last search didn't find.
	phaseLost
	// phaseParked is an opening that waits for a host to become available.
	phaseParked
)

// trackedFlow is what a balancer knows of one flow.
type trackedFlow struct {
	flow  Flow
	phase phase
	agent *agent
	// opened is when the first copy of the opening packet that the balancer has handled
	// arrived.
	opened time.Time
	// opening is the opening packet until it is confirmed.
	opening []byte
	// copyNumber is Packet.Copy of that packet, openingSequence its sequence number,
	// which all copies share.
	copyNumber      uint32
	openingSequence uint32
	// number is the sequence number of the caller's last packet.
	number uint32
	// acknowledged is the highest number that the caller has acknowledged since the flow
	// was established. ended says that it has closed or reset the flow.
	acknowledged uint32
	ended        bool
	// copies has a bit for each copy of the opening packet that has arrived.
	copies  uint8
	service string
	// tried are the agents that the opening was sent to, in order; busy are those
	// of them that declined it because their hosts were busy.
	tried []netip.AddrPort
	busy  []netip.AddrPort
	// mode is the mode in which the opening was sent last; warming are the agents that
	// declined to queue it because their hosts are cold.
	mode    DeliveryMode
	warming []netip.AddrPort
	// unconfirmed says that a host may have accepted the opening, or may still do
	// so, without its confirmation being known here.
	unconfirmed bool
	// established says that a packet after the opening was forwarded.
	established bool
	// evacuated are the failure domains whose agents declined the opening because they
	// are evacuated. It isn't sent there again.
	evacuated []string
	// extended says that the deadline of this attempt was extended by
	// tickDelayGrace.
	extended bool
	// search is the state of a search in phaseSearching and phaseLost, and of an early check
	// in phaseLocated. Otherwise it is nil.
	search *search
	// deadline is when Tick handles the flow next; index is its position in the
	// heap, -1 while it has no deadline.
	deadline time.Time
	index    int
}

// started returns when the caller sent the first copy of its opening packet,
// estimated from the copy's number.
func (tf *trackedFlow) started() time.Time { return tf.opened.Add(-copyAge(tf.copyNumber)) }

// noteCopy notes a copy of the opening packet.
func (tf *trackedFlow) noteCopy(number uint32) {
	if number < openingCopies {
		tf.copies |= 1 << number
	}
}

// hasAllCopies reports whether all copies that the caller has sent by now have
// arrived at this balancer. Others may have placed those that have not.
func (tf *trackedFlow) hasAllCopies(now time.Time) bool {
	for number := range uint32(openingCopies) {
		due := tf.opened.Add(copyAge(number) - callerRoundTrip)
		if !now.Before(due) && tf.copies&(1<<number) == 0 {
			return false
		}
	}
	return true
}

// isOf reports whether the caller's packet may belong to the flow. One that doesn't
// belongs to another flow between the same addresses.
func (tf *trackedFlow) isOf(pk Packet) bool { return near(pk.Sequence, tf.number) }

// isReopenedBy reports whether the opening packet is that of another flow between the
// same addresses, and no copy of the packet that opened this one.
func (tf *trackedFlow) isReopenedBy(now time.Time, pk Packet) bool {
	if tf.service != "" && pk.Sequence != tf.openingSequence || !tf.isOf(pk) {
		return true
	}
	return pk.Copy == 0 && now.Sub(tf.opened) > reopenAge
}

// isOpening reports whether an agent may still decline the flow's opening: it isn't
// confirmed, or it may be waiting at the agent.
func (tf *trackedFlow) isOpening() bool {
	return tf.phase == phaseOpening || tf.phase == phaseLocated && !tf.established
}

// opensNow reports whether the flow's opening is so recent, and still without a further
// packet, that a packet of another flow between the same addresses is a late one of a
// former flow.
func (tf *trackedFlow) opensNow(now time.Time) bool {
	return (tf.isOpening() || tf.phase == phaseParked) && now.Sub(tf.opened) <= reopenAge
}

func (tf *trackedFlow) due() time.Time { return tf.deadline }

func (tf *trackedFlow) setIndex(index int) { tf.index = index }

// hasTried reports whether the opening was sent to the agent before and must not
// be sent there again. Once maxOffers hosts have declined it as busy, it may be
// sent to them again to be queued.
func (tf *trackedFlow) hasTried(ag *agent) bool {
	if slices.Contains(tf.evacuated, ag.domain) {
		return true
	}
	if tf.hasDeclinedToQueue(ag) {
		return true
	}
	if len(tf.busy) >= maxOffers && slices.Contains(tf.busy, ag.address) {
		return false
	}
	return slices.Contains(tf.tried, ag.address)
}

// excludeAgent notes, for the search that begins next, that the agent has declined a
// packet of the flow. Its host may have got the packet.
func (tf *trackedFlow) excludeAgent(now time.Time, ag *agent) {
	if tf.search == nil {
		tf.search = &search{turn: -1, began: now}
	}
	tf.search.exclude(ag)
	tf.search.notePacketTried(now)
}
