package settings

import (
	"net/netip"
	"time"
)

// Carrier holds the settings of a process that carries flows on the platform.
type Carrier struct {
	// Name is the process's name in the store.
	Name string `need:"yes"`
	// Domain is the failure domain of the instance.
	Domain string `need:"yes"`
	// Peers is the address on which messages of the system's processes arrive.
	Peers netip.AddrPort `need:"yes" listen:"udp" announce:"yes"`
	// Ready is the address on which readiness is served.
	Ready netip.AddrPort `need:"yes" listen:"tcp"`
	// Metrics is the address on which counters and histograms are served.
	Metrics netip.AddrPort `need:"yes" listen:"tcp"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `need:"yes"`
	// Seeds are the control addresses of balancers to find while the store is
	// away. They take members' messages at the port of Peers.
	Seeds []netip.AddrPort
	// Callers is the address on which the fabric hands packets over to a
	// balancer; callers take datagrams at the same port.
	Callers netip.AddrPort `need:"yes"`
	// StopWithin is when the platform ends a process that was told to stop.
	StopWithin Duration `min:"1s" max:"1h"`
}

// CarrierBalancer holds the settings of a balancer that carries flows.
type CarrierBalancer struct {
	Carrier
	// Control is the address that makes the process a seed for others.
	Control netip.AddrPort `need:"yes" listen:"tcp"`
}

// CarrierAgent holds the settings of an agent that carries flows.
type CarrierAgent struct {
	Carrier
	// HostPackets is the address to which the host sends all its packets.
	HostPackets netip.AddrPort `need:"yes" listen:"udp"`
	// Control is the address on which the host checks in.
	Control netip.AddrPort `need:"yes" listen:"tcp"`
	// Backend is the address at which the host takes packets.
	Backend netip.AddrPort `need:"yes"`
	// Service is the service of the host, as the instance was set up.
	Service string `need:"yes"`
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// HeartbeatInterval is the time between two check-ins of the host.
	HeartbeatInterval Duration `min:"10ms" max:"1m"`
	// FlowLifetime is how long a flow may last.
	FlowLifetime Duration `min:"1s" max:"24h"`
}

const (
	// defaultCarrierStop is the platform's usual grace.
	defaultCarrierStop = 6 * time.Second
	// defaultHeartbeat and defaultFlowLifetime are the platform's usual figures.
	defaultHeartbeat    = 1200 * time.Millisecond
	defaultFlowLifetime = time.Minute
)

// DefaultCarrierBalancer returns the defaults of a balancer that carries flows.
func DefaultCarrierBalancer() CarrierBalancer {
	return CarrierBalancer{Carrier: Carrier{StopWithin: Duration(defaultCarrierStop)}}
}

// DefaultCarrierAgent returns the defaults of an agent that carries flows.
func DefaultCarrierAgent() CarrierAgent {
	return CarrierAgent{
		Carrier:           Carrier{StopWithin: Duration(defaultCarrierStop)},
		HeartbeatInterval: Duration(defaultHeartbeat),
		FlowLifetime:      Duration(defaultFlowLifetime),
	}
}
