package change

import (
	"bytes"
	"crypto/ed25519"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// The reasons for which a root is not trusted.
var (
	// ErrSignature says that an entry is not signed by an owner.
	ErrSignature = errors.New("signature does not match an owner's key")
	// ErrContentDigest says that the root's content is not the signed one.
	ErrContentDigest = errors.New("content does not match the signed digest")
	// ErrHistoryMismatch says that the history does not continue the known one.
	ErrHistoryMismatch = errors.New("history does not continue the known one")
	// ErrOlderVersion says that the version is older than the known one.
	ErrOlderVersion = errors.New("version is older than the one in force")
)

// verifyEntry checks the signature of the entry against the owners.
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

// Verify checks that the root continues what is known: each entry since then is
// linked to the one before and signed by one of the owners of its time, and the
// last covers the content. Without a known root it trusts the anchors, or the
// root's own owners if there are none.
func (ro *Root) Verify(known *Root, anchors []catalog.Owner) error {
	last, ok := ro.Last()
	if !ok {
		return errors.Wrap(ErrHistoryMismatch, "root without history")
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
	links, err := ro.entriesSince(known)
	if err != nil {
		return err
	}
	if len(links) == 0 {
		return verifyEntry(last, known.Owners)
	}
	return verifyEntries(links, known)
}

// entriesSince returns the entries after the known root's last one, none if the
// history does not reach back that far.
func (ro *Root) entriesSince(known *Root) ([]Entry, error) {
	last, ok := known.Last()
	if !ok {
		return nil, nil
	}
	if ro.Version.Less(known.Version) || ro.Version.Number < known.Version.Number {
		return nil, errors.Wrapf(ErrOlderVersion, "%s is behind %s", ro.Version, known.Version)
	}
	for i, en := range ro.History {
		if en.Version.Number < last.Version.Number {
			continue
		}
		if en.Version.Number == last.Version.Number {
			if en.Identity != last.Identity {
				return nil, errors.Wrapf(ErrHistoryMismatch, "version %s is change %s here and %s there", en.Version, last.Identity, en.Identity)
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

// verifyEntries checks a run of entries, following the owners and the say.
func verifyEntries(links []Entry, known *Root) error {
	owners, say := known.Owners, known.Say
	version := known.Version
	for i, en := range links {
		if err := verifyEntry(en, owners); err != nil {
			return err
		}
		if i > 0 && !bytes.Equal(en.Previous, links[i-1].Digest()) {
			return errors.Wrapf(ErrHistoryMismatch, "change %s does not follow %s", en.Identity, links[i-1].Identity)
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

// verifyAuthority checks that the owner who signed had the say, or took it after the
// holder's turn, and that the term grew exactly with a change of holder.
func verifyAuthority(en Entry, before catalog.Say, version catalog.Version) error {
	taken := en.Say.Owner == en.Owner && !en.At.Before(before.Until)
	if en.Owner != before.Owner && !taken {
		return errors.Wrapf(ErrNotAuthorized, "change %s is by %q, the say is with %q", en.Identity, en.Owner, before.Owner)
	}
	next := catalog.Version{Term: version.Term, Number: version.Number + 1}
	if en.Say.Owner != before.Owner {
		next.Term++
	}
	if en.Version != next || en.Say.Term != next.Term {
		return errors.Wrapf(ErrHistoryMismatch, "change %s makes %s of %s", en.Identity, en.Version, version)
	}
	return nil
}
