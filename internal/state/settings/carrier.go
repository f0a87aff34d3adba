package settings

import (
	"net/netip"
	"strconv"
	"time"
)

// Carrier holds the common settings of the balancers and agents that forward
// flows on the platform.
type Carrier struct {
	// Name is the name of the process's entry in the store.
	Name string `need:"yes"`
	// Domain is the failure domain of the instance.
	Domain string `need:"yes"`
	// Peers is the address on which messages from other balancers and agents
	// arrive.
	Peers netip.AddrPort `need:"yes" listen:"udp" announce:"yes"`
	// Ready is the address on which the readiness check is served.
	Ready netip.AddrPort `need:"yes" listen:"tcp"`
	// Metrics is the address on which counters and histograms are served.
	Metrics netip.AddrPort `need:"yes" listen:"tcp"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `need:"yes"`
	// Seeds are the control addresses of balancers that are contacted even while
	// the store can't be reached. Messages are sent to their IP addresses at the
	// port of Peers, which must be the same for all processes.
	Seeds []netip.AddrPort
	// Callers is the address on which a balancer receives callers' packets from
	// the fabric. Packets to callers are sent to the same port at the caller's IP
	// address.
	Callers netip.AddrPort `need:"yes"`
	// StopWithin is the time after which the platform kills a process that it told
	// to stop.
	StopWithin Duration `min:"1s" max:"1h"`
	// FlowLifetime is the longest time that a flow may last.
	FlowLifetime Duration `min:"1s" max:"24h"`
	// Placement is how balancers rank hosts for new flows: PlacementCounts by requests
	// in progress, PlacementRemainingWork by the work that each host still has to do,
	// as far as it is known. Agents report that work only with the latter.
	Placement string
	// EvacuateWithin is the time after its acknowledgement within which the evacuation
	// of a failure domain is to be in force. Zero turns evacuation off.
	EvacuateWithin Duration `min:"0s" max:"1h"`
}

// The values of Carrier.Placement.
const (
	PlacementCounts        = "Counts"
	PlacementRemainingWork = "RemainingWork"
)

// check adds the faults of values that tags can't describe.
func (ca *Carrier) check(ch *checker) {
	if ca.Placement != PlacementCounts && ca.Placement != PlacementRemainingWork {
		ch.addFault("Placement", strconv.Quote(ca.Placement), `"`+PlacementCounts+`" or "`+PlacementRemainingWork+`"`)
	}
}

// ByRemainingWork reports whether Placement is PlacementRemainingWork.
func (ca *Carrier) ByRemainingWork() bool { return ca.Placement == PlacementRemainingWork }

// CarrierBalancer holds the settings of a balancer that forwards flows on the
// platform.
type CarrierBalancer struct {
	Carrier
	// Control is the address under which other processes list this one in Seeds.
	// The readiness check is served on it as well as on Ready.
	Control netip.AddrPort `need:"yes" listen:"tcp"`
}

// CarrierAgent holds the settings of an agent that forwards flows on the platform.
type CarrierAgent struct {
	Carrier
	// HostPackets is the address to which the agent's host sends all its packets.
	HostPackets netip.AddrPort `need:"yes" listen:"udp"`
	// Control is the address on which the host checks in.
	Control netip.AddrPort `need:"yes" listen:"tcp"`
	// Backend is the address at which the host receives packets.
	Backend netip.AddrPort `need:"yes"`
	// Service is the name of the service that the instance's host is to serve.
	Service string `need:"yes"`
	// FirstStart says that the whole deployment starts for the first time, so that
	// no host can hold a flow yet.
	FirstStart bool
	// HeartbeatInterval is the time between two check-ins of the host.
	HeartbeatInterval Duration `min:"10ms" max:"1m"`
}

const (
	// defaultCarrierStopWithin is the platform's usual grace period for stopping.
	defaultCarrierStopWithin = 6 * time.Second
	// defaultHeartbeatInterval and defaultFlowLifetime are the platform's usual
	// values.
	defaultHeartbeatInterval = 1200 * time.Millisecond
	defaultFlowLifetime      = time.Minute
)

// defaultCarrier returns the default settings that balancers and agents share.
func defaultCarrier() Carrier {
	return Carrier{
		StopWithin: Duration(defaultCarrierStopWithin), FlowLifetime: Duration(defaultFlowLifetime), Placement: PlacementCounts,
	}
}

// DefaultCarrierBalancer returns the default settings of a balancer that forwards
// flows on the platform.
func DefaultCarrierBalancer() CarrierBalancer {
	return CarrierBalancer{Carrier: defaultCarrier()}
}

// DefaultCarrierAgent returns the default settings of an agent that forwards flows
// on the platform.
func DefaultCarrierAgent() CarrierAgent {
	return CarrierAgent{
		Carrier:           defaultCarrier(),
		HeartbeatInterval: Duration(defaultHeartbeatInterval),
	}
}
