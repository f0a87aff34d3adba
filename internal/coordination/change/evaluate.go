package change

import (
	"crypto/ed25519"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// evaluate applies the edits to the configuration that was read, then writes
// the result or, in a dry run, ends. A zero storeTime stands for the local
// time.
func (co *Commit) evaluate(storeTime time.Time) []archive.Call {
	if storeTime.IsZero() {
		storeTime = co.now
	}
	before := &catalog.Configuration{NextService: 1}
	if co.snapshot.Root != nil {
		decoded, err := co.snapshot.Configuration()
		if err != nil {
			return co.refuse("%v", err)
		}
		before = decoded
	}
	after, err := co.applyEdits(before, storeTime)
	if err != nil {
		return co.refuse("%v", err)
	}
	co.outcome.Difference = catalog.Difference(before, after)
	if err := co.buildRoot(before, after, storeTime); err != nil {
		return co.refuse("%v", err)
	}
	if co.request.DryRun {
		co.outcome.Version = after.Version
		return co.finish(OutcomeAccepted, "dry run: nothing was written")
	}
	return co.writeShards()
}

// applyEdits returns a copy of the configuration with the edits applied. An
// error says why the change is refused.
func (co *Commit) applyEdits(before *catalog.Configuration, storeTime time.Time) (*catalog.Configuration, error) {
	after := before.Clone()
	after.Version.Number++
	if err := co.authorize(before, after, storeTime); err != nil {
		return nil, err
	}
	for _, ed := range co.request.Edits {
		if err := ed.Apply(after); err != nil {
			return nil, errors.Wrap(err, ed.Summary)
		}
	}
	if after.Say.Owner != before.Say.Owner || co.request.Initial {
		after.Version.Term = before.Version.Term + 1
		after.Say.Term = after.Version.Term
		after.Say.Until = after.NextTurn(storeTime).UTC()
	}
	after.ReleaseAddresses(co.request.InForceEverywhere)
	after.RetireAddresses(before)
	after.ReleaseAddresses(catalog.Version{})
	if err := after.CheckAddressMoves(before); err != nil {
		return nil, err
	}
	if err := after.Check(); err != nil {
		return nil, err
	}
	return after, catalog.CheckHosts(before, after, co.request.Hosts)
}

// authorize returns ErrNotAuthorized unless the owner may change the
// configuration at that time, as Configuration.AuthorityOf decides: the present
// holder of the authority or, once the holder's turn has ended, the owner whom
// the calendar names, if any. It enters a new holder, or the new end of the
// present holder's turn, in after. The initial change makes its owner the
// holder.
func (co *Commit) authorize(before, after *catalog.Configuration, storeTime time.Time) error {
	if co.request.Initial {
		after.Say.Owner = co.request.Owner
		return nil
	}
	switch before.AuthorityOf(co.request.Owner, storeTime) {
	case catalog.AuthorityHolder:
		if !storeTime.Before(before.Say.Until) {
			after.Say.Until = before.NextTurn(storeTime).UTC()
		}
		return nil
	case catalog.AuthoritySuccessor:
		after.Say.Owner = co.request.Owner
		return nil
	default:
		return errors.Wrapf(ErrNotAuthorized, "%s holds the say until %s", before.Say.Owner, before.Say.Until.Format(time.RFC3339))
	}
}

// buildRoot prepares the new root with a signed history entry, and the shards
// to be written before it.
func (co *Commit) buildRoot(before, after *catalog.Configuration, storeTime time.Time) error {
	co.identity = co.newIdentity(before.Version)
	content, values, err := buildContent(co.before, after, co.identity)
	if err != nil {
		return err
	}
	ro := co.before.clone()
	ro.Content = content
	en := Entry{
		Identity: co.identity,
		Version:  after.Version,
		Base:     before.Version,
		Owner:    co.request.Owner,
		At:       storeTime.UTC(),
		Summary:  summarize(co.request.Edits),
		Say:      after.Say,
		Content:  content.Digest(),
	}
	if last, ok := co.before.Last(); ok {
		en.Previous = last.Digest()
	}
	if !sameOwners(before.Owners, after.Owners) {
		en.Owners = after.Owners
	}
	en.Signature = co.request.Sign(en.Message())
	signers := before.Owners
	if co.request.Initial {
		signers = after.Owners
	}
	if err := verifyEntry(en, signers); err != nil {
		return err
	}
	values = append(values, ro.appendEntry(en)...)
	co.after, co.newShards = ro, values
	return nil
}

func (co *Commit) newIdentity(base catalog.Version) Identity {
	return Identity(fmt.Sprintf("%s-%016x", base, co.random.Uint64()))
}

func sameOwners(before, after []catalog.Owner) bool {
	if len(before) != len(after) {
		return false
	}
	for i := range before {
		if !before[i].Equal(after[i]) {
			return false
		}
	}
	return true
}

func summarize(edits []Edit) string {
	text := ""
	for i, ed := range edits {
		if i > 0 {
			text += "; "
		}
		text += ed.Summary
	}
	if len(text) > maxSummaryBytes {
		text = text[:maxSummaryBytes-3] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}

// PublicKey returns the public half of an owner's private key.
func PublicKey(key ed25519.PrivateKey) []byte {
	public, _ := key.Public().(ed25519.PublicKey)
	return public
}
