package rollout

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Prefixes of the keys of items.
const (
	// KeyDelta is the prefix of the keys of deltas.
	KeyDelta = "change/"
	// KeyAnnouncement is the prefix of the keys of announcements.
	KeyAnnouncement = "head/"
	// KeySum is the prefix of the keys of the failure domains' sums.
	KeySum = "sum/"
)

// Replica is one instance's replica of the configuration, and the state machine
// that keeps it current. It is not safe for concurrent use.
type Replica struct {
	self    Member
	anchors []catalog.Owner
	random  *rand.Rand

	view *View
	role role
	// state is the state in force, nil for none.
	state *change.State
	// newest is the newest version known to exist. behindSince is since when the
	// instance has been behind it, zero while it is in force.
	newest      catalog.Version
	behindSince time.Time
	// waitingDeltas holds deltas by slot, which is the number of the version that
	// they lead to modulo DeltaSlots.
	waitingDeltas map[int]waitingDelta
	recent        recentDeltas
	// peerSnapshot is a snapshot read from peers that is still incomplete.
	peerSnapshot *change.Snapshot

	// lastCall is the ID of the last call, counted from one; rootCall is the
	// ID of the open call for the root, zero for none. storeVersion is the
	// store's version of the root object last read, in the era storeEra. watchAt is
	// when the next watch may start, readAt when the root is read unless a version
	// becomes known before, reads the number of such reads since one became known.
	lastCall     uint64
	rootCall     uint64
	storeVersion uint64
	storeEra     uint64
	watchAt      time.Time
	readAt       time.Time
	reads        int
	// fetch is the fetch of the shards of a root, nil for none.
	fetch *fetch

	// catchUpAt is when the next catch-up may start, catchUps the number of them
	// since a state was last put in force.
	catchUpAt time.Time
	catchUps  int
	// peerAnswered says that a peer answered a request to catch up.
	peerAnswered bool
	// holders are some instances that have the newest version in force, from the
	// latest report whose newest version was the newest known.
	holders []netip.AddrPort
	freshness
	// started is the time of the first tick. As the incarnation of published
	// revisions it makes them newer than those from before a restart.
	started    time.Time
	sequence   uint64
	lastNotice Notice
	tally
}

// fetch collects the shards of a root. open holds the IDs of the open calls.
type fetch struct {
	snapshot *change.Snapshot
	open     map[uint64]bool
}

// New returns a replica without a configuration. The first root is accepted if it
// is signed by one of the anchors; without anchors any first root is accepted.
func New(self Member, anchors []catalog.Owner, random *rand.Rand) *Replica {
	return &Replica{
		self:          self,
		anchors:       anchors,
		random:        random,
		view:          NewView(nil),
		waitingDeltas: make(map[int]waitingDelta),
		role:          role{rank: -1},
		tally:         newTally(),
	}
}

// State returns the state in force, nil for none.
func (re *Replica) State() *change.State {
	return re.state
}

// IsWatcher reports whether the instance is one of those that always watch the root
// object.
func (re *Replica) IsWatcher() bool {
	return re.role.watches
}

// SetView replaces the view of the live balancers.
func (re *Replica) SetView(now time.Time, vi *View) []Action {
	re.view = vi
	previous := re.role
	re.role = roleOf(re.self, vi)
	var actions []Action
	if re.role.parent != previous.parent || re.role.top != previous.top {
		re.scheduleReport(now)
		actions = withdrawReport(previous.parent)
	}
	return append(actions, re.Tick(now)...)
}

// jitter returns a random time between one and two delays from now.
func (re *Replica) jitter(now time.Time, delay time.Duration) time.Time {
	return now.Add(delay + time.Duration(re.random.Int64N(int64(delay))))
}

// Tick starts what is due and requests the next tick.
func (re *Replica) Tick(now time.Time) []Action {
	if re.started.IsZero() {
		re.started = now
		re.readAt = re.jitter(now, ReadDelayMin)
	}
	var actions []Action
	actions = append(actions, re.watchRoot(now)...)
	actions = append(actions, re.catchUp(now)...)
	actions = append(actions, re.readRoot(now)...)
	actions = append(actions, re.announce(now)...)
	actions = append(actions, re.report(now)...)
	return append(actions, Action{Kind: ActionWake, Deadline: re.nextTick(now)})
}

// nextTick returns the time of the next tick, at most ReportInterval from now.
func (re *Replica) nextTick(now time.Time) time.Time {
	at := now.Add(ReportInterval)
	due := []time.Time{re.readAt}
	if !re.announceAt.IsZero() {
		due = append(due, re.announceAt)
	}
	if re.role.rank >= 0 && re.rootCall == 0 && re.fetch == nil {
		due = append(due, re.watchAt, re.watchDue())
	}
	if re.isBehind() {
		due = append(due, re.catchUpAt, re.behindSince.Add(CatchUpDelay))
	}
	due = append(due, re.reportAt)
	for _, du := range due {
		if du.After(now) && du.Before(at) {
			at = du
		}
	}
	return at
}

// isBehind reports whether nothing is in force or a newer version than the one in
// force is known to exist.
func (re *Replica) isBehind() bool {
	return re.state == nil || re.state.Version().Less(re.newest)
}

// watchRoot starts a watch of the root object if one is due.
func (re *Replica) watchRoot(now time.Time) []Action {
	if !re.watches(now) || re.rootCall != 0 || re.fetch != nil || now.Before(re.watchAt) {
		return nil
	}
	until := now.Add(WatchWait)
	ca := archive.Call{Kind: archive.KindWatch, Object: archive.Object{Name: change.RootName, Version: re.storeVersion}, Until: until}
	return []Action{re.callRoot(ca, until.Add(CallTimeout))}
}

