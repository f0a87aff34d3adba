package workload

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/cost"
)

// handshakeLead is the time from an opening to the request of its flow. What open flows
// bring within it goes before that request.
const handshakeLead = 12 * time.Millisecond

// Request is a request that a host has in progress.
type Request struct {
	key cost.Key
	// arrived is when the request's data was handed to the host, zero while only the
	// opening was. started is when a slot took it, zero while it waits for one.
	arrived, started time.Time
	predictions
}

// Host is the work of one host. The host is taken to work on as many requests at once
// as it has slots, in the order of their arrival.
type Host struct {
	model *cost.Model
	slots int
	// inProgress holds the requests in the order of their arrival, with those whose data
	// has not arrived in the order of their openings.
	inProgress []*Request
	working    int
	check
}

// NewHost returns a host of one slot without work, of which nothing is known.
func NewHost() *Host { return &Host{model: cost.NewModel(), slots: 1} }

// SetSlots sets the number of requests that the host works on at once.
func (ho *Host) SetSlots(slots int) { ho.slots = max(slots, 1) }

// Expect adds a request whose flow is being opened.
func (ho *Host) Expect(key cost.Key) *Request {
	rq := &Request{key: key}
	ho.inProgress = append(ho.inProgress, rq)
	return rq
}

// Begin notes that the request's data was handed to the host. It returns the request,
// which is a new one if the given one is nil.
func (ho *Host) Begin(now time.Time, rq *Request, key cost.Key) *Request {
	for _, other := range ho.inProgress {
		ho.observe(now, other)
	}
	if rq == nil {
		rq = &Request{}
	} else {
		ho.remove(rq)
	}
	rq.key, rq.arrived = key, now
	ho.inProgress = append(ho.inProgress, rq)
	ho.start(now)
	return rq
}

// Answered notes that the host has begun the answer to the request, and learns from it.
// The slot is taken to be free again.
func (ho *Host) Answered(now time.Time, rq *Request) {
	started := rq.started
	if started.IsZero() {
		started = rq.arrived
	}
	if !started.IsZero() {
		took := now.Sub(started)
		ho.judge(now, &rq.predictions, milliseconds(took), milliseconds(ho.model.ServiceMean(now)))
		ho.model.Add(now, rq.key, took)
	}
	ho.Remove(now, rq)
}

// Remove removes a request that was answered or that its caller has given up.
func (ho *Host) Remove(now time.Time, rq *Request) {
	ho.remove(rq)
	ho.start(now)
}

func (ho *Host) remove(rq *Request) {
	at := slices.Index(ho.inProgress, rq)
	if at < 0 {
		return
	}
	ho.inProgress = slices.Delete(ho.inProgress, at, at+1)
	if !rq.started.IsZero() {
		ho.working--
	}
}

// start lets free slots take the requests that wait.
func (ho *Host) start(now time.Time) {
	for _, rq := range ho.inProgress {
		if ho.working >= ho.slots {
			return
		}
		if rq.started.IsZero() && !rq.arrived.IsZero() {
			rq.started = now
			ho.working++
		}
	}
}

// rest returns the expected rest of a request.
func (ho *Host) rest(now time.Time, rq *Request) time.Duration {
	if rq.started.IsZero() {
		return ho.model.Mean(now, rq.key)
	}
	return ho.model.Rest(now, rq.key, now.Sub(rq.started))
}

// InProgress returns the number of requests in progress, with those that are expected.
func (ho *Host) InProgress() int { return len(ho.inProgress) }

// Cost returns the expected cost of a request, zero while nothing is known.
func (ho *Host) Cost(now time.Time, key cost.Key) time.Duration { return ho.model.Mean(now, key) }

// Figures returns the figures of the host, all zero while nothing is known of it. Given
// are the number of openings that are queued and the number of requests in progress
// that open flows bring on average. The queued ones count with the mean cost, not with
// that of their routes: the newest is served first, so a long queue says that the host
// is overloaded, but not for how long a further opening waits.
func (ho *Host) Figures(now time.Time, queued int, openFlows float64) Figures {
	if !ho.model.Known() {
		return Figures{}
	}
	mean := max(ho.model.ServiceMean(now), 1)
	remaining := ho.Wait(now)*time.Duration(ho.slots) + time.Duration(queued)*mean + time.Duration(openFlows*float64(handshakeLead))
	return Figures{Remaining: min(remaining, maxDuration), MeanCost: min(mean, maxDuration), Advantage: ho.advantage(now)}
}

// Wait returns the expected time until a slot is free for a further request. The sum of
// the rests would not tell it: a long request leaves the other slots free.
func (ho *Host) Wait(now time.Time) time.Duration {
	if len(ho.inProgress) < ho.slots {
		return 0
	}
	ends := make([]time.Duration, ho.slots)
	for _, rq := range ho.inProgress {
		first := 0
		for i, end := range ends {
			if end < ends[first] {
				first = i
			}
		}
		ends[first] += ho.rest(now, rq)
	}
	return slices.Min(ends)
}
