package transfer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
)

// The patience of a joiner.
const (
	// DonorTimeout is the silence after which a donor is given up.
	DonorTimeout = 500 * time.Millisecond
	// DonorRounds is how often all donors are tried before a node that heard
	// of none takes itself for the first.
	DonorRounds = 3
)

// Joiner is the core of a node that takes the view from a donor.
type Joiner struct {
	rng    *rand.Rand
	donors []netip.AddrPort
	// tried counts the donors that were given up, joining those of the last
	// ones in a row that answered that they have no view either.
	tried   int
	joining int
	// refused is set while the joiner waits before it asks again.
	refused  bool
	donor    netip.AddrPort
	marker   ViewID
	marked   bool
	next     uint16
	deadline time.Time
	done     bool
}

// NewJoiner returns a joiner that has not started.
func NewJoiner(rng *rand.Rand) *Joiner {
	return &Joiner{rng: rng}
}

// Done reports whether the view is complete.
func (jo *Joiner) Done() bool {
	return jo.done
}

// Start asks the first of the donors, in random order. Without donors the node
// is the first of its fleet.
func (jo *Joiner) Start(donors []netip.AddrPort, now time.Time) []Action {
	jo.donors = append([]netip.AddrPort(nil), donors...)
	jo.rng.Shuffle(len(jo.donors), func(ii, kk int) {
		jo.donors[ii], jo.donors[kk] = jo.donors[kk], jo.donors[ii]
	})
	return jo.ask(now)
}

// Receive handles an answer of the donor; those of other nodes are ignored.
func (jo *Joiner) Receive(from netip.AddrPort, msg Message, now time.Time) []Action {
	if jo.done || from != jo.donor {
		return nil
	}
	switch {
	case msg.Refusal != nil && msg.Refusal.First == jo.next:
		return jo.receiveRefusal(*msg.Refusal, now)
	case msg.Chunk != nil && msg.Chunk.First == jo.next:
		return jo.receiveChunk(*msg.Chunk, now)
	}
	return nil
}

// receiveRefusal goes to the next donor, at once or after all were asked. If
// all donors are joining themselves, there is no view to take.
func (jo *Joiner) receiveRefusal(re Refusal, now time.Time) []Action {
	if jo.refused {
		return nil
	}
	if re.Joined {
		jo.joining = 0
		jo.refused = (jo.tried+1)%len(jo.donors) == 0
		jo.deadline = now.Add(DonorTimeout)
	} else {
		jo.joining++
	}
	if jo.joining >= len(jo.donors) {
		return jo.finishAlone()
	}
	if jo.refused {
		return nil
	}
	return jo.giveUp(now)
}

// receiveChunk joins the items and asks for the next range.
func (jo *Joiner) receiveChunk(ch Chunk, now time.Time) []Action {
	if ch.Next <= ch.First || ch.Next > delivery.LeafCount {
		return jo.giveUp(now)
	}
	if !jo.marked {
		jo.marker = ch.View
		jo.marked = true
	}
	jo.next = ch.Next
	jo.tried = jo.tried % len(jo.donors)
	acts := []Action{Load{Items: ch.Items}}
	if jo.next < delivery.LeafCount {
		return append(acts, jo.request(now))
	}
	jo.done = true
	return append(acts, Done{Donor: jo.donor, View: jo.marker})
}

// Tick gives up a donor that has fallen silent.
func (jo *Joiner) Tick(now time.Time) []Action {
	if jo.done || now.Before(jo.deadline) {
		return nil
	}
	if !jo.refused {
		jo.joining = 0
	}
	return jo.giveUp(now)
}

// SendFailed gives up the donor at once if it is the one that could not be reached;
// after the last of a round it waits for the next tick that is due.
func (jo *Joiner) SendFailed(peer netip.AddrPort, now time.Time) []Action {
	if jo.done || jo.refused || peer != jo.donor {
		return nil
	}
	jo.joining = 0
	if (jo.tried+1)%len(jo.donors) == 0 {
		return nil
	}
	return jo.giveUp(now)
}

// giveUp goes to the next donor, which continues from the same range.
func (jo *Joiner) giveUp(now time.Time) []Action {
	jo.tried++
	return jo.ask(now)
}

// ask turns to the donor whose turn it is. After some rounds without any
// answer the node takes itself for the first of its fleet.
func (jo *Joiner) ask(now time.Time) []Action {
	if len(jo.donors) == 0 || jo.tried >= DonorRounds*len(jo.donors) {
		return jo.finishAlone()
	}
	jo.refused = false
	jo.donor = jo.donors[jo.tried%len(jo.donors)]
	jo.marked = false
	return []Action{jo.request(now)}
}

// finishAlone ends the search with a view of a new generation.
func (jo *Joiner) finishAlone() []Action {
	jo.done = true
	jo.marker = ViewID{Generation: jo.rng.Uint64()}
	return []Action{Done{View: jo.marker}}
}

// request asks the donor for the next range.
func (jo *Joiner) request(now time.Time) Action {
	jo.deadline = now.Add(DonorTimeout)
	return Send{To: jo.donor, Message: Message{Request: &Request{First: jo.next}}}
}
