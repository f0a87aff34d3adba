package rollout

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// head is the body of a watcher's announcement.
type head struct {
	Version catalog.Version
}

// The prefixes of the keys that gossip carries for the rollout.
const (
	// KeyDelta begins the keys of deltas.
	KeyDelta = "change/"
	// KeyHead begins the keys of announcements.
	KeyHead = "head/"
	// KeySum begins the keys of published sums.
	KeySum = "sum/"
)

// Reader is the decision core of one instance.
type Reader struct {
	self    Member
	anchors []catalog.Owner
	random  *rand.Rand

	view  *View
	role  role
	state *change.State
	// newest is the newest version heard of, behind since when it is missing.
	newest  catalog.Version
	behind  time.Time
	waiting map[int]waitingDelta
	kept    keptDeltas
	// gift is a peer's snapshot that is still incomplete.
	gift *change.Snapshot

	// call is the open call for the root, zero for none; watchAt is when the
	// next watch may begin, readAt when silence is long enough for a read.
	calls   uint64
	call    uint64
	stored  uint64
	watchAt time.Time
	readAt  time.Time
	reads   int
	// fetch is a root whose shards are being read.
	fetch *fetch

	askAt time.Time
	asks  int
	// holders are some instances that have the newest version.
	holders []netip.AddrPort
	headAt  time.Time
	// started makes the revisions of this start newer than earlier ones.
	started  time.Time
	sequence uint64
	noticed  Notice
	tally
}

// fetch collects the shards of a root.
type fetch struct {
	snapshot *change.Snapshot
	open     map[uint64]bool
}

// New returns a reader without a configuration. A first root is trusted if one
// of the anchors signed it, any root if there are none.
func New(self Member, anchors []catalog.Owner, random *rand.Rand) *Reader {
	return &Reader{
		self:    self,
		anchors: anchors,
		random:  random,
		view:    NewView(nil),
		waiting: make(map[int]waitingDelta),
		tally:   newTally(),
	}
}

// State returns what is in force, nil for nothing.
func (re *Reader) State() *change.State {
	return re.state
}

// HoldsWatch reports whether the instance holds the watch of the root.
func (re *Reader) HoldsWatch() bool {
	return re.role.watches
}

// SetView takes the present view of the live instances.
func (re *Reader) SetView(now time.Time, vi *View) []Action {
	re.view = vi
	was := re.role
	re.role = roleOf(re.self, vi)
	var actions []Action
	if re.role.parent != was.parent || re.role.top != was.top {
		re.touch(now)
		actions = withdraw(was.parent)
	}
	return append(actions, re.Tick(now)...)
}

// jitter returns a time between one and two delays from now.
func (re *Reader) jitter(now time.Time, delay time.Duration) time.Time {
	return now.Add(delay + time.Duration(re.random.Int64N(int64(delay))))
}

// Tick does what is due.
func (re *Reader) Tick(now time.Time) []Action {
	if re.started.IsZero() {
		re.started = now
		re.readAt = re.jitter(now, SilenceMin)
		re.headAt = now
	}
	var actions []Action
	actions = append(actions, re.watch(now)...)
	actions = append(actions, re.ask(now)...)
	actions = append(actions, re.read(now)...)
	actions = append(actions, re.announce(now)...)
	actions = append(actions, re.report(now)...)
	return append(actions, Action{Kind: ActionWake, Deadline: re.next(now)})
}

// next returns when something is due at the earliest.
func (re *Reader) next(now time.Time) time.Time {
	at := now.Add(ReportInterval)
	due := []time.Time{re.readAt}
	if re.role.watches {
		due = append(due, re.headAt)
		if re.call == 0 && re.fetch == nil {
			due = append(due, re.watchAt)
		}
	}
	if re.lacks() {
		due = append(due, re.askAt, re.behind.Add(AskDelay))
	}
	due = append(due, re.reportAt)
	for _, du := range due {
		if du.After(now) && du.Before(at) {
			at = du
		}
	}
	return at
}

// lacks reports whether a newer version than the one in force is known of.
func (re *Reader) lacks() bool {
	return re.state == nil || re.state.Version().Less(re.newest)
}

// watch begins a watch of the root.
func (re *Reader) watch(now time.Time) []Action {
	if !re.role.watches || re.call != 0 || re.fetch != nil || now.Before(re.watchAt) {
		return nil
	}
	until := now.Add(WatchWait)
	ca := archive.Call{Kind: archive.KindWatch, Object: archive.Object{Name: change.RootName, Version: re.stored}, Until: until}
	return []Action{re.callRoot(ca, until.Add(CallTimeout))}
}

// callRoot makes the one open call for the root.
func (re *Reader) callRoot(ca archive.Call, deadline time.Time) Action {
	re.calls++
	re.call = re.calls
	ca.ID = re.call
	return Action{Kind: ActionCall, Call: ca, Deadline: deadline}
}

