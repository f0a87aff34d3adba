// Package settings defines the settings of each role with their defaults, and
// loads and checks them from files of JSON with comments.
//
// A file is checked as a whole: Load returns every fault in it at once, each with
// its line and column, and no settings are used from a file with a fault. Field
// tags state what a value must satisfy:
//
//	need:"yes"           the field may not be missing or empty
//	min:"1" max:"64"     bounds of a number or duration, both included
//	listen:"udp"         an address that the process listens on
//	announce:"yes"       an address that is given to other processes to reach this one
//	file:"reload"        a file whose content is loaded again at SIGHUP
//	file:"start"         a file whose content is loaded at the start only
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

// Duration is a time.Duration that is written to files as a string such as "3s".
type Duration time.Duration

// UnmarshalText parses a duration such as "250ms".
func (du *Duration) UnmarshalText(text []byte) error {
	va, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "parse duration")
	}
	*du = Duration(va)
	return nil
}

// MarshalText writes the duration in the form that UnmarshalText reads.
func (du Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(du).String()), nil
}

// Keys holds the paths of a process's key files.
type Keys struct {
	// Certificate is the PEM file of the process's certificate chain.
	Certificate string `need:"yes" file:"reload"`
	// Key is the PEM file of the certificate's private key.
	Key string `need:"yes" file:"reload"`
	// Authority is the PEM file of the CA certificates with which the certificates
	// of peers are verified.
	Authority string `need:"yes" file:"reload"`
	// Secret is the file of the secret that is shared by the whole deployment, of
	// 16 bytes or more.
	Secret string `need:"yes" file:"reload"`
}

// Common holds the settings that balancers and agents have in common.
type Common struct {
	// Domain is the failure domain of the instance.
	Domain string `need:"yes"`
	// Control is the address on which control connections from other processes
	// are accepted.
	Control netip.AddrPort `need:"yes" listen:"tcp" announce:"yes"`
	// Metrics is the address on which metrics and readiness are served.
	Metrics netip.AddrPort `need:"yes" listen:"tcp"`
	// Keys holds the paths of the key files.
	Keys Keys
	// StopWithin is the time limit of a graceful shutdown; requests that are still
	// open after it are aborted.
	StopWithin Duration `min:"1s" max:"1h"`
}

// Service is a service that is configured in the settings. It is used until the
// platform's configuration is read.
type Service struct {
	// ID is the number of the service.
	ID uint32 `min:"1" max:"16777215"`
	// Name is the name of the service.
	Name string `need:"yes"`
	// Firm is the tenant firm that the service belongs to.
	Firm string `need:"yes"`
	// Addresses are the addresses at which callers reach the service.
	Addresses []netip.AddrPort `need:"yes"`
}

// ToCatalog returns the service in the form that the configuration has.
func (sv Service) ToCatalog() catalog.Service {
	return catalog.Service{
		ID:        register.ServiceID(sv.ID),
		Name:      sv.Name,
		Firm:      sv.Firm,
		Addresses: sv.Addresses,
	}
}
