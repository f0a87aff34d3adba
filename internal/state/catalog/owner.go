package catalog

import (
	"bytes"
	"slices"
	"time"
)

// Owner is one of the parties that take turns in changing the configuration.
// Each signs its changes with its own key.
type Owner struct {
	Name string
	// Key is the owner's Ed25519 public key (RFC 8032).
	Key []byte
}

// Say records who has the say: the one owner that may change the configuration
// at present.
type Say struct {
	// Owner is the name of the owner that holds the say.
	Owner string
	// Term numbers the periods between changes of holder; it grows with each.
	Term uint64
	// Until is the time from which on the next owner of the calendar may take
	// the say. It is compared only with the store's clock.
	Until time.Time
}

// Turn is an entry of the calendar: from a time on, an owner is to hold the say.
// It ends where the next turn begins.
type Turn struct {
	From  time.Time
	Owner string
}

// Owner returns the owner of that name.
func (co *Configuration) Owner(name string) (Owner, bool) {
	for _, ow := range co.Owners {
		if ow.Name == name {
			return ow, true
		}
	}
	return Owner{}, false
}

// Equal reports whether both owners have the same name and key.
func (ow Owner) Equal(other Owner) bool {
	return ow.Name == other.Name && bytes.Equal(ow.Key, other.Key)
}

// TurnAt returns the turn of the calendar that covers the time, false if there is
// none.
func (co *Configuration) TurnAt(at time.Time) (Turn, bool) {
	var found Turn
	var ok bool
	for _, tu := range co.Calendar {
		if tu.From.After(at) {
			break
		}
		found, ok = tu, true
	}
	return found, ok
}

// NextTurn returns the start of the first turn after the time, or the start of
// the following month if the calendar has no later turn.
func (co *Configuration) NextTurn(at time.Time) time.Time {
	for _, tu := range co.Calendar {
		if tu.From.After(at) {
			return tu.From
		}
	}
	return NextMonth(at)
}

// NextMonth returns the first instant of the following month in UTC.
func NextMonth(at time.Time) time.Time {
	at = at.UTC()
	return time.Date(at.Year(), at.Month()+1, 1, 0, 0, 0, 0, time.UTC)
}

// SetTurn adds a turn to the calendar. It replaces a turn with the same start.
func (co *Configuration) SetTurn(tu Turn) {
	co.Calendar = slices.DeleteFunc(co.Calendar, func(old Turn) bool {
		return old.From.Equal(tu.From)
	})
	co.Calendar = append(co.Calendar, tu)
	slices.SortFunc(co.Calendar, func(a, b Turn) int {
		return a.From.Compare(b.From)
	})
}

// Authority is what an owner may do at a time, by the say and the calendar.
type Authority uint8

// The kinds of authority.
const (
	// AuthorityNone allows no change.
	AuthorityNone Authority = iota
	// AuthorityHolder allows changes in the current term.
	AuthorityHolder
	// AuthoritySuccessor allows a change that begins the next term.
	AuthoritySuccessor
)

// AuthorityOf returns what the owner may do at the time. After Say.Until the
// holder may go on making changes as long as the calendar names no other owner
// for the time; if it does, only that owner may.
func (co *Configuration) AuthorityOf(owner string, at time.Time) Authority {
	if _, known := co.Owner(owner); !known {
		return AuthorityNone
	}
	if at.Before(co.Say.Until) {
		if owner == co.Say.Owner {
			return AuthorityHolder
		}
		return AuthorityNone
	}
	tu, ok := co.TurnAt(at)
	switch {
	case !ok && owner == co.Say.Owner, ok && owner == tu.Owner && owner == co.Say.Owner:
		return AuthorityHolder
	case ok && owner == tu.Owner:
		return AuthoritySuccessor
	default:
		return AuthorityNone
	}
}
