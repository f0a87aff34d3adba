package transfer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
)

// How long a joiner waits for donors.
const (
	// DonorTimeout is the time without an answer after which the joiner asks the
	// next donor.
	DonorTimeout = 500 * time.Millisecond
	// DonorRounds is how often all donors are asked without receiving a chunk
	// before the joiner finishes without a donor, as the first balancer of its
	// fleet.
	DonorRounds = 3
)

// Joiner takes the view of the fleet from a donor, another balancer.
type Joiner struct {
	rng    *rand.Rand
	donors []netip.AddrPort
	// attempts counts the donors that were given up. Modulo the number of donors
	// it is the index of the current one. A chunk resets the completed rounds.
	attempts int
	// joiningInRow counts the last donors in a row that answered that they have no
	// view yet.
	joiningInRow int
	// waiting is set while the joiner waits for DonorTimeout, after the last donor
	// of a round refused although it has a view.
	waiting bool
	// donor is the current donor and donorView the ID of its view in its first
	// chunk, if donorViewKnown is set.
	donor          netip.AddrPort
	donorView      ViewID
	donorViewKnown bool
	nextRange      uint16
	deadline       time.Time
	done           bool
}

// NewJoiner returns a joiner, which Start starts.
func NewJoiner(rng *rand.Rand) *Joiner {
	return &Joiner{rng: rng}
}

// Done reports whether the view is complete.
func (jo *Joiner) Done() bool {
	return jo.done
}

// Start puts the donors into random order and asks the first. Without donors the
// joiner finishes at once, as the first balancer of its fleet.
func (jo *Joiner) Start(donors []netip.AddrPort, now time.Time) []Action {
	jo.donors = append([]netip.AddrPort(nil), donors...)
	jo.rng.Shuffle(len(jo.donors), func(ii, kk int) {
		jo.donors[ii], jo.donors[kk] = jo.donors[kk], jo.donors[ii]
	})
	return jo.askDonor(now)
}

// Receive handles an answer of the current donor. Answers of other nodes, or for
// another range, are ignored.
func (jo *Joiner) Receive(from netip.AddrPort, msg Message, now time.Time) []Action {
	if jo.done || from != jo.donor {
		return nil
	}
	switch {
	case msg.Refusal != nil && msg.Refusal.First == jo.nextRange:
		return jo.receiveRefusal(*msg.Refusal, now)
	case msg.Chunk != nil && msg.Chunk.First == jo.nextRange:
		return jo.receiveChunk(*msg.Chunk, now)
	}
	return nil
}

// receiveRefusal asks the next donor; if the refusing one has a view and is the last
// of the round, only after DonorTimeout. If all donors in a row are joining
// themselves, there is no view to take and the joiner finishes without a donor.
func (jo *Joiner) receiveRefusal(re Refusal, now time.Time) []Action {
	if jo.waiting {
		return nil
	}
	if re.Joined {
		jo.joiningInRow = 0
		jo.waiting = (jo.attempts+1)%len(jo.donors) == 0
		jo.deadline = now.Add(DonorTimeout)
	} else {
		jo.joiningInRow++
	}
	if jo.joiningInRow >= len(jo.donors) {
		return jo.finishWithoutDonor()
	}
	if jo.waiting {
		return nil
	}
	return jo.tryNextDonor(now)
}

// receiveChunk loads the items and asks for the next range, or finishes after the
// last. A donor that sends a malformed chunk is given up.
func (jo *Joiner) receiveChunk(ch Chunk, now time.Time) []Action {
	if ch.Next <= ch.First || ch.Next > delivery.LeafCount {
		return jo.tryNextDonor(now)
	}
	if !jo.donorViewKnown {
		jo.donorView = ch.View
		jo.donorViewKnown = true
	}
	jo.nextRange = ch.Next
	jo.attempts = jo.attempts % len(jo.donors)
	acts := []Action{Load{Items: ch.Items}}
	if jo.nextRange < delivery.LeafCount {
		return append(acts, jo.request(now))
	}
	jo.done = true
	return append(acts, Done{Donor: jo.donor, View: jo.donorView})
}

// Tick asks the next donor if the current one did not answer within DonorTimeout or
// the wait after a refusal is over.
func (jo *Joiner) Tick(now time.Time) []Action {
	if jo.done || now.Before(jo.deadline) {
		return nil
	}
	if !jo.waiting {
		jo.joiningInRow = 0
	}
	return jo.tryNextDonor(now)
}

// SendFailed asks the next donor at once if the peer that could not be reached is
// the current one. After the last donor of a round the joiner first waits until
// DonorTimeout after its request.
func (jo *Joiner) SendFailed(peer netip.AddrPort, now time.Time) []Action {
	if jo.done || jo.waiting || peer != jo.donor {
		return nil
	}
	jo.joiningInRow = 0
	if (jo.attempts+1)%len(jo.donors) == 0 {
		return nil
	}
	return jo.tryNextDonor(now)
}

// tryNextDonor gives up the current donor and asks the next one for the same range.
func (jo *Joiner) tryNextDonor(now time.Time) []Action {
	jo.attempts++
	return jo.askDonor(now)
}

// askDonor asks the current donor. It finishes without a donor if there is none, or
// after DonorRounds rounds without a chunk.
func (jo *Joiner) askDonor(now time.Time) []Action {
	if len(jo.donors) == 0 || jo.attempts >= DonorRounds*len(jo.donors) {
		return jo.finishWithoutDonor()
	}
	jo.waiting = false
	jo.donor = jo.donors[jo.attempts%len(jo.donors)]
	jo.donorViewKnown = false
	return []Action{jo.request(now)}
}

// finishWithoutDonor completes the view with the items known so far, under a new
// generation.
func (jo *Joiner) finishWithoutDonor() []Action {
	jo.done = true
	jo.donorView = ViewID{Generation: jo.rng.Uint64()}
	return []Action{Done{View: jo.donorView}}
}

// request asks the current donor for the next range.
func (jo *Joiner) request(now time.Time) Action {
	jo.deadline = now.Add(DonorTimeout)
	return Send{To: jo.donor, Message: Message{Request: &Request{First: jo.nextRange}}}
}
