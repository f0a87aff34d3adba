package agent

import (
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/protocol/label"
	"corneltiller.dev/corneltiller/internal/transport/socket"
)

// receiver holds what one worker needs for the datagrams of balancers and
// agents.
type receiver struct {
	agent    *Agent
	decoder  *label.Decoder
	envelope envelope.Envelope
}

func (ag *Agent) newReceiver() *receiver {
	return &receiver{agent: ag, decoder: ag.labels.NewDecoder()}
}

// fromNetwork takes an enveloped datagram from a balancer or another agent.
func (rc *receiver) fromNetwork(wo *socket.Worker, from netip.AddrPort, datagram []byte) {
	ag, en := rc.agent, &rc.envelope
	payload, err := ag.envelopes.Decode(datagram, en)
	if err != nil || en.Kind != envelope.KindToHost {
		ag.counts.malformed.Inc(1)
		return
	}
	packet, ok := label.Parse(payload)
	if !ok {
		ag.counts.malformed.Inc(1)
		return
	}
	pk := route.Packet{Header: en.Header, Sender: from, ID: packet.DestinationID}
	if pl, ok := rc.decoder.Decode(packet.DestinationID); ok {
		pk.Routable = true
		pk.Target = route.Target{Address: pl.Host, Incarnation: pl.Incarnation}
		if pl.Service != ag.service {
			ag.counts.dropped[route.ReasonWrongService].Inc(1)
			return
		}
	} else if !packet.LongHeader {
		ag.counts.malformed.Inc(1)
		return
	}
	rc.follow(wo, ag.decide(pk), payload)
}

// decide asks the flow table about a packet. A packet to a host that has left
// or to a former incarnation of this one is accepted: the QUIC server answers
// it with a stateless reset, which ends the flow.
func (ag *Agent) decide(pk route.Packet) route.Decision {
	if pk.Routable && pk.Service == ag.service {
		if pk.Target.Address == ag.Datagrams() {
			return route.Decision{Action: route.ActionAccept}
		}
		if ag.table.Load().IsGone(pk.Target) {
			ag.counts.reset.Inc(1)
			return route.Decision{Action: route.ActionAccept}
		}
	}
	ag.flowsMu.Lock()
	defer ag.flowsMu.Unlock()
	return ag.flows.Decide(time.Now(), pk)
}

// changed brings the hosts that changed into the table and the flow table.
func (ag *Agent) changed() {
	ag.viewMu.Lock()
	defer ag.viewMu.Unlock()
	ag.follower.SetMembers(ag.members())
	hosts := ag.fleet.TakeChangedHosts()
	ag.table.Store(ag.table.Load().Advance(time.Now(), hosts))
	record := ag.fleet.Record()
	if record.Incarnation != ag.incarnation {
		ag.adopt(record)
	}
	ag.desk.SetHosts(ag.fleet.Hosts())
	ag.flowsMu.Lock()
	defer ag.flowsMu.Unlock()
	ag.flows.UpdateSelf(record)
	for _, ho := range hosts {
		ag.flows.UpdatePeer(ho)
	}
}

// follow does what was decided.
func (rc *receiver) follow(wo *socket.Worker, de route.Decision, payload []byte) {
	ag, en := rc.agent, &rc.envelope
	switch de.Action {
	case route.ActionAccept, route.ActionOpen:
		if !ag.relay.push(en.Caller, wayBack{balancer: en.Balancer, entry: en.AddressIndex}, payload) {
			ag.counts.queueFull.Inc(1)
			return
		}
		ag.counts.accepted.Inc(1)
	case route.ActionForward:
		en.Header = de.Header
		datagram, err := ag.envelopes.Append(wo.Scratch[:0], en, payload)
		if err != nil || wo.Send(datagram, de.To) != nil {
			ag.counts.sendFailed.Inc(1)
			return
		}
		ag.counts.passed.Inc(1)
	default:
		ag.counts.dropped[de.Reason].Inc(1)
	}
}

// sendToCaller sends an answer by way of a balancer.
func (ag *Agent) sendToCaller(payload []byte, caller netip.AddrPort, way wayBack) error {
	en := envelope.Envelope{
		Kind:         envelope.KindToCaller,
		AddressIndex: way.entry,
		Balancer:     way.balancer,
		Header:       route.Header{Service: ag.service, Caller: caller},
	}
	buffer := make([]byte, 0, envelope.MaxLength+len(payload))
	datagram, err := ag.envelopes.Append(buffer, &en, payload)
	if err != nil {
		return err
	}
	return ag.socket.Send(datagram, way.balancer)
}

// labeler makes the connection IDs of the QUIC server.
type labeler struct {
	codec *label.Codec
	place atomic.Pointer[label.Target]
	last  atomic.Uint32
}

// GenerateConnectionID returns a connection ID that leads to this agent.
func (la *labeler) GenerateConnectionID() (quic.ConnectionID, error) {
	ra := label.Random{Nonce: uint16(la.last.Add(1))}
	if _, err := rand.Read(ra.Salt[:]); err != nil {
		return quic.ConnectionID{}, err
	}
	id := la.codec.Encode(*la.place.Load(), ra)
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of all connection IDs.
func (la *labeler) ConnectionIDLen() int {
	return label.Length
}

// startNonce returns an unpredictable first nonce.
func startNonce() uint32 {
	var buffer [4]byte
	rand.Read(buffer[:])
	return binary.BigEndian.Uint32(buffer[:])
}
