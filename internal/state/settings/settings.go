// Package settings holds the settings of each role, their defaults, and the
// loader that reads them from files of JSON with comments.
//
// # Usage
//
//	st, err := settings.Load("balancer.json", settings.DefaultBalancer())
package settings

import (
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

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
	Certificate string
	// Key is the PEM file of the certificate's private key.
	Key string
	// Authority is the PEM file of the certificates that peers must be signed by.
	Authority string
	// Secret is the file of the deployment's secret.
	Secret string
}

// Common holds the settings that every role has.
type Common struct {
	// Domain is the failure domain of the instance.
	Domain string
	// Control is the address on which links of other processes are taken.
	Control netip.AddrPort
	// Metrics is the address on which metrics and readiness are served.
	Metrics netip.AddrPort
	// Keys names the key files.
	Keys Keys
	// StopWithin bounds a graceful shutdown.
	StopWithin Duration
}

// Service is a service known from the settings, until the platform's
// configuration is read.
type Service struct {
	// ID is the service's number.
	ID uint32
	// Name is the service's name.
	Name string
	// Firm is the tenant firm.
	Firm string
	// Addresses are where callers reach the service.
	Addresses []netip.AddrPort
}

// Catalog returns the service as the configuration holds it.
func (sv Service) Catalog() catalog.Service {
	return catalog.Service{
		ID:        register.ServiceID(sv.ID),
		Name:      sv.Name,
		Firm:      sv.Firm,
		Addresses: sv.Addresses,
	}
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// Callers is the address on which the fabric's datagrams arrive.
	Callers netip.AddrPort
	// Hosts is the address on which agents' answers arrive.
	Hosts netip.AddrPort
	// Fabric is where answers are sent when the fabric wraps datagrams in
	// frames. Without it the balancer takes the services' addresses itself.
	Fabric netip.AddrPort
	// Platform is the address of the platform's object API.
	Platform netip.AddrPort
	// Seeds are the control addresses of balancers to join by.
	Seeds []netip.AddrPort
	// Services are in force until the platform's configuration is read.
	Services []Service
	// Workers is the number of datagram workers for each socket.
	Workers int
}

// Agent holds the settings of an agent.
type Agent struct {
	Common
	// Datagrams is the address on which enveloped datagrams arrive.
	Datagrams netip.AddrPort
	// Service is the number of the service that the backend server serves.
	Service uint32
	// Backend is the HTTP address of the backend server.
	Backend netip.AddrPort
	// Slots is the number of requests that the backend server works on at once.
	Slots int
	// Seeds are the control addresses of balancers to announce to.
	Seeds []netip.AddrPort
	// Workers is the number of datagram workers.
	Workers int
}

// DefaultBalancer returns the defaults of a balancer.
func DefaultBalancer() Balancer {
	return Balancer{Common: defaultCommon(), Workers: 2}
}

// DefaultAgent returns the defaults of an agent.
func DefaultAgent() Agent {
	return Agent{Common: defaultCommon(), Slots: 2, Workers: 2}
}

func defaultCommon() Common {
	return Common{StopWithin: Duration(30 * time.Second)}
}

// Load reads a file of JSON with comments over the defaults.
func Load[T any](path string, defaults T) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return defaults, errors.Wrap(err, "read settings")
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return defaults, errors.Wrapf(err, "parse settings %s", path)
	}
	if err := json.Unmarshal(standard, &defaults); err != nil {
		return defaults, errors.Wrapf(err, "decode settings %s", path)
	}
	return defaults, nil
}
