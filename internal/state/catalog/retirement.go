package catalog

import (
	"net/netip"
	"slices"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// RetireAddresses adds to Retired each address that a service had in the
// configuration before and no longer has in co, as of the version of co.
func (co *Configuration) RetireAddresses(before *Configuration) {
	services := co.servicesByAddress()
	for _, sv := range before.Services {
		for _, ad := range sv.Addresses {
			if services[ad] == sv.ID {
				continue
			}
			co.Retired = append(co.Retired, Retirement{Address: ad, Service: sv.ID, Since: co.Version})
		}
	}
}

// servicesByAddress returns the ID of the service that has each address.
func (co *Configuration) servicesByAddress() map[netip.AddrPort]register.ServiceID {
	services := make(map[netip.AddrPort]register.ServiceID)
	for _, sv := range co.Services {
		for _, ad := range sv.Addresses {
			services[ad] = sv.ID
		}
	}
	return services
}

// ReleaseAddresses deletes the retirements that are no longer needed: those of
// addresses that went back to their last service, and those whose removal every
// live instance has in force. The argument is the lowest version in force at any
// live instance; the zero version releases none of the latter.
func (co *Configuration) ReleaseAddresses(lowest Version) {
	services := co.servicesByAddress()
	co.Retired = slices.DeleteFunc(co.Retired, func(re Retirement) bool {
		return services[re.Address] == re.Service || !lowest.Less(re.Since)
	})
}

// CheckAddressMoves returns ErrRetired if an address would move from one service
// to another within one change. The address must be removed by an earlier change.
func (co *Configuration) CheckAddressMoves(before *Configuration) error {
	services := before.servicesByAddress()
	for _, sv := range co.Services {
		for _, ad := range sv.Addresses {
			if old, had := services[ad]; had && old != sv.ID {
				return errors.Wrapf(ErrRetired, "address %s moves from service %d to service %q: remove it first", ad, old, sv.Name)
			}
		}
	}
	return nil
}
