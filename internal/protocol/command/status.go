package command

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Query is the console's question to a balancer or an agent.
type Query struct {
	// Records asks for the records of hosts and balancers too.
	Records bool
	// Suspects asks for the watcher's suspicions too.
	Suspects bool
	// Flow asks how a new flow would be steered.
	Flow *FlowQuery `cbor:",omitempty"`
}

// FlowQuery names a new flow.
type FlowQuery struct {
	Service register.ServiceID
	Caller  netip.AddrPort
}

// Status is the answer of a balancer or an agent.
type Status struct {
	// Version is what the process has in force.
	Version catalog.Version
	// InForce sums up the fleet, as far as the process knows.
	InForce rollout.Report
	// Expected is the number of live instances.
	Expected  int
	Hosts     []register.Host     `cbor:",omitempty"`
	Balancers []register.Balancer `cbor:",omitempty"`
	// Suspects are what a balancer suspects as a watcher, one line each.
	Suspects []string `cbor:",omitempty"`
	// Path are the steps in which a new flow would be steered, one line each.
	Path []string `cbor:",omitempty"`
	// Flows is the number of open flows of an agent.
	Flows int `cbor:",omitempty"`
	// DatagramsForwarded and DatagramsAnswered are a balancer's counts since
	// its start.
	DatagramsForwarded int64 `cbor:",omitempty"`
	DatagramsAnswered  int64 `cbor:",omitempty"`
}
