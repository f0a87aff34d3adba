package command

import (
	"crypto/ed25519"
	"encoding/base64"
	"net/netip"
	"slices"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Key is an Ed25519 public key, written in base64 (RFC 4648).
type Key struct {
	Public []byte
}

// Capture reads a key in base64.
func (ke *Key) Capture(values []string) error {
	public, err := base64.StdEncoding.DecodeString(values[0])
	if err != nil || len(public) != ed25519.PublicKeySize {
		return errors.Errorf("%q is not an Ed25519 public key in base64", values[0])
	}
	ke.Public = public
	return nil
}

// FormatKey returns the public key in base64, as Key.Capture reads it.
func FormatKey(public []byte) string {
	return base64.StdEncoding.EncodeToString(public)
}

// Edit returns the edit of the configuration that the statement describes. It
// returns false for a statement that is not a Change.
func (st *Statement) Edit() (change.Edit, bool) {
	if st.Change == nil {
		return change.Edit{}, false
	}
	return st.Change.Edit(), true
}

// Edit returns the edit of the configuration that the change describes.
func (ch *Change) Edit() change.Edit {
	return change.Edit{Summary: ch.String(), Apply: ch.apply}
}

// Edit returns the edit that makes the first owner the only one.
func (in *Initialize) Edit() change.Edit {
	return change.Edit{
		Summary: "INITIALIZE OWNER " + in.Owner,
		Apply: func(co *catalog.Configuration) error {
			co.Owners = []catalog.Owner{{Name: in.Owner, Key: in.Key.Public}}
			return nil
		},
	}
}

func (ch *Change) apply(co *catalog.Configuration) error {
	switch {
	case ch.CreateService != nil:
		return ch.CreateService.apply(co)
	case ch.DeleteService != "":
		return deleteService(co, ch.DeleteService)
	case ch.AddAddress != nil:
		return ch.AddAddress.add(co)
	case ch.DropAddress != nil:
		return ch.DropAddress.drop(co)
	case ch.AddHosts != nil:
		return ch.AddHosts.add(co)
	case ch.DropHosts != nil:
		return ch.DropHosts.drop(co)
	case ch.SetClass != nil:
		return ch.SetClass.apply(co)
	case ch.DropClass != nil:
		return ch.DropClass.apply(co)
	default:
		return ch.applyGlobal(co)
	}
}

// applyGlobal applies the changes that don't concern a single service.
func (ch *Change) applyGlobal(co *catalog.Configuration) error {
	switch {
	case ch.Drain != nil:
		return setRules(co, ch.Drain, func(ru *catalog.HostRule) { ru.Draining = true })
	case ch.Undrain != nil:
		return undrain(co, ch.Undrain)
	case ch.SetWeight != nil:
		return setRules(co, ch.SetWeight.Hosts, func(ru *catalog.HostRule) { ru.Weight = ch.SetWeight.Weight })
	case ch.CreateOwner != nil:
		return ch.CreateOwner.create(co)
	case ch.DeleteOwner != "":
		return deleteOwner(co, ch.DeleteOwner)
	case ch.SetKey != nil:
		return ch.SetKey.replace(co)
	case ch.SetTurn != nil:
		co.SetTurn(catalog.Turn{From: ch.SetTurn.From.First, Owner: ch.SetTurn.Owner})
		return nil
	case ch.DropTurn != nil:
		return dropTurn(co, *ch.DropTurn)
	case ch.HandSayTo != "":
		return transferSay(co, ch.HandSayTo)
	default:
		return errors.Wrap(catalog.ErrInvalid, "empty change")
	}
}

func (cs *CreateService) apply(co *catalog.Configuration) error {
	if co.Service(cs.Name) != nil {
		return errors.Wrapf(catalog.ErrExists, "service %q", cs.Name)
	}
	sv := catalog.Service{ID: co.NextService, Name: cs.Name, Firm: cs.Firm, Addresses: cs.Addresses, Hosts: cs.Hosts}
	co.NextService++
	co.Services = append(co.Services, sv)
	return nil
}

// findService returns the named service of the configuration, for changing it in
// place.
func findService(co *catalog.Configuration, name string) (*catalog.Service, error) {
	sv := co.Service(name)
	if sv == nil {
		return nil, errors.Wrapf(catalog.ErrUnknown, "service %q", name)
	}
	return sv, nil
}

func deleteService(co *catalog.Configuration, name string) error {
	if _, err := findService(co, name); err != nil {
		return err
	}
	co.Services = slices.DeleteFunc(co.Services, func(sv catalog.Service) bool { return sv.Name == name })
	return nil
}

func (ad *Addresses) add(co *catalog.Configuration) error {
	sv, err := findService(co, ad.Service)
	if err != nil {
		return err
	}
	sv.Addresses = append(sv.Addresses, ad.Addresses...)
	return nil
}

func (ad *Addresses) drop(co *catalog.Configuration) error {
	sv, err := findService(co, ad.Service)
	if err != nil {
		return err
	}
	sv.Addresses, err = removeEach(sv.Addresses, ad.Addresses)
	return wrapf(err, "addresses of service %q", sv.Name)
}

func (ra *Ranges) add(co *catalog.Configuration) error {
	sv, err := findService(co, ra.Service)
	if err != nil {
		return err
	}
	for _, ho := range ra.Hosts {
		if !slices.Contains(sv.Hosts, ho) {
			sv.Hosts = append(sv.Hosts, ho)
		}
	}
	return nil
}

func (ra *Ranges) drop(co *catalog.Configuration) error {
	sv, err := findService(co, ra.Service)
	if err != nil {
		return err
	}
	sv.Hosts, err = removeEach(sv.Hosts, ra.Hosts)
	return wrapf(err, "hosts of service %q", sv.Name)
}

// removeEach returns a copy of the values without the removed ones. The error wraps
// catalog.ErrUnknown if one of them is not among the values.
func removeEach[T comparable](values, removed []T) ([]T, error) {
	for _, re := range removed {
		at := slices.Index(values, re)
		if at < 0 {
			return values, errors.Wrapf(catalog.ErrUnknown, "%v", re)
		}
		values = slices.Delete(slices.Clone(values), at, at+1)
	}
	return values, nil
}

// wrapf wraps an error with a formatted text. It returns nil for nil.
func wrapf(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, format, args...)
}

