package absence

import "math/bits"

// Proof is the set of agents that have answered Absent for one flow, by their numbers. A
// flow is opened once, so an answer stays true. The zero value is empty. A Proof takes
// one bit an agent.
type Proof struct {
	words []uint64
}

const wordBits = 64

// Add notes the answer of an agent.
func (pr *Proof) Add(agent uint32) {
	word := int(agent / wordBits)
	for len(pr.words) <= word {
		pr.words = append(pr.words, 0)
	}
	pr.words[word] |= 1 << (agent % wordBits)
}

// Remove removes the agent, if it is in the set.
func (pr *Proof) Remove(agent uint32) {
	if word := int(agent / wordBits); word < len(pr.words) {
		pr.words[word] &^= 1 << (agent % wordBits)
	}
}

// Has reports whether the agent is in the set.
func (pr *Proof) Has(agent uint32) bool {
	word := int(agent / wordBits)
	return word < len(pr.words) && pr.words[word]&(1<<(agent%wordBits)) != 0
}

// Len returns the number of agents in the set.
func (pr *Proof) Len() int {
	count := 0
	for _, word := range pr.words {
		count += bits.OnesCount64(word)
	}
	return count
}

// Clear removes all agents.
func (pr *Proof) Clear() { clear(pr.words) }
