// Package settings holds the settings of each role, their defaults, and the
// loader that reads them from files of JSON with comments.
//
// A file is read as a whole: Load returns every fault of it at once, each with
// its line and column, so that nothing starts from a file that is partly wrong.
// Field tags state what a value must satisfy:
//
//	need:"yes"           the field may not be left out or empty
//	min:"1" max:"64"     bounds of a number, both included
//	listen:"udp"         an address that the process listens on
//	announce:"yes"       an address that other processes are told to reach
//	file:"reload"        a file whose content is loaded again at SIGHUP
//
// # Usage
//
//	st, err := settings.Load("balancer.json", settings.DefaultBalancer())
//	var faults settings.Faults
//	if errors.As(err, &faults) {
//		for _, fa := range faults {
//			fmt.Println(fa.Line, fa.Column, fa.Want)
//		}
//	}
package settings

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Duration is a time.Duration that is written as a string such as "3s".
type Duration time.Duration

// UnmarshalText reads a duration such as "250ms".
func (du *Duration) UnmarshalText(text []byte) error {
	va, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "read duration")
	}
	*du = Duration(va)
	return nil
}

// MarshalText writes the duration in the form that UnmarshalText reads.
func (du Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(du).String()), nil
}

// Keys names the files with a process's keys.
type Keys struct {
	// Certificate is the PEM file of the process's certificate chain.
	Certificate string `need:"yes" file:"reload"`
	// Key is the PEM file of the certificate's private key.
	Key string `need:"yes" file:"reload"`
	// Authority is the PEM file of the certificates that peers must be signed by.
	Authority string `need:"yes" file:"reload"`
	// Secret is the file of the deployment's secret, of 16 bytes or more.
	Secret string `need:"yes" file:"reload"`
}

// Common holds the settings that every role has.
type Common struct {
	// Domain is the failure domain of the instance.
	Domain string `need:"yes"`
	// Control is the address on which links of other processes are taken.
	Control netip.AddrPort `need:"yes" listen:"tcp" announce:"yes"`
	// Metrics is the address on which metrics and readiness are served.
	Metrics netip.AddrPort `need:"yes" listen:"tcp"`
	// Keys names the key files.
	Keys Keys
	// StopWithin bounds a graceful shutdown, after which open requests are cut.
	StopWithin Duration `min:"1s" max:"1h"`
}

// Service is a service known from the settings, until the platform's
// configuration is read.
type Service struct {
	// ID is the service's number.
	ID uint32 `min:"1" max:"16777215"`
	// Name is the service's name.
	Name string `need:"yes"`
	// Firm is the tenant firm.
	Firm string `need:"yes"`
	// Addresses are where callers reach the service.
	Addresses []netip.AddrPort `need:"yes"`
}

// ToCatalog returns the service as the configuration holds it.
func (sv Service) ToCatalog() catalog.Service {
	return catalog.Service{
		ID:        register.ServiceID(sv.ID),
		Name:      sv.Name,
		Firm:      sv.Firm,
		Addresses: sv.Addresses,
	}
}
