package carriage

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
)

// Kind is what an Action asks the caller of a Placer or Gate to do.
type Kind uint8

// The kinds of actions.
const (
	// KindForward sends the packet with its Mode to the agent To.
	KindForward Kind = iota + 1
	// KindReset sends a reset to the caller: its opening packet was refused, or the
	// host has lost its flow.
	KindReset
	// KindDrop only reports that the packet was dropped.
	KindDrop
	// KindPark only reports that the opening waits for a host to become available.
	KindPark
	// KindFind asks the agent To about the flows of Questions.
	KindFind
	// KindPing asks the agent To for a report.
	KindPing
	// KindPingBalancers asks the other balancers for an answer, to find out whether
	// this balancer is isolated.
	KindPingBalancers
	// KindSuspect only reports that the agent To did not confirm in time.
	KindSuspect
	// KindRecovered only reports that the suspected agent To has been heard.
	KindRecovered
	// KindDeliver sends the packet to the host.
	KindDeliver
	// KindReturn sends the packet to the caller.
	KindReturn
	// KindServed only reports a duration that began at Started. At an agent the
	// host has begun its answer to the request that was delivered then; at a
	// balancer the agent To has confirmed a flow whose opening arrived first then.
	KindServed
	// KindConfirm tells the balancer To that the host has accepted the flow or,
	// with ReasonBusy, that the opening waits in the agent's queue.
	KindConfirm
	// KindDecline sends the packet back to the balancer To.
	KindDecline
	// KindHeld tells the balancer To that the host holds the flow or, unless Sure,
	// that it possibly does.
	KindHeld
	// KindHolders sends the Answers to the Questions of the KindFind action with the
	// Number to the balancer To.
	KindHolders
	// KindAnnounce sends the agent's report to the balancers at once.
	KindAnnounce
	// KindRanking only reports that the hosts of Service are now ranked by remaining
	// work, if Sure, or by counts.
	KindRanking
)

// Action is one step that a Placer or Gate asks its caller to perform.
type Action struct {
	Kind Kind
	// To is the balancer or agent that the action concerns.
	To   netip.AddrPort
	Flow Flow
	// Data is the encoded packet; it is valid until the next call of the Placer or
	// Gate.
	Data []byte
	// Mode and ServiceHash are set for KindForward.
	Mode DeliveryMode
	// ServiceHash identifies the service that an opening is for. It is zero for
	// packets that open no flow.
	ServiceHash uint32
	// Acknowledged is the sequence number of the next byte that the caller waits
	// for. It is set for KindHeld and KindDecline, and for KindReset after
	// ReasonHostLost and ReasonNotHeld.
	Acknowledged uint32
	// Number identifies the questions of a KindFind action at the agent To; the answers
	// have it too. Questions are these, and Answers those of KindHolders, one for each.
	Number    uint32
	Questions []Question
	Answers   []absence.Answer
	// Batch is set for KindFind if the agent is known to answer batches of questions.
	// Without it there is one question.
	Batch bool
	// Found is set for KindForward if the packet ends a search: the agent has answered
	// that its host holds the flow.
	Found bool
	// Agents is, for a KindReset after ReasonNotHeld, the number of agents that have
	// proved the flow's absence.
	Agents int
	// Sure is set for KindHeld if the host is known to hold the flow.
	Sure   bool
	Reason Reason
	// Opening says that the packet opens the flow.
	Opening bool
	// Started is, for KindForward, when the caller sent the first copy of an opening
	// packet. See KindServed for its other use.
	Started time.Time
	// Attempt is the number of times that an opening was sent to an agent, this
	// one included. For KindRecovered it is the number of pings sent.
	Attempt int
	// InProgress is the number of requests in progress at the host: the balancer's
	// estimate for KindForward, the agent's count for other kinds.
	InProgress float64
	// ServiceTime is how long the chosen host takes for a request on average, zero
	// if unknown.
	ServiceTime time.Duration
	// Reported is when the agent's last report was received, zero if there was none.
	Reported time.Time
	// ByWork says that an opening's host was chosen by remaining work; Load is then its
	// estimated load without the opening, in requests of the mean cost.
	ByWork bool
	Load   float64
	// Service and Advantage are set for KindRanking: the service, and the mean of
	// workload.Figures.Advantage of its hosts that report it, whose number is Attempt.
	Service   string
	Advantage float64
}
