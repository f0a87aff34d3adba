package carriage

import (
	"math"
	"time"
)

// maxStreamGap is the greatest number of bytes by which a packet may go beyond what
// was seen of a stream. It is several times what an end has in flight, and makes it
// unlikely that a late packet of an earlier flow between the same addresses counts.
const maxStreamGap = 1 << 17

// stream is the progress of the data that one end of a flow sends.
type stream struct {
	known bool
	// end is the sequence number after the last byte seen.
	end uint32
}

// near reports whether two sequence numbers of one end's data may belong to the same
// flow. Each flow between the same addresses begins at numbers of its own.
func near(a, b uint32) bool {
	return a-b <= maxStreamGap || b-a <= maxStreamGap
}

// advance notes a packet and reports whether it carries data beyond what was seen
// before; a retransmission doesn't.
func (st *stream) advance(pk Packet) bool {
	if pk.Length == 0 {
		return false
	}
	end := pk.Sequence + uint32(pk.Length)
	if ahead := end - st.end; st.known && (ahead == 0 || ahead > maxStreamGap) {
		return false
	}
	st.known, st.end = true, end
	return true
}

// start notes the sequence number with which the end opened the flow.
func (st *stream) start(number uint32) {
	st.known, st.end = true, number
}

// contains reports whether a number near the data seen may be one of the stream. This
// is so for any number while no data was seen.
func (st *stream) contains(number uint32) bool {
	return !st.known || near(number, st.end)
}

// acknowledgedBy reports whether the number acknowledges all data seen.
func (st *stream) acknowledgedBy(number uint32) bool {
	return !st.known || int32(st.end-number) <= 0
}

// exchange follows the requests and answers of one flow, as far as their packets
// show them. A caller keeps a flow open for many requests or opens one for each,
// and sends the next request only after the whole answer to the last one. So new
// data of the caller begins or continues a request, and the host's first new data
// after it begins the answer. The end of an answer doesn't show; it is taken to
// have ended when the caller has acknowledged all data, or sends a new request.
type exchange struct {
	caller, host stream
	// requested is when the first data of the request was delivered to the host,
	// zero while no request is in progress.
	requested time.Time
	// answers counts the answers that the host has begun.
	answers int
}

// loadWindow is the time over which a loadAverage averages.
const loadWindow = 2 * time.Second

// loadAverage is an exponentially weighted moving average of the number of requests
// in progress. The zero value is an average of zero.
type loadAverage struct {
	value float64
	last  time.Time
}

// add adds a request that took the given time.
func (la *loadAverage) add(now time.Time, took time.Duration) {
	la.value = la.at(now) + float64(took)/float64(loadWindow)
	la.last = now
}

// at returns the average at the time.
func (la *loadAverage) at(now time.Time) float64 {
	return la.value * math.Exp(-float64(now.Sub(la.last))/float64(loadWindow))
}