// ask asks a peer for its snapshot if a delta did not come.
func (re *Reader) ask(now time.Time) []Action {
	if !re.lacks() || now.Before(re.askAt) || now.Before(re.behind.Add(AskDelay)) {
		return nil
	}
	peer, ok := re.peer()
	re.asks++
	attempts := re.asks
	if re.state == nil {
		attempts = 1
	}
	re.askAt = re.jitter(now, grow(AskDelay, AskMax, attempts))
	if !ok {
		return nil
	}
	return []Action{{Kind: ActionCatchUp, Peer: peer, Request: CatchUpRequest{Have: re.state.Version()}}}
}

// grow doubles the delay with each attempt.
func grow(delay, most time.Duration, attempts int) time.Duration {
	return min(most, delay<<min(attempts, 16))
}

// peer returns an instance that was reported to have the newest version, or a
// random member, mostly of the same failure domain.
func (re *Reader) peer() (netip.AddrPort, bool) {
	near := re.view.orders[re.self.Domain]
	const holderShare, farShare = 2, 4
	if len(re.holders) > 0 && re.random.IntN(holderShare) == 0 {
		return re.otherThan(re.holders[re.random.IntN(len(re.holders))])
	}
	if len(near) < 2 || re.random.IntN(farShare) == 0 {
		return re.farPeer()
	}
	return re.otherThan(near[re.random.IntN(len(near))])
}

// farPeer returns a random member of any failure domain.
func (re *Reader) farPeer() (netip.AddrPort, bool) {
	if len(re.view.members) == 0 {
		return netip.AddrPort{}, false
	}
	return re.otherThan(re.view.members[re.random.IntN(len(re.view.members))].Address)
}

// otherThan returns the address unless it is this instance's own.
func (re *Reader) otherThan(address netip.AddrPort) (netip.AddrPort, bool) {
	return address, address != re.self.Address
}

// read reads the root after a long silence, or when nothing is in force and no
// peer helped.
func (re *Reader) read(now time.Time) []Action {
	helpless := re.state == nil && re.asks >= AsksBeforeRead && re.reads == 0
	if re.role.watches || re.call != 0 || re.fetch != nil || !helpless && now.Before(re.readAt) {
		return nil
	}
	re.reads++
	re.readAt = re.jitter(now, grow(SilenceMin, ReadMax, re.reads))
	ca := archive.Call{Kind: archive.KindGet, Object: archive.Object{Name: change.RootName}}
	return []Action{re.callRoot(ca, now.Add(CallTimeout))}
}

// announce publishes the watcher's version from time to time.
func (re *Reader) announce(now time.Time) []Action {
	if !re.role.watches || re.state == nil || now.Before(re.headAt) {
		return nil
	}
	re.headAt = re.jitter(now, HeadInterval/2)
	body, err := cbor.Marshal(head{Version: re.state.Version()})
	if err != nil {
		return nil
	}
	return []Action{re.publish(KeyHead+re.self.Address.String(), body)}
}

// publish returns an item of which this instance is the only writer.
func (re *Reader) publish(key string, body []byte) Action {
	re.sequence++
	revision := register.Revision{Incarnation: uint64(re.started.UnixMilli()), Sequence: re.sequence}
	return Action{Kind: ActionPublish, Item: Item{Key: key, Revision: revision, Body: body}}
}

// news notes that a version exists and that the silence is over.
func (re *Reader) news(now time.Time, version catalog.Version) {
	re.reads = 0
	re.readAt = re.jitter(now, SilenceMin)
	if re.newest.Less(version) {
		re.newest = version
	}
	if re.lacks() && re.behind.IsZero() {
		re.behind = now
	}
}

// HandleItem takes an item that gossip brought.
func (re *Reader) HandleItem(now time.Time, it Item) []Action {
	var actions []Action
	switch {
	case hasPrefix(it.Key, KeyDelta):
		actions = re.takeDelta(now, it.Body)
	case hasPrefix(it.Key, KeyHead):
		var he head
		if cbor.Unmarshal(it.Body, &he) == nil {
			re.news(now, he.Version)
		}
	case hasPrefix(it.Key, KeySum):
		re.heardSum(now, it.Body)
	}
	return append(actions, re.Tick(now)...)
}

func hasPrefix(key, prefix string) bool {
	return len(key) > len(prefix) && key[:len(prefix)] == prefix
}

// waitingDelta is a delta whose predecessors have not come yet.
type waitingDelta struct {
	*change.Delta
	encoded []byte
}

func (re *Reader) root() *change.Root {
	if re.state == nil {
		return nil
	}
	return re.state.Snapshot.Root
}

// notice reports each matter once until another comes up.
func (re *Reader) notice(no Notice) []Action {
	no.InForce = re.state.Version()
	if no == re.noticed {
		return nil
	}
	re.noticed = no
	return []Action{{Kind: ActionNotice, Notice: no}}
}
