package catalog

import (
	"crypto/ed25519"
	"net/netip"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// The limits of a configuration, all inclusive.
const (
	// MaxAddresses is the number of addresses of all services together.
	MaxAddresses = 1 << 16
	// MaxClasses is the number of traffic classes of one service.
	MaxClasses = 16
	// MaxRanges is the number of host ranges of one service.
	MaxRanges = 256
	// MaxPaths is the number of path prefixes of one class.
	MaxPaths = 64
	// MaxPathBytes is the size of a path prefix in bytes.
	MaxPathBytes = 255
	// MaxNameBytes is the size of a name in bytes.
	MaxNameBytes = 63
	// MaxRules is the number of host rules.
	MaxRules = 2048
	// MaxOwners is the number of owners.
	MaxOwners = 64
	// MaxTurns is the number of turns in the calendar.
	MaxTurns = 240
	// MaxWeight is the largest weight of a class or a host rule.
	MaxWeight = 1000
)

// The errors with which a configuration or a change to it is refused.
var (
	// ErrNoHost is returned if no host could serve a service.
	ErrNoHost = errors.New("service would have no host")
	// ErrOverlap is returned if two services would have the same address, or one
	// service would have it twice.
	ErrOverlap = errors.New("addresses overlap")
	// ErrLimit is returned if the configuration exceeds a limit.
	ErrLimit = errors.New("limit exceeded")
	// ErrInvalid is returned for a value that is malformed or out of range.
	ErrInvalid = errors.New("invalid value")
	// ErrRetired is returned if a service may not have an address yet.
	ErrRetired = errors.New("address is retired")
	// ErrUnknown is returned for a name, address, range or turn that is not in the
	// configuration.
	ErrUnknown = errors.New("not in the configuration")
	// ErrExists is returned for a name that is already in the configuration, and
	// for an owner who is to get the say and already holds it.
	ErrExists = errors.New("name is taken")
)

// Check returns an error for the first problem that keeps the configuration
// from being accepted, nil if there is none.
func (co *Configuration) Check() error {
	if err := co.checkNames(); err != nil {
		return err
	}
	if err := co.checkAddresses(); err != nil {
		return err
	}
	for i := range co.Services {
		if err := co.checkService(&co.Services[i]); err != nil {
			return err
		}
	}
	if err := co.checkRules(); err != nil {
		return err
	}
	return co.checkOwners()
}

func checkName(kind, name string) error {
	if name == "" {
		return errors.Wrapf(ErrInvalid, "%s without a name", kind)
	}
	if len(name) > MaxNameBytes {
		return errors.Wrapf(ErrLimit, "%s name %q of %d bytes, at most %d", kind, name, len(name), MaxNameBytes)
	}
	if !utf8.ValidString(name) {
		return errors.Wrapf(ErrInvalid, "%s name %q is not UTF-8", kind, name)
	}
	return nil
}

func (co *Configuration) checkNames() error {
	taken := make(map[string]bool, len(co.Services))
	last := register.ServiceID(0)
	for _, sv := range co.Services {
		if err := checkName("service", sv.Name); err != nil {
			return err
		}
		if taken[sv.Name] {
			return errors.Wrapf(ErrExists, "service %q", sv.Name)
		}
		taken[sv.Name] = true
		if sv.ID <= last || sv.ID > register.MaxServiceID || sv.ID >= co.NextService {
			return errors.Wrapf(ErrInvalid, "service %q with number %d", sv.Name, sv.ID)
		}
		last = sv.ID
	}
	return nil
}

func (co *Configuration) checkAddresses() error {
	services := make(map[netip.AddrPort]string)
	for _, sv := range co.Services {
		for _, ad := range sv.Addresses {
			if !ad.IsValid() || ad.Port() == 0 {
				return errors.Wrapf(ErrInvalid, "address %s of service %q", ad, sv.Name)
			}
			if other, taken := services[ad]; taken {
				return errors.Wrapf(ErrOverlap, "address %s of service %q belongs to service %q", ad, sv.Name, other)
			}
			services[ad] = sv.Name
		}
	}
	if len(services) > MaxAddresses {
		return errors.Wrapf(ErrLimit, "%d addresses, at most %d", len(services), MaxAddresses)
	}
	for _, re := range co.Retired {
		if name, taken := services[re.Address]; taken {
			return errors.Wrapf(ErrRetired, "address %s of service %q since version %s", re.Address, name, re.Since)
		}
	}
	return nil
}

func (co *Configuration) checkService(sv *Service) error {
	if len(sv.Hosts) > MaxRanges {
		return errors.Wrapf(ErrLimit, "service %q with %d host ranges, at most %d", sv.Name, len(sv.Hosts), MaxRanges)
	}
	if len(sv.Classes) > MaxClasses {
		return errors.Wrapf(ErrLimit, "service %q with %d classes, at most %d", sv.Name, len(sv.Classes), MaxClasses)
	}
	names := make(map[string]bool, len(sv.Classes))
	for _, cl := range sv.Classes {
		if err := checkName("class", cl.Name); err != nil {
			return err
		}
		if names[cl.Name] {
			return errors.Wrapf(ErrExists, "class %q of service %q", cl.Name, sv.Name)
		}
		names[cl.Name] = true
		for _, pa := range cl.Paths {
			if !strings.HasPrefix(pa, "/") || !utf8.ValidString(pa) || len(pa) > MaxPathBytes {
				return errors.Wrapf(ErrInvalid, "path %q of class %q of service %q", pa, cl.Name, sv.Name)
			}
		}
		if len(cl.Paths) > MaxPaths || cl.Weight > MaxWeight {
			return errors.Wrapf(ErrLimit, "class %q of service %q with %d paths and weight %d, at most %d and %d",
				cl.Name, sv.Name, len(cl.Paths), cl.Weight, MaxPaths, MaxWeight)
		}
	}
	return co.checkUsableRange(sv)
}

// checkUsableRange returns ErrNoHost for a service that has addresses but no
// host range that may get new work.
func (co *Configuration) checkUsableRange(sv *Service) error {
	if len(sv.Addresses) == 0 {
		return nil
	}
	if len(sv.Hosts) == 0 {
		return errors.Wrapf(ErrNoHost, "service %q has addresses and no host range", sv.Name)
	}
	for _, ra := range sv.Hosts {
		if !co.rangeDisabled(ra) {
			return nil
		}
	}
	return errors.Wrapf(ErrNoHost, "every host range of service %q is draining or has weight 0", sv.Name)
}

// rangeDisabled reports whether a rule that drains, or has weight 0, covers the
// whole range, and no rule that allows new work overlaps it.
func (co *Configuration) rangeDisabled(ra netip.Prefix) bool {
	disabled := false
	for _, ru := range co.Rules {
		blocks := ru.Draining || ru.Weight == 0
		covers := ru.Hosts.Bits() <= ra.Bits() && ru.Hosts.Contains(ra.Addr())
		switch {
		case covers && blocks:
			disabled = true
		case !blocks && ra.Overlaps(ru.Hosts):
			return false
		}
	}
	return disabled
}

func (co *Configuration) checkRules() error {
	if len(co.Rules) > MaxRules {
		return errors.Wrapf(ErrLimit, "%d host rules, at most %d", len(co.Rules), MaxRules)
	}
	for _, ru := range co.Rules {
		if !ru.Hosts.IsValid() || ru.Weight > MaxWeight {
			return errors.Wrapf(ErrInvalid, "rule for hosts %s with weight %d", ru.Hosts, ru.Weight)
		}
	}
	return nil
}

func (co *Configuration) checkOwners() error {
	if len(co.Owners) > MaxOwners || len(co.Calendar) > MaxTurns {
		return errors.Wrapf(ErrLimit, "%d owners and %d turns, at most %d and %d",
			len(co.Owners), len(co.Calendar), MaxOwners, MaxTurns)
	}
	names := make(map[string]bool, len(co.Owners))
	for _, ow := range co.Owners {
		if err := checkName("owner", ow.Name); err != nil {
			return err
		}
		if names[ow.Name] {
			return errors.Wrapf(ErrExists, "owner %q", ow.Name)
		}
		names[ow.Name] = true
		if len(ow.Key) != ed25519.PublicKeySize {
			return errors.Wrapf(ErrInvalid, "key of owner %q has %d bytes, not %d", ow.Name, len(ow.Key), ed25519.PublicKeySize)
		}
	}
	if !names[co.Say.Owner] {
		return errors.Wrapf(ErrUnknown, "owner %q, named as holder of the say", co.Say.Owner)
	}
	for _, tu := range co.Calendar {
		if !names[tu.Owner] {
			return errors.Wrapf(ErrUnknown, "owner %q in the calendar", tu.Owner)
		}
	}
	return nil
}

// CheckHosts returns ErrNoHost if one of the live hosts may get new work for a
// service before the change and none may after it.
func CheckHosts(before, after *Configuration, hosts []register.Host) error {
	for i := range after.Services {
		sv := &after.Services[i]
		old, known := before.ServiceByID(sv.ID)
		if !known || !hasUsableHost(before, &old, hosts) || hasUsableHost(after, sv, hosts) {
			continue
		}
		return errors.Wrapf(ErrNoHost, "no live host of service %q could get new work", sv.Name)
	}
	return nil
}

// hasUsableHost reports whether any of the hosts may get new work for the service.
func hasUsableHost(co *Configuration, sv *Service, hosts []register.Host) bool {
	for _, ho := range hosts {
		if ho.Service != sv.ID || !ho.State.TakesNewWork() || !sv.MayServe(ho.Address.Addr()) {
			continue
		}
		ru := co.RuleFor(ho.Address.Addr())
		if !ru.Draining && ru.Weight > 0 {
			return true
		}
	}
	return false
}
