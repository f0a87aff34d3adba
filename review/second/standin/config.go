package main

import (
	"fmt"
	"net/netip"
	"time"
)

// backend is a service that gets a share of a route's new flows.
type backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// route is a route of the operator's configuration.
type route struct {
	Name      string    `json:"name"`
	Host      string    `json:"host"`
	Port      string    `json:"path_prefix"`
	Type      string    `json:"type"`
	TimeoutMS int       `json:"timeout_ms"`
	SLOMS     int       `json:"slo_ms"`
	Priority  int       `json:"priority"`
	Service   string    `json:"service,omitempty"`
	Backends  []backend `json:"backends,omitempty"`
	Attempts  int       `json:"attempts"`
}

// configuration is the operator's configuration, written to config/main in full.
type configuration struct {
	Version  uint64           `json:"version"`
	Routes   []route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
}

func newConfiguration(services ...string) *configuration {
	co := &configuration{Version: 1, Limits: map[string]int{
		"max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000,
	}}
	for _, name := range services {
		co.Services = append(co.Services, map[string]any{
			"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false,
		})
	}
	return co
}

func newRoute(name string, address netip.AddrPort, service string) route {
	return route{
		Name: name, Host: address.Addr().String(), Port: fmt.Sprintf("/%d/", address.Port()), Type: "safe",
		TimeoutMS: 1500, SLOMS: 100, Priority: 2, Service: service, Attempts: 2,
	}
}

// serviceAddress returns the address of a route.
func (sy *system) serviceAddress(number int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(sy.net), byte(210 + number/4000), 1 + byte(number/20%200)})
	return netip.AddrPortFrom(ip, uint16(8000+number%20))
}

// write has the operator write the next version. It returns when that was acknowledged.
func (sy *system) writeConfiguration(co *configuration) time.Time {
	co.Version += 2
	acknowledged := sy.store.write("config", "main", co)
	sy.add("configuration %d acknowledged, %d routes", co.Version, len(co.Routes))
	return acknowledged
}
