package catalog

import (
	"bytes"
	"slices"
	"time"
)

// Owner is one of the owners who take turns holding the final say.
type Owner struct {
	Name string
	// Key is the owner's Ed25519 public key (RFC 8032).
	Key []byte
}

// Say is who has the final say.
type Say struct {
	Owner string
	// Term grows with each change of holder.
	Term uint64
	// Until is when the next owner of the calendar may take the say. It is
	// compared with the store's clock only.
	Until time.Time
}

// Turn is the start of one owner's turn in the calendar.
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

// Equal reports whether both have the same name and key.
func (ow Owner) Equal(other Owner) bool {
	return ow.Name == other.Name && bytes.Equal(ow.Key, other.Key)
}

// TurnAt returns the turn of the calendar that covers the time.
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

// NextTurn returns the time of the first turn after the given one, or the start
// of the month after it if the calendar names none.
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

// SetTurn enters a turn into the calendar in place of one of the same start.
func (co *Configuration) SetTurn(tu Turn) {
	co.Calendar = slices.DeleteFunc(co.Calendar, func(old Turn) bool {
		return old.From.Equal(tu.From)
	})
	co.Calendar = append(co.Calendar, tu)
	slices.SortFunc(co.Calendar, func(a, b Turn) int {
		return a.From.Compare(b.From)
	})
}

// Authority is what the calendar and the say allow an owner at a time.
type Authority uint8

// The kinds of authority.
const (
	// AuthorityNone allows no change.
	AuthorityNone Authority = iota
	// AuthorityHolder allows changes in the present term.
	AuthorityHolder
	// AuthoritySuccessor allows a change that begins the next term.
	AuthoritySuccessor
)

// AuthorityOf returns what the owner may do at the time. The holder keeps the
// say past its end until the calendar names somebody else; from then on only
// that owner may change anything.
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
