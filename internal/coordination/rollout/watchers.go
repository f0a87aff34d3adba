package rollout

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// announcement is the body of the announcement of an instance that watches the store.
type announcement struct {
	// Version is the version in force.
	Version catalog.Version
	// Age is how long ago the instance read the store, zero from a former build, which
	// does not tell.
	Age time.Duration `cbor:",omitempty"`
}

// freshness is what an instance knows of the last reads of the store. A read counts if
// the store answered, whatever it said, and a newer version was put in force.
type freshness struct {
	// read is when the instance itself last read the store, zero if it did not.
	read time.Time
	// heard is the latest read that another instance announced, by this instance's
	// clock; announced is the read that this instance announced last. Either may
	// be zero.
	heard, announced time.Time
	// announceAt is when the last read is announced unless that of another instance is
	// heard of before, zero if it isn't to be.
	announceAt time.Time
	// unspread says that the version in force went out as no delta, so that it is
	// announced at once.
	unspread bool
}

// watches reports whether the instance is to watch the root object.
func (re *Replica) watches(now time.Time) bool {
	return re.role.rank >= 0 && !now.Before(re.watchDue())
}

// watchDue returns from when a balancer is to watch the root object, the zero time if
// always. A reserve stops when it hears of a read by another instance; its own reads
// don't count, so that it goes on while nobody else reads the store.
func (re *Replica) watchDue() time.Time {
	if re.role.watches {
		return time.Time{}
	}
	since := re.started
	if re.heard.After(since) {
		since = re.heard
	}
	return since.Add(StaleAfter + time.Duration(re.role.rank-Watchers)*ReserveStagger)
}

// announce publishes the version in force and the instance's last read of the store, if
// that is much later than what was announced before. It waits a random time first, so
// that of the watchers that were answered together only the first ones do.
func (re *Replica) announce(now time.Time) []Action {
	if re.state == nil || !re.unspread && !re.announcesRead() {
		re.announceAt = time.Time{}
		return nil
	}
	if re.unspread {
		re.announceAt = now
	}
	if re.announceAt.IsZero() {
		re.announceAt = now.Add(time.Duration(re.random.Int64N(int64(AnnounceSpread))))
	}
	if now.Before(re.announceAt) {
		return nil
	}
	re.announceAt, re.unspread = time.Time{}, false
	re.announced = re.read
	body, err := cbor.Marshal(announcement{Version: re.state.Version(), Age: now.Sub(re.read)})
	if err != nil {
		return nil
	}
	return []Action{re.publish(KeyAnnouncement+re.self.Address.String(), body)}
}

// announcesRead reports whether the instance's last read is to be announced: one that is
// AnnounceInterval later than all that were announced.
func (re *Replica) announcesRead() bool {
	known := re.announced
	if re.heard.After(known) {
		known = re.heard
	}
	return !re.read.IsZero() && re.read.Sub(known) >= AnnounceInterval
}

// handleAnnouncement notes the version and the read of another instance. An age below zero
// counts as zero.
func (re *Replica) handleAnnouncement(now time.Time, body []byte) {
	var an announcement
	if cbor.Unmarshal(body, &an) != nil {
		return
	}
	re.noteVersion(now, an.Version)
	if at := now.Add(-max(an.Age, 0)); at.After(re.heard) {
		re.heard = at
	}
}
