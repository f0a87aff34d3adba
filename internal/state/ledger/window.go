package ledger

// wordBits is the number of bits, one for each sequence, in a word of a window.
const wordBits = 64

// window is a set of sequences, of which it covers the latest only. It is stored
// in a ring of words with one bit for each sequence.
type window struct {
	words []uint64
	// last is the highest sequence that the window covers.
	last uint64
}

// newWindow returns an empty window that covers at least size sequences.
func newWindow(size uint64) window {
	return window{words: make([]uint64, size/wordBits+2)}
}

// slide moves the window forward so that last is the highest sequence it covers.
// It never moves backward.
func (wi *window) slide(last uint64) {
	for wo := wi.last/wordBits + 1; wo <= last/wordBits; wo++ {
		wi.words[wo%uint64(len(wi.words))] = 0
	}
	wi.last = max(wi.last, last)
}

// covers reports whether the window is still able to hold the sequence.
func (wi *window) covers(sequence uint64) bool {
	if sequence == 0 || sequence > wi.last {
		return false
	}
	return wi.last/wordBits-sequence/wordBits < uint64(len(wi.words))
}

// has reports whether a covered sequence is in the set.
func (wi *window) has(sequence uint64) bool {
	return wi.words[wi.index(sequence)]&wi.bit(sequence) != 0
}

// add puts a sequence into the set if the window covers it.
func (wi *window) add(sequence uint64) {
	if wi.covers(sequence) {
		wi.words[wi.index(sequence)] |= wi.bit(sequence)
	}
}

// remove takes a sequence out of the set if the window covers it.
func (wi *window) remove(sequence uint64) {
	if wi.covers(sequence) {
		wi.words[wi.index(sequence)] &^= wi.bit(sequence)
	}
}

// index returns the index of the word that holds the sequence.
func (wi *window) index(sequence uint64) uint64 {
	return sequence / wordBits % uint64(len(wi.words))
}

// bit returns the mask of the sequence within its word.
func (wi *window) bit(sequence uint64) uint64 {
	return 1 << (sequence % wordBits)
}
