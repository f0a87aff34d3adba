package catalog

import (
	"net/netip"
	"slices"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// RetireAddresses records the addresses that services gave up between the two
// configurations, as of the version of the second.
func (co *Configuration) RetireAddresses(before *Configuration) {
	owners := co.owners()
	for _, sv := range before.Services {
		for _, ad := range sv.Addresses {
			if owners[ad] == sv.ID {
				continue
			}
			co.Retired = append(co.Retired, Retirement{Address: ad, Service: sv.ID, Since: co.Version})
		}
	}
}

// owners returns the service of each address.
func (co *Configuration) owners() map[netip.AddrPort]register.ServiceID {
	owners := make(map[netip.AddrPort]register.ServiceID)
	for _, sv := range co.Services {
		for _, ad := range sv.Addresses {
			owners[ad] = sv.ID
		}
	}
	return owners
}

// ReleaseAddresses removes the retirements that no longer bind: those of addresses which
// went back to their last service, and those whose removal every live instance
// has in force. The zero version releases none of the latter.
func (co *Configuration) ReleaseAddresses(everywhere Version) {
	owners := co.owners()
	co.Retired = slices.DeleteFunc(co.Retired, func(re Retirement) bool {
		return owners[re.Address] == re.Service || !everywhere.Less(re.Since)
	})
}

// CheckAddressMoves returns ErrRetired if an address would pass from one service to
// another within one change.
func (co *Configuration) CheckAddressMoves(before *Configuration) error {
	owners := before.owners()
	for _, sv := range co.Services {
		for _, ad := range sv.Addresses {
			if old, had := owners[ad]; had && old != sv.ID {
				return errors.Wrapf(ErrRetired, "address %s passes from service %d to service %q: remove it first", ad, old, sv.Name)
			}
		}
	}
	return nil
}