func (sc *SetClass) apply(co *catalog.Configuration) error {
	sv, err := findService(co, sc.Service)
	if err != nil {
		return err
	}
	cl := catalog.Class{Name: sc.Name, Urgent: sc.Urgent, Paths: sc.Paths, Limit: sc.Limit, Weight: sc.Weight}
	if cl.Weight == 0 {
		cl.Weight = register.FullWeight
	}
	for i := range sv.Classes {
		if sv.Classes[i].Name == cl.Name {
			sv.Classes[i] = cl
			return nil
		}
	}
	sv.Classes = append(sv.Classes, cl)
	return nil
}

func (dc *DropClass) apply(co *catalog.Configuration) error {
	sv, err := findService(co, dc.Service)
	if err != nil {
		return err
	}
	kept := slices.DeleteFunc(slices.Clone(sv.Classes), func(cl catalog.Class) bool { return cl.Name == dc.Name })
	if len(kept) == len(sv.Classes) {
		return errors.Wrapf(catalog.ErrUnknown, "class %q of service %q", dc.Name, sv.Name)
	}
	sv.Classes = kept
	return nil
}

// setRules changes the host rule of each range with set. It creates the rules that
// don't exist.
func setRules(co *catalog.Configuration, ranges []netip.Prefix, set func(*catalog.HostRule)) error {
	for _, ra := range ranges {
		at := slices.IndexFunc(co.Rules, func(ru catalog.HostRule) bool { return ru.Hosts == ra })
		if at < 0 {
			at = len(co.Rules)
			co.Rules = append(co.Rules, catalog.HostRule{Hosts: ra, Weight: register.FullWeight})
		}
		set(&co.Rules[at])
	}
	removeRedundantRules(co)
	return nil
}

// undrain ends the draining of ranges, each of which must have a draining rule of
// its own.
func undrain(co *catalog.Configuration, ranges []netip.Prefix) error {
	for _, ra := range ranges {
		at := slices.IndexFunc(co.Rules, func(ru catalog.HostRule) bool { return ru.Hosts == ra && ru.Draining })
		if at < 0 {
			return errors.Wrapf(catalog.ErrUnknown, "draining hosts %s", ra)
		}
		co.Rules[at].Draining = false
	}
	removeRedundantRules(co)
	return nil
}

// removeRedundantRules removes the rules that neither drain hosts nor change their
// weight. Such a rule is kept inside a wider one, to which it makes an exception.
func removeRedundantRules(co *catalog.Configuration) {
	rules := co.Rules
	co.Rules = slices.DeleteFunc(slices.Clone(rules), func(ru catalog.HostRule) bool {
		redundant := !ru.Draining && ru.Weight == register.FullWeight
		inside := slices.ContainsFunc(rules, func(other catalog.HostRule) bool {
			return other.Hosts.Bits() < ru.Hosts.Bits() && other.Hosts.Contains(ru.Hosts.Addr())
		})
		return redundant && !inside
	})
}

func (ok *OwnerKey) create(co *catalog.Configuration) error {
	if _, known := co.Owner(ok.Name); known {
		return errors.Wrapf(catalog.ErrExists, "owner %q", ok.Name)
	}
	co.Owners = append(co.Owners, catalog.Owner{Name: ok.Name, Key: ok.Key.Public})
	return nil
}

func (ok *OwnerKey) replace(co *catalog.Configuration) error {
	at := slices.IndexFunc(co.Owners, func(ow catalog.Owner) bool { return ow.Name == ok.Name })
	if at < 0 {
		return errors.Wrapf(catalog.ErrUnknown, "owner %q", ok.Name)
	}
	co.Owners[at].Key = ok.Key.Public
	return nil
}

func deleteOwner(co *catalog.Configuration, name string) error {
	if _, known := co.Owner(name); !known {
		return errors.Wrapf(catalog.ErrUnknown, "owner %q", name)
	}
	co.Owners = slices.DeleteFunc(co.Owners, func(ow catalog.Owner) bool { return ow.Name == name })
	return nil
}

func dropTurn(co *catalog.Configuration, mo Month) error {
	kept := slices.DeleteFunc(slices.Clone(co.Calendar), func(tu catalog.Turn) bool { return tu.From.Equal(mo.First) })
	if len(kept) == len(co.Calendar) {
		return errors.Wrapf(catalog.ErrUnknown, "turn from %s", mo.First.Format(monthLayout))
	}
	co.Calendar = kept
	return nil
}

// transferSay gives the say to another owner.
func transferSay(co *catalog.Configuration, name string) error {
	if _, known := co.Owner(name); !known {
		return errors.Wrapf(catalog.ErrUnknown, "owner %q", name)
	}
	if co.Say.Owner == name {
		return errors.Wrapf(catalog.ErrExists, "owner %q already holds the say", name)
	}
	co.Say.Owner = name
	return nil
}
