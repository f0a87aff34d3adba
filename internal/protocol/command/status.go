package command

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/protocol/explanation"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Query is the console's request for the status of a balancer or an agent.
type Query struct {
	// Records requests the records of hosts and balancers too.
	Records bool
	// Suspects requests the members that the process monitors and suspects of
	// having failed.
	Suspects bool
	// Flow requests the steps in which a new flow would be routed.
	Flow *FlowQuery `cbor:",omitempty"`
}

// FlowQuery identifies a new flow by its service and its caller's address.
type FlowQuery struct {
	Service register.ServiceID
	Caller  netip.AddrPort
	// Address is the address that the caller opens the flow to, invalid in the query
	// of a console of a former build, which reads Path.
	Address netip.AddrPort
}

// Status is the answer of a balancer or an agent to a Query.
type Status struct {
	// Version is the version of the configuration that the process has in force.
	Version catalog.Version
	// InForce reports which versions the instances that the process knows of have
	// in force.
	InForce rollout.Report
	// Expected is the number of live instances that the process knows of.
	Expected  int
	Hosts     []register.Host     `cbor:",omitempty"`
	Balancers []register.Balancer `cbor:",omitempty"`
	// Suspects describes the members that a balancer monitors and suspects of having
	// failed, one line each.
	Suspects []string `cbor:",omitempty"`
	// Path describes the steps in which a new flow would be routed, one line each.
	Path []string `cbor:",omitempty"`
	// Explanation says where a new flow would be sent. Balancers of a former build
	// leave it out.
	Explanation *explanation.Answer `cbor:",omitempty"`
	// Flows is the number of open flows of an agent.
	Flows int `cbor:",omitempty"`
	// DatagramsForwarded and DatagramsAnswered count the datagrams that a balancer
	// has forwarded to agents and back to callers since its start.
	DatagramsForwarded int64 `cbor:",omitempty"`
	DatagramsAnswered  int64 `cbor:",omitempty"`
}
