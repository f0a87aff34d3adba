package route

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Role is the reason why a chain names a host.
type Role uint8

const (
	// RoleOwner is the first host of the chain. It owns the bucket, unless no host
	// takes new work.
	RoleOwner Role = iota + 1
	// RoleHolder is a host that may hold the flow, because it may have owned the
	// bucket within the last HolderWindow or may have been offered the flow.
	RoleHolder
	// RoleSecondChoice is the host to which a new flow may be offered.
	RoleSecondChoice
)

// String returns the role's name.
func (ro Role) String() string {
	switch ro {
	case RoleOwner:
		return "Owner"
	case RoleHolder:
		return "Holder"
	case RoleSecondChoice:
		return "SecondChoice"
	default:
		return "Unknown"
	}
}

// Step is one host that a packet may visit, in the order of the visits.
type Step struct {
	Role        Role
	Address     netip.AddrPort
	Incarnation uint64
	State       register.State
	Weight      uint16
	Domain      string
}

// String returns the step as one line for operators.
func (st Step) String() string {
	return fmt.Sprintf("Role=%s Host=%s Incarnation=%d State=%s Weight=%d Domain=%s",
		st.Role, st.Address, st.Incarnation, st.State, st.Weight, st.Domain)
}

// Explanation describes how a balancer selects the hosts for a caller's packet
// whose connection ID names no host.
type Explanation struct {
	Service register.ServiceID
	Caller  netip.AddrPort
	Bucket  uint64
	// Hosts is the number of hosts that may own buckets of the service.
	Hosts int
	// Fresh reports whether the balancer has known the service for less than
	// HolderWindow, so that the hosts' former weights and states aren't known.
	Fresh bool
	// NextChange is when the chain may become shorter without a new record. It is
	// zero if no change is pending.
	NextChange time.Time
	Steps      []Step
}

// String returns the explanation as lines for operators.
func (ex Explanation) String() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "Service=%d Caller=%s Bucket=%d Hosts=%d Fresh=%t", ex.Service, ex.Caller, ex.Bucket, ex.Hosts, ex.Fresh)
	if !ex.NextChange.IsZero() {
		fmt.Fprintf(&sb, " NextChange=%s", ex.NextChange.UTC().Format(time.RFC3339))
	}
	for _, st := range ex.Steps {
		fmt.Fprintf(&sb, "\n%s", st)
	}
	if len(ex.Steps) == 0 {
		sb.WriteString("\nNo host of the service is known")
	}
	return sb.String()
}

// Explain describes the chain that Candidates returns for a caller's packet whose
// connection ID names no host.
func Explain(ta *Table, service register.ServiceID, caller netip.AddrPort) Explanation {
	ex := Explanation{Service: service, Caller: caller, Bucket: ta.key.bucket(service, caller)}
	sv, ok := ta.services.get(service)
	if !ok {
		return ex
	}
	ex.Fresh = sv.historyUnknown
	ex.NextChange = sv.nextDeadline()
	ex.Hosts = sv.settledCount
	for _, un := range sv.unsettled {
		if un.inverseWeight != 0 {
			ex.Hosts++
		}
	}
	ch := ta.Candidates(service, caller)
	for i, ca := range ch.candidates() {
		ex.Steps = append(ex.Steps, ta.step(roleAt(&ch, uint8(i)), ca))
	}
	return ex
}

// roleAt returns the role of the candidate at an index of a chain.
func roleAt(ch *Chain, i uint8) Role {
	switch {
	case i == 0:
		return RoleOwner
	case i < ch.HolderCount:
		return RoleHolder
	default:
		return RoleSecondChoice
	}
}

// step returns the step of a candidate with its record.
func (ta *Table) step(ro Role, ca Candidate) Step {
	ho, _ := ta.hosts.get(ca.Address)
	return Step{
		Role: ro, Address: ca.Address, Incarnation: ca.Incarnation,
		State: ho.State, Weight: ho.Weight, Domain: ho.Domain,
	}
}

// Trace is what an agent knows of a flow.
type Trace struct {
	// Known is Unknown, Held, Asked, Promised (delegated) or Offered.
	Known string
	// Peer is the host to which the flow's packets go. It is set for Asked,
	// Promised and Offered.
	Peer netip.AddrPort
	// Deadline is when the agent removes its entry of the flow if no packet
	// arrives before. It is zero for Unknown.
	Deadline time.Time
}

// Trace returns what the agent knows of a flow. It doesn't change the table.
func (fl *FlowTable) Trace(now time.Time, caller netip.AddrPort, id []byte) Trace {
	at, ok := fl.index[fl.key.flow(caller, id)]
	if !ok || fl.flows[at].deadline <= fl.sinceStart(now) {
		return Trace{Known: flowUnknown.String()}
	}
	fw := &fl.flows[at]
	tr := Trace{Known: fw.state.String(), Deadline: fl.start.Add(time.Duration(fw.deadline))}
	if fw.state != flowHeld {
		tr.Peer = fl.peers[fw.peer].Address
	}
	return tr
}

// String returns the state's name.
func (fs flowState) String() string {
	switch fs {
	case flowHeld:
		return "Held"
	case flowAsked:
		return "Asked"
	case flowDelegated:
		return "Promised"
	case flowOffered:
		return "Offered"
	default:
		return "Unknown"
	}
}
