package main

import "time"

const (
	// window is the number of packets that an end has in flight at most.
	window          = 16
	firstRetransmit = 200 * time.Millisecond
	longestInterval = 1600 * time.Millisecond
	// delayedAck is the time after which a packet without a second one is acknowledged.
	delayedAck = 40 * time.Millisecond
)

// stream is the sending and receiving side of one end of an open flow.
type stream struct {
	transmit func(flags byte, seq, ack uint32, data []byte)

	// pending holds the bytes from sendBase on that the peer hasn't acknowledged.
	pending  []byte
	sendBase uint32
	sent     int
	resendAt time.Time
	interval time.Duration
	resends  int

	received uint32
	early    map[uint32][]byte
	unacked  int
	ackAt    time.Time
}

func newStream(sendBase, received uint32, transmit func(byte, uint32, uint32, []byte)) *stream {
	return &stream{transmit: transmit, sendBase: sendBase, received: received, early: make(map[uint32][]byte)}
}

// write queues data and sends what the window allows.
func (s *stream) write(now time.Time, data []byte) {
	s.pending = append(s.pending, data...)
	s.fill(now)
}

func (s *stream) fill(now time.Time) {
	for s.sent < len(s.pending) && s.sent < window*maxData {
		n := min(maxData, len(s.pending)-s.sent, window*maxData-s.sent)
		s.transmit(flagAck, s.sendBase+uint32(s.sent), s.received, s.pending[s.sent:s.sent+n])
		s.sent += n
		s.unacked = 0
		if s.resendAt.IsZero() {
			s.interval, s.resends = firstRetransmit, 0
			s.resendAt = now.Add(s.interval)
		}
	}
}

// handle takes a packet of the peer and returns the new data in order.
func (s *stream) handle(now time.Time, p packet) []byte {
	if n := int(int32(p.ack - s.sendBase)); n > 0 && n <= len(s.pending) {
		s.pending = s.pending[n:]
		s.sendBase += uint32(n)
		s.sent -= n
		s.resendAt = time.Time{}
		if s.sent > 0 {
			s.interval, s.resends = firstRetransmit, 0
			s.resendAt = now.Add(s.interval)
		}
		s.fill(now)
	}
	if len(p.data) == 0 {
		return nil
	}
	if p.seq != s.received {
		if int32(p.seq-s.received) > 0 {
			s.early[p.seq] = p.data
		}
		s.acknowledge()
		return nil
	}
	var data []byte
	for next := p.data; next != nil; next = s.early[s.received] {
		delete(s.early, s.received)
		data = append(data, next...)
		s.received += uint32(len(next))
		s.unacked++
	}
	if s.unacked >= 2 {
		s.acknowledge()
	} else {
		s.ackAt = now.Add(delayedAck)
	}
	return data
}

func (s *stream) acknowledge() {
	s.unacked = 0
	s.transmit(flagAck, s.sendBase+uint32(s.sent), s.received, nil)
}

// tick acknowledges a single packet and sends the missing packets again when their
// time has come.
func (s *stream) tick(now time.Time) {
	if s.unacked > 0 && !now.Before(s.ackAt) {
		s.acknowledge()
	}
	if s.resendAt.IsZero() || now.Before(s.resendAt) || s.sent == 0 {
		return
	}
	for at := 0; at < s.sent; at += maxData {
		s.transmit(flagAck, s.sendBase+uint32(at), s.received, s.pending[at:min(at+maxData, s.sent)])
	}
	s.resends++
	s.interval = min(2*s.interval, longestInterval)
	s.resendAt = now.Add(s.interval)
}
