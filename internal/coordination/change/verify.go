package change

import (
	"bytes"
	"crypto/ed25519"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// The reasons for which a root or a history is rejected.
var (
	// ErrSignature says that an entry is not signed by the owner whom it names.
	ErrSignature = errors.New("signature does not match an owner's key")
	// ErrContentDigest says that the root's content or version is not the one that
	// the newest entry signs.
	ErrContentDigest = errors.New("content does not match the signed digest")
	// ErrHistoryMismatch says that the history is empty, that its entries don't
	// follow one another, or that it does not continue the known history.
	ErrHistoryMismatch = errors.New("history does not continue the known one")
	// ErrOlderVersion says that the root's version is older than the known one.
	ErrOlderVersion = errors.New("version is older than the known one")
)

// verifyEntry returns ErrSignature unless the entry is signed with the key of
// the owner whom it names, who must be among the owners.
func verifyEntry(en Entry, owners []catalog.Owner) error {
	for _, ow := range owners {
		if ow.Name != en.Owner || len(ow.Key) != ed25519.PublicKeySize {
			continue
		}
		if ed25519.Verify(ow.Key, en.Message(), en.Signature) {
			return nil
		}
	}
	return errors.Wrapf(ErrSignature, "change %s of owner %q", en.Identity, en.Owner)
}

// Verify checks that the newest entry covers the content of the root and that
// the history continues the known root: each later entry holds the digest of
// the entry before it, and is signed by an owner who was known and entitled to
// make that change at the time. If there is no later entry, or the history does
// not reach back to the known root, only the newest entry is checked, against
// the known owners. Without a known root, the newest entry must be signed by
// one of the trust anchors, or by one of the root's own owners if there are no
// anchors.
func (ro *Root) Verify(known *Root, anchors []catalog.Owner) error {
	last, ok := ro.Last()
	if !ok {
		return errors.Wrap(ErrHistoryMismatch, "root has no history")
	}
	if last.Version != ro.Version || !bytes.Equal(last.Content, ro.Digest()) {
		return errors.Wrapf(ErrContentDigest, "version %s", ro.Version)
	}
	if known == nil || len(known.History) == 0 {
		if len(anchors) == 0 {
			anchors = ro.Owners
		}
		return verifyEntry(last, anchors)
	}
	entries, err := ro.entriesSince(known)
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return verifyEntry(last, known.Owners)
	}
	return verifyEntries(entries, known)
}

// entriesSince returns the entries after the last one of the known root. It
// returns none if there are none or the history does not reach back that far,
// and ErrOlderVersion or ErrHistoryMismatch if the two histories contradict
// each other.
func (ro *Root) entriesSince(known *Root) ([]Entry, error) {
	last, ok := known.Last()
	if !ok {
		return nil, nil
	}
	if ro.Version.Less(known.Version) || ro.Version.Number < known.Version.Number {
		return nil, errors.Wrapf(ErrOlderVersion, "%s is older than %s", ro.Version, known.Version)
	}
	for i, en := range ro.History {
		if en.Version.Number < last.Version.Number {
			continue
		}
		if en.Version.Number == last.Version.Number {
			if en.Identity != last.Identity {
				return nil, errors.Wrapf(ErrHistoryMismatch, "version %s is change %s in the known history and %s in the root", en.Version, last.Identity, en.Identity)
			}
			continue
		}
		if en.Base == last.Version && !bytes.Equal(en.Previous, last.Digest()) {
			return nil, errors.Wrapf(ErrHistoryMismatch, "change %s does not follow %s", en.Identity, last.Identity)
		}
		if en.Base != last.Version {
			return nil, nil
		}
		return ro.History[i:], nil
	}
	return nil, nil
}

// verifyEntries checks consecutive entries that follow the known root. Each is
// checked against the owners and the authority that the entries before it left.
func verifyEntries(entries []Entry, known *Root) error {
	owners, say := known.Owners, known.Say
	version := known.Version
	for i, en := range entries {
		if err := verifyEntry(en, owners); err != nil {
			return err
		}
		if i > 0 && !bytes.Equal(en.Previous, entries[i-1].Digest()) {
			return errors.Wrapf(ErrHistoryMismatch, "change %s does not follow %s", en.Identity, entries[i-1].Identity)
		}
		if err := verifyAuthority(en, say, version); err != nil {
			return err
		}
		if en.Owners != nil {
			owners = en.Owners
		}
		say, version = en.Say, en.Version
	}
	return nil
}

// verifyAuthority checks that the owner who made the change was entitled to: as
// the holder of the authority (catalog.Say), or as the owner who took it over
// at or after the end of the holder's turn. The number of the version must grow
// by one, and the term by one if the holder changes and not at all otherwise.
func verifyAuthority(en Entry, before catalog.Say, version catalog.Version) error {
	taken := en.Say.Owner == en.Owner && !en.At.Before(before.Until)
	if en.Owner != before.Owner && !taken {
		return errors.Wrapf(ErrNotAuthorized, "change %s is by %q, but %q holds the say", en.Identity, en.Owner, before.Owner)
	}
	next := catalog.Version{Term: version.Term, Number: version.Number + 1}
	if en.Say.Owner != before.Owner {
		next.Term++
	}
	if en.Version != next || en.Say.Term != next.Term {
		return errors.Wrapf(ErrHistoryMismatch, "change %s has version %s, which cannot follow version %s", en.Identity, en.Version, version)
	}
	return nil
}
