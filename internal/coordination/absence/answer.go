package absence

// Answer is an agent's answer to the question whether its host holds a flow.
type Answer uint8

const (
	// Unknown says that the agent can't tell, and that its host must not be sent a packet
	// of the flow to find out: the flow's address belongs to other services. There is no
	// reset then. It also stands for an answer of a later build.
	Unknown Answer = iota
	// Held says that the host is known to hold the flow, to have accepted it, or to have
	// lost it.
	Held
	// Possible says that the host may hold the flow without the agent's knowledge. A
	// packet of the flow shows it: the host returns what it doesn't hold.
	Possible
	// Absent says that the host doesn't hold the flow and never will.
	Absent
	// Unlikely is Possible of an agent whose host seems to have started with it, as far as
	// start times tell. That is no proof, but such hosts are sent the packet last.
	Unlikely
	// Reused is Absent of an agent whose host holds another flow between the same
	// addresses.
	Reused
	// Provisional is Absent of an agent that relies on one message of its host, which may
	// have been another writer's: a first check-in or a check-out. It proves the absence of
	// a flow whose packet has arrived, but isn't enough to reset all remembered flows.
	Provisional

	// answerCount is the number of answers.
	answerCount
)

var answerNames = [answerCount]string{"Unknown", "Held", "Possible", "Absent", "Unlikely", "Reused", "Provisional"}

// String returns the answer's name.
func (an Answer) String() string {
	if an >= answerCount {
		return answerNames[Unknown]
	}
	return answerNames[an]
}

// IsAbsent reports whether the answer says, with or without a reservation, that the host
// doesn't hold the flow.
func (an Answer) IsAbsent() bool { return an == Absent || an == Reused || an == Provisional }

// ParseAnswer returns the answer of a code in a message; an undefined code is Unknown.
func ParseAnswer(code byte) Answer {
	if code >= byte(answerCount) {
		return Unknown
	}
	return Answer(code)
}
