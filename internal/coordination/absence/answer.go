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

	// answerCount is the number of answers.
	answerCount
)

var answerNames = [answerCount]string{"Unknown", "Held", "Possible", "Absent", "Unlikely"}

// String returns the answer's name.
func (an Answer) String() string {
	if an >= answerCount {
		return answerNames[Unknown]
	}
	return answerNames[an]
}

// ParseAnswer returns the answer of a code in a message; an undefined code is Unknown.
func ParseAnswer(code byte) Answer {
	if code >= byte(answerCount) {
		return Unknown
	}
	return Answer(code)
}
