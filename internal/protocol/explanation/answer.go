// Package explanation is the form in which balancers tell operators where they would
// send a new flow, and why: a JSON object, also sent in CBOR between processes, and a
// table for people. It is the same for balancers on the users' platform and for those
// of the own interface; fields that one of them doesn't have are left out.
//
// # Usage
//
//	an := explanation.OfPlacement(placer.Explain(now, flow))
//	an.WriteText(os.Stdout)
package explanation

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// Outcome is what becomes of a new flow.
type Outcome string

// The outcomes.
const (
	// OutcomeSent says that the flow is sent to the host Choice.
	OutcomeSent Outcome = "Sent"
	// OutcomeWaits says that the opening waits at the balancer.
	OutcomeWaits Outcome = "Waits"
	// OutcomeRefused says that the opening is answered with a reset.
	OutcomeRefused Outcome = "Refused"
	// OutcomeDropped says that the packet is dropped without an answer.
	OutcomeDropped Outcome = "Dropped"
)

// RankedBy is what hosts are ranked by.
type RankedBy string

// The values of RankedBy, which are those of the setting Placement.
const (
	// RankedByCounts is the ranking by requests in progress.
	RankedByCounts RankedBy = "Counts"
	// RankedByWork is the ranking by remaining work.
	RankedByWork RankedBy = "RemainingWork"
)

// ProblemKind is the kind of a Problem.
type ProblemKind string

// The kinds of problems.
const (
	// BadQuestion says that the question can't be understood.
	BadQuestion ProblemKind = "BadQuestion"
	// UnknownAddress says that no service gets new flows to the address.
	UnknownAddress ProblemKind = "UnknownAddress"
	// NoConfiguration says that the balancer has no configuration yet.
	NoConfiguration ProblemKind = "NoConfiguration"
	// StaleView says that what the balancer knows may be out of date. The answer still
	// tells what it would do.
	StaleView ProblemKind = "StaleView"
)

// Problem is why an answer is missing or not to be relied on.
type Problem struct {
	Kind ProblemKind
	Text string
}

// Share is a service with its weight among those of one address.
type Share struct {
	Service string
	Weight  uint32
}

// Host is one host with its inputs, and why it is chosen or passed over. A field
// whose value is unknown or that this kind of balancer doesn't have is nil or empty.
type Host struct {
	Address netip.AddrPort
	Service string `json:",omitempty"`
	Domain  string `json:",omitempty"`
	State   string
	// Role is the role in the chain of hosts that a packet may visit. Incarnation,
	// Weight and Load are those of the host's record. These are fields of the own
	// interface.
	Role        string  `json:",omitempty"`
	Incarnation uint64  `json:",omitempty"`
	Weight      *uint16 `json:",omitempty"`
	Load        *uint16 `json:",omitempty"`
	// The fields from here on are those of the users' platform.
	ReportAgeMilliseconds *float64 `json:",omitempty"`
	// InProgress is the number of requests in progress that the balancer estimates.
	InProgress              *float64 `json:",omitempty"`
	Slots                   *uint16  `json:",omitempty"`
	ServiceTimeMilliseconds *float64 `json:",omitempty"`
	// Slowness is the factor by which the service time raises the cost.
	Slowness *float64 `json:",omitempty"`
	// RemainingMilliseconds and MeanCostMilliseconds are the remaining work and the mean
	// cost of a request that the host's agent reported. EstimatedLoad is the load by which
	// the host is ranked and RelativeCost the expected cost of the flow's first request at
	// this host, both in requests of the answer's MeanCostMilliseconds. They are missing
	// if the hosts are ranked by counts.
	RemainingMilliseconds *float64 `json:",omitempty"`
	MeanCostMilliseconds  *float64 `json:",omitempty"`
	EstimatedLoad         *float64 `json:",omitempty"`
	RelativeCost          *float64 `json:",omitempty"`
	// Candidate and Cost are missing for hosts that are skipped.
	Candidate *bool    `json:",omitempty"`
	Cost      *float64 `json:",omitempty"`
	// Reason says why the host is chosen or passed over.
	Reason string
}

// Chain is how a balancer of the own interface ranks the hosts of a flow.
type Chain struct {
	Bucket uint64
	// Hosts is the number of hosts that may own buckets of the service.
	Hosts int
	// Fresh says that the balancer doesn't know the hosts' former weights and states.
	Fresh bool
	// NextChange is when the chain may become shorter by itself, zero if it won't.
	NextChange time.Time `json:",omitzero"`
}

// Answer says where a balancer would send a new flow, and why.
type Answer struct {
	// Balancer is the balancer's name or address, Domain its failure domain.
	Balancer string `json:",omitempty"`
	Domain   string `json:",omitempty"`
	Caller   netip.AddrPort
	Address  netip.AddrPort
	// Service is the service that the flow goes to, ServiceReason says why.
	Service       string  `json:",omitempty"`
	ServiceReason string  `json:",omitempty"`
	Services      []Share `json:",omitempty"`
	// Version is that of the configuration; ConfirmedMilliseconds is how long ago the
	// store is known to have had no newer one.
	Version               string   `json:",omitempty"`
	ConfirmedMilliseconds *float64 `json:",omitempty"`
	Outcome               Outcome  `json:",omitempty"`
	// Reason is why the flow is refused or waits.
	Reason string `json:",omitempty"`
	// Choice is the host that the flow is sent to. Mode is the delivery mode.
	Choice *netip.AddrPort `json:",omitempty"`
	Mode   string          `json:",omitempty"`
	// MedianServiceTimeMilliseconds is the median of the service's hosts.
	MedianServiceTimeMilliseconds *float64 `json:",omitempty"`
	// RankedBy is what the platform's balancer ranks the service's hosts by.
	// MeanCostMilliseconds is the median of the hosts' mean costs, missing if they are
	// ranked by counts.
	RankedBy             RankedBy `json:",omitempty"`
	MeanCostMilliseconds *float64 `json:",omitempty"`
	Chain                *Chain   `json:",omitempty"`
	// Hosts are the hosts, the chosen one first. OtherHosts is the number of hosts
	// that are left out.
	Hosts      []Host   `json:",omitempty"`
	OtherHosts int      `json:",omitempty"`
	Problem    *Problem `json:",omitempty"`
}

// SetProblem sets the problem, unless the answer has one already.
func (an *Answer) SetProblem(kind ProblemKind, format string, arguments ...any) {
	if an.Problem == nil {
		an.Problem = &Problem{Kind: kind, Text: fmt.Sprintf(format, arguments...)}
	}
}

// Err returns the problem as an error, nil if there is none.
func (an *Answer) Err() error {
	if an.Problem == nil {
		return nil
	}
	return errors.New(an.Problem.Text)
}

// milliseconds returns a duration in milliseconds.
func milliseconds(du time.Duration) *float64 {
	value := float64(du) / float64(time.Millisecond)
	return &value
}

// knownMilliseconds returns a duration in milliseconds, nil if it is zero.
func knownMilliseconds(du time.Duration) *float64 {
	if du == 0 {
		return nil
	}
	return milliseconds(du)
}

// SetConfirmed sets how long ago the configuration was confirmed.
func (an *Answer) SetConfirmed(age time.Duration) { an.ConfirmedMilliseconds = milliseconds(age) }
