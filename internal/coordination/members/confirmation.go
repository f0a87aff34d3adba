package members

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// WatchTimeout bounds the wait of one watch of the store. A watch that receives
	// nothing must end well before the time by which a configuration has to be in
	// force everywhere.
	WatchTimeout = 1800 * time.Millisecond
	// watchersPerDomain is the number of balancers of a failure domain that always
	// watch the store. The others receive the configuration from them.
	watchersPerDomain = 2
	// askAfter is the age of the last confirmation from which a balancer that doesn't
	// watch the store asks the others for a later one. A balancer that watches has one
	// after each watch.
	askAfter = WatchTimeout + 50*time.Millisecond
	// askInterval is the time between two questions. They go in turn to the first
	// askedBalancers of those that have answered the last one.
	askInterval    = 100 * time.Millisecond
	askedBalancers = 2
	// maxUnconfirmed is the age of the last confirmation from which the first of the
	// balancers that don't always watch the store does so. Each next one waits
	// reserveInterval longer, maxReserveDelay at most, so that the first can answer it.
	// A configuration has to be in force 3 s after its acknowledgement.
	maxUnconfirmed  = 2 * time.Second
	reserveInterval = 50 * time.Millisecond
	maxReserveDelay = 300 * time.Millisecond
)

// confirmation is what a process knows of the age of its configuration.
type confirmation struct {
	// confirmed is the latest time at which the store is known to have had no newer
	// configuration than the view's, zero if none is.
	confirmed time.Time
	// questions is the number of questions asked; nextAsk is when the next one may be.
	questions int
	nextAsk   time.Time
}

// Confirm notes that the store had no newer configuration than the view's at the time.
func (co *confirmation) Confirm(at time.Time) {
	if at.After(co.confirmed) {
		co.confirmed = at
	}
}

// Confirmed returns the latest time at which the store is known to have had no newer
// configuration than the view's, zero if none is.
func (co *confirmation) Confirmed() time.Time { return co.confirmed }

// WatchesStore reports whether a balancer is to watch the store: it is one of the first
// watchersPerDomain of its failure domain, by address, or nobody has confirmed its
// configuration for so long that those may have failed, or may not reach the store.
func (vi *View) WatchesStore(now time.Time) bool { return !now.Before(vi.WatchDue()) }

// WatchesFirst reports whether the balancer is the first of its failure domain that always
// watch the store.
func (vi *View) WatchesFirst() bool { return vi.watchRank() == 0 }

// WatchDue returns from when a balancer is to watch the store, the zero time if always.
func (vi *View) WatchDue() time.Time {
	reserve := vi.watchRank() - watchersPerDomain
	if reserve < 0 {
		return time.Time{}
	}
	delay := min(time.Duration(reserve)*reserveInterval, maxReserveDelay)
	return vi.confirmed.Add(maxUnconfirmed + delay)
}

// NextWatchCheck returns when a balancer that doesn't watch the store is to call
// AskConfirmation and WatchesStore again.
func (vi *View) NextWatchCheck() time.Time {
	next := vi.nextQuestion()
	if due := vi.WatchDue(); due.Before(next) {
		return due
	}
	return next
}

// WatchDeadline returns until when a watch of the store that begins now is to wait for
// a change. It doesn't wait at all if the configuration is unconfirmed, so that its
// answer confirms it at once.
func (vi *View) WatchDeadline(now time.Time) time.Time {
	if now.Sub(vi.confirmed) >= askAfter {
		return now
	}
	return now.Add(WatchTimeout)
}

// watchRank returns the number of balancers of the failure domain that take new work
// and have a lower address.
func (vi *View) watchRank() int {
	rank, _ := slices.BinarySearchFunc(vi.confirmers(), vi.self.Address, netip.AddrPort.Compare)
	return rank
}

// mayConfirm reports whether the member may watch the store for the process's domain.
func (vi *View) mayConfirm(me *member) bool {
	return me.record.Role == RoleBalancer && me.record.Domain == vi.self.Domain && me.record.State.TakesNewWork()
}

// AskConfirmation asks a balancer of the failure domain for a confirmation if the last
// one is older than askAfter. It does nothing within askInterval of the last question.
func (vi *View) AskConfirmation(now time.Time) []Action {
	vi.actions = vi.actions[:0]
	if now.Before(vi.nextQuestion()) {
		return vi.actions
	}
	vi.nextAsk = now.Add(askInterval)
	if to := vi.confirmerToAsk(); to.IsValid() {
		vi.questions++
		vi.members[to].questioned = true
		vi.actions = append(vi.actions, Action{Kind: KindAskConfirmation, To: to, Version: vi.version})
	}
	return vi.actions
}

// confirmerToAsk returns the balancer to ask: in turn one of the first askedBalancers
// that owe no answer, or of all if each does. It is invalid if there is none.
func (vi *View) confirmerToAsk() netip.AddrPort {
	all := vi.confirmers()
	if len(all) == 0 {
		return netip.AddrPort{}
	}
	answering := make([]netip.AddrPort, 0, askedBalancers)
	for _, address := range all {
		if !vi.members[address].questioned && len(answering) < askedBalancers {
			answering = append(answering, address)
		}
	}
	if len(answering) == 0 {
		answering = all
	}
	return answering[vi.questions%len(answering)]
}

// nextQuestion returns when AskConfirmation may ask next.
func (co *confirmation) nextQuestion() time.Time {
	due := co.confirmed.Add(askAfter)
	if due.Before(co.nextAsk) {
		return co.nextAsk
	}
	return due
}

// confirmers returns the addresses of the other balancers of the failure domain that
// take new work, sorted.
func (vi *View) confirmers() []netip.AddrPort {
	var list []netip.AddrPort
	for address, me := range vi.members {
		if vi.mayConfirm(me) {
			list = append(list, address)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// HandleAskConfirmation answers a balancer that asks for a confirmation and has the
// given version. If that is older it is also sent the configuration.
func (vi *View) HandleAskConfirmation(from netip.AddrPort, version uint64) []Action {
	vi.actions = vi.actions[:0]
	if _, ok := vi.members[from]; !ok {
		return vi.actions
	}
	if version < vi.version {
		vi.sendConfiguration(from)
	}
	vi.actions = append(vi.actions, Action{Kind: KindConfirmation, To: from, Version: vi.version, Since: vi.confirmed})
	return vi.actions
}

// HandleConfirmation handles the answer of another process: the store had no newer
// configuration than the given version at the time. It counts unless the view's own
// configuration is older than that.
func (vi *View) HandleConfirmation(from netip.AddrPort, version uint64, at time.Time) []Action {
	if me, ok := vi.members[from]; ok {
		me.questioned = false
	}
	if version > vi.version {
		return vi.HandleVersion(from, version)
	}
	vi.Confirm(at)
	return nil
}