// callRoot returns a call for the root object; at most one is open at a time.
func (re *Replica) callRoot(ca archive.Call, deadline time.Time) Action {
	re.lastCall++
	re.rootCall = re.lastCall
	ca.ID = re.rootCall
	return Action{Kind: ActionCall, Call: ca, Deadline: deadline}
}

// catchUp requests the newer configuration from a peer if its delta did not
// arrive within CatchUpDelay.
func (re *Replica) catchUp(now time.Time) []Action {
	if !re.isBehind() || now.Before(re.catchUpAt) || now.Before(re.behindSince.Add(CatchUpDelay)) {
		return nil
	}
	peer, ok := re.pickPeer()
	re.catchUps++
	attempts := re.catchUps
	if re.state == nil {
		attempts = 1
	}
	re.catchUpAt = re.jitter(now, backoff(CatchUpDelay, CatchUpDelayMax, attempts))
	if !ok {
		re.catchUpAt = now.Add(pickAgainAfter)
		return nil
	}
	return []Action{{Kind: ActionCatchUp, Peer: peer, Request: CatchUpRequest{Have: re.state.Version()}}}
}

// backoff returns the delay doubled for each attempt, at most the given bound.
func backoff(delay, most time.Duration, attempts int) time.Duration {
	return min(most, delay<<min(attempts, 16))
}

// pickPeer returns a random instance to catch up from: in half of the cases one
// that reported the newest version, if any did, else a member, mostly of this
// instance's failure domain. It returns false if it picked this instance or there
// is no member.
func (re *Replica) pickPeer() (netip.AddrPort, bool) {
	near := re.view.orders[re.self.Domain]
	const holderShare, farShare = 2, 4
	if len(re.holders) > 0 && re.random.IntN(holderShare) == 0 {
		return re.unlessSelf(re.holders[re.random.IntN(len(re.holders))])
	}
	if len(near) < 2 || re.random.IntN(farShare) == 0 {
		return re.anyPeer()
	}
	return re.unlessSelf(near[re.random.IntN(len(near))])
}

// anyPeer returns a random member of any failure domain, and false if it has
// picked this instance or there is no member.
func (re *Replica) anyPeer() (netip.AddrPort, bool) {
	if len(re.view.members) == 0 {
		return netip.AddrPort{}, false
	}
	return re.unlessSelf(re.view.members[re.random.IntN(len(re.view.members))].Address)
}

// unlessSelf returns the address, and false if it is this instance's own.
func (re *Replica) unlessSelf(address netip.AddrPort) (netip.AddrPort, bool) {
	return address, address != re.self.Address
}

// readRoot reads the root from the store when no version became known for a
// while, or when nothing is in force after CatchUpsBeforeRead attempts to catch
// up. An instance that watches the root does not need to.
func (re *Replica) readRoot(now time.Time) []Action {
	catchUpFailed := re.state == nil && re.catchUps >= CatchUpsBeforeRead && re.reads == 0
	if re.watches(now) || re.rootCall != 0 || re.fetch != nil || !catchUpFailed && now.Before(re.readAt) {
		return nil
	}
	re.reads++
	re.readAt = re.jitter(now, backoff(ReadDelayMin, ReadDelayMax, re.reads))
	ca := archive.Call{Kind: archive.KindGet, Object: archive.Object{Name: change.RootName}}
	return []Action{re.callRoot(ca, now.Add(CallTimeout))}
}

// publish returns the action that publishes an item. This instance must be the
// only one that publishes the key.
func (re *Replica) publish(key string, body []byte) Action {
	re.sequence++
	revision := register.Revision{Incarnation: uint64(re.started.UnixMilli()), Sequence: re.sequence}
	return Action{Kind: ActionPublish, Item: Item{Key: key, Revision: revision, Body: body}}
}

// noteVersion notes that a version exists, and postpones the next read of the root.
func (re *Replica) noteVersion(now time.Time, version catalog.Version) {
	re.reads = 0
	re.readAt = re.jitter(now, ReadDelayMin)
	if re.newest.Less(version) {
		re.newest = version
	}
	if re.isBehind() && re.behindSince.IsZero() {
		re.behindSince = now
	}
}

// HandleItem handles an item received by gossip.
func (re *Replica) HandleItem(now time.Time, it Item) []Action {
	var actions []Action
	switch {
	case hasPrefix(it.Key, KeyDelta):
		actions = re.handleDelta(now, it.Body)
	case hasPrefix(it.Key, KeyAnnouncement):
		re.handleAnnouncement(now, it.Body)
	case hasPrefix(it.Key, KeySum):
		re.handleSum(now, it.Body)
	}
	return append(actions, re.Tick(now)...)
}

// hasPrefix reports whether the key begins with the prefix and is longer than it.
func hasPrefix(key, prefix string) bool {
	return len(key) > len(prefix) && key[:len(prefix)] == prefix
}

// waitingDelta is a delta that waits for the deltas before it.
type waitingDelta struct {
	*change.Delta
	encoded []byte
}

// root returns the root in force, nil for none.
func (re *Replica) root() *change.Root {
	if re.state == nil {
		return nil
	}
	return re.state.Snapshot.Root
}

// notice returns the action for a notice, or none if the notice equals the last
// one.
func (re *Replica) notice(no Notice) []Action {
	no.InForce = re.state.Version()
	if no == re.lastNotice {
		return nil
	}
	re.lastNotice = no
	return []Action{{Kind: ActionNotice, Notice: no}}
}
