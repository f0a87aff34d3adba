package carriage

import "time"

// flowSkew is the time within which three packets of an open flow at other hosts, and
// none at its own, break the flow.
const flowSkew = 2 * time.Second

// misdelivery follows which of an open flow's packets reach other hosts than its own.
type misdelivery struct {
	// reached is when a packet last reached the flow's host, others when packets
	// reached other hosts since then.
	reached time.Time
	others  []time.Time
	broken  bool
	// packets is when the caller's packets first reached other hosts since then, one time
	// for each; last is the number of the last of them. misrouted says that three did so
	// within flowSkew.
	packets   []time.Time
	last      int
	misrouted bool
}

// areMany reports whether three of the times lie within flowSkew.
func areMany(list []time.Time) bool {
	for i := 2; i < len(list); i++ {
		if list[i].Sub(list[i-2]) <= flowSkew {
			return true
		}
	}
	return false
}

// reach notes that a packet has reached the flow's host, or that the test ends.
func (mi *misdelivery) reach(now time.Time) {
	if now.Sub(mi.reached) >= flowSkew {
		mi.broken = mi.broken || areMany(mi.others)
		mi.misrouted = mi.misrouted || areMany(mi.packets)
	}
	mi.reached = now
	mi.others = mi.others[:0]
	mi.packets = mi.packets[:0]
}

// noteDelivery notes that a caller's packet that opens no flow has reached a host,
// while the holder holds its flow. While the agent of the holder is down nobody can
// know where the flow is, and nothing is counted.
func (si *simulation) noteDelivery(flow Flow, ho, holder *simHost) {
	if holder == nil {
		return
	}
	mi := si.misdeliveries[flow]
	if mi == nil {
		mi = &misdelivery{reached: si.now}
		si.misdeliveries[flow] = mi
	}
	if holder == ho || !holder.agent {
		mi.reach(si.now)
		return
	}
	mi.others = append(mi.others, si.now)
	if number := si.callers[flow].packets; number != mi.last {
		mi.last = number
		mi.packets = append(mi.packets, si.now)
	}
}

// misdelivered returns the flows that were broken by packets at other hosts, where each
// copy of a packet that the system has made counts.
func (si *simulation) misdelivered() []Flow {
	return si.flowsWith(func(mi *misdelivery) bool { return mi.broken })
}

// misrouted returns the flows of which three packets that the caller has sent were at other
// hosts, where a packet counts once, however many hosts got it.
func (si *simulation) misrouted() []Flow {
	return si.flowsWith(func(mi *misdelivery) bool { return mi.misrouted })
}

func (si *simulation) flowsWith(is func(mi *misdelivery) bool) []Flow {
	var flows []Flow
	for flow, mi := range si.misdeliveries {
		mi.reach(si.now)
		if is(mi) {
			flows = append(flows, flow)
		}
	}
	return flows
}
