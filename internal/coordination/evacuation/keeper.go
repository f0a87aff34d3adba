package evacuation

import (
	"net/netip"
	"slices"
	"time"
)

// repeatAfter is how long after a change the set is sent a second time, as datagrams
// may be lost.
const repeatAfter = 80 * time.Millisecond

// Member is another process.
type Member struct {
	Address  netip.AddrPort
	Domain   string
	Balancer bool
}

// Keeper is the state machine of what a process knows of the evacuations: it decides
// which sets it takes and to whom it sends its own. It is not safe for concurrent use.
type Keeper struct {
	// domain is the failure domain of the process.
	domain string
	// set is in force if known is set.
	set   Set
	known bool
	// read is the set that the process itself read last, if hasRead is set.
	read     Set
	hasRead  bool
	assembly assembly
	// repeatAt is when the set is sent again to the addresses of repeatTo, zero if it
	// isn't.
	repeatAt time.Time
	repeatTo []netip.AddrPort
}

// NewKeeper returns the Keeper of a process in the failure domain that knows no set.
func NewKeeper(domain string) *Keeper { return &Keeper{domain: domain} }

// Set returns the set in force. It reports false if the process has never known one.
func (ke *Keeper) Set() (Set, bool) { return ke.set, ke.known }

// Evacuated reports whether the failure domain is known to be evacuated.
func (ke *Keeper) Evacuated(domain string) bool { return ke.known && ke.set.Contains(domain) }

// Read handles a set that the process has read from the store. With anew the process's
// last read belonged to another history of the store, so that origins can't be compared;
// otherwise a set that is older than the one in force is ignored: the store's answer was
// late. Read reports whether the set was put in force, and returns the addresses of the
// members that it is to be sent to now.
//
// The set is sent when it differs from what the process read before, also if another
// member told of the change first: that one doesn't send it to the whole domain of this
// process.
func (ke *Keeper) Read(now time.Time, set Set, anew bool, list []Member) (taken bool, to []netip.AddrPort) {
	if ke.known && !anew && set.Origin.Compare(ke.set.Origin) < 0 {
		return false, nil
	}
	before, compared := ke.read, ke.hasRead
	if !compared && ke.known {
		before, compared = ke.set, true
	}
	taken = !ke.known || set.Origin != ke.set.Origin
	ke.set, ke.known = set, true
	ke.read, ke.hasRead = set, true
	changed := set.Changed(before)
	if compared && len(changed) == 0 {
		return taken, nil
	}
	to = ke.recipients(changed, list)
	ke.repeatAt, ke.repeatTo = now.Add(repeatAfter), to
	return taken, to
}

// recipients returns the addresses of the members that a changed set is sent to: those of
// the process's own failure domain, one balancer of each other domain, whose own readers
// inform the rest, and those of the changed domains, whose agents enforce the evacuation.
func (ke *Keeper) recipients(changed []string, list []Member) []netip.AddrPort {
	informed := map[string]struct{}{ke.domain: {}}
	var to []netip.AddrPort
	for _, me := range list {
		_, known := informed[me.Domain]
		first := !known && me.Balancer
		if first {
			informed[me.Domain] = struct{}{}
		}
		if first || me.Domain == ke.domain || slices.Contains(changed, me.Domain) {
			to = append(to, me.Address)
		}
	}
	return to
}

// Receive handles a page of a set that another member has sent. It reports whether a set
// was put in force, and whether the sender is to be sent the newer one that this process
// has.
func (ke *Keeper) Receive(pa Page) (taken, answer bool) {
	if ke.known {
		if order := pa.Origin.Compare(ke.set.Origin); order <= 0 {
			return false, order < 0
		}
	}
	set, complete := ke.assembly.add(pa)
	if !complete {
		return false, false
	}
	ke.set, ke.known = set, true
	return true, false
}

// Deadline returns when Tick is due, zero if it isn't.
func (ke *Keeper) Deadline() time.Time { return ke.repeatAt }

// Tick returns the addresses of the members that the set in force is to be sent to once
// more. It is to be called at Deadline.
func (ke *Keeper) Tick(now time.Time) []netip.AddrPort {
	if ke.repeatAt.IsZero() || now.Before(ke.repeatAt) {
		return nil
	}
	to := ke.repeatTo
	ke.repeatAt, ke.repeatTo = time.Time{}, nil
	return to
}
