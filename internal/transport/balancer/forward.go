package balancer

import (
	"net/netip"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/protocol/frame"
	"corneltiller.dev/corneltiller/internal/protocol/label"
	"corneltiller.dev/corneltiller/internal/transport/socket"
)

var errNoEntrance = errors.New("service address isn't open here")

// forwarder holds what one worker needs for the datagrams of callers.
type forwarder struct {
	balancer *Balancer
	decoder  *label.Decoder
	envelope envelope.Envelope
}

func (ba *Balancer) newForwarder() *forwarder {
	return &forwarder{balancer: ba, decoder: ba.labels.NewDecoder()}
}

// fromFabric takes a caller's datagram in the fabric's frame.
func (fo *forwarder) fromFabric(wo *socket.Worker, _ netip.AddrPort, datagram []byte) {
	he, payload, err := frame.Decode(datagram)
	if err != nil {
		fo.balancer.counts.malformed.Inc(1)
		return
	}
	fo.forward(wo, he, payload)
}

// forward sends a caller's datagram to the host that its connection ID names,
// or to the first candidate of its bucket.
func (fo *forwarder) forward(wo *socket.Worker, he frame.Header, payload []byte) {
	ba := fo.balancer
	ad := ba.addresses.Load()
	place, ok := ad.entries[he.Service]
	if !ok {
		ba.counts.unknownService.Inc(1)
		return
	}
	packet, ok := label.Parse(payload)
	if !ok {
		ba.counts.malformed.Inc(1)
		return
	}
	fo.envelope = envelope.Envelope{
		Kind:         envelope.KindToHost,
		AddressIndex: place.index,
		Version:      uint32(ad.version.Number),
		Balancer:     ba.answers,
		Header:       route.Header{Service: place.service, Caller: he.Caller},
	}
	if fo.aim(packet) {
		fo.send(wo, payload)
	}
}

// aim fills the chain. It returns false for a packet that must be dropped.
func (fo *forwarder) aim(packet label.Packet) bool {
	ba, en := fo.balancer, &fo.envelope
	ta := ba.table.Load()
	if pl, ok := fo.decoder.Decode(packet.DestinationID); ok {
		if pl.Service != en.Service {
			ba.counts.wrongService.Inc(1)
			return false
		}
		if !ta.IsGone(route.Target{Address: pl.Host, Incarnation: pl.Incarnation}) {
			en.Chain = route.Chain{Count: 1, HolderCount: 1}
			en.Chain.Hosts[0] = route.Candidate{Address: pl.Host, Incarnation: uint64(pl.Incarnation)}
			return true
		}
		ba.counts.hostLeft.Inc(1)
	} else if !packet.LongHeader {
		ba.counts.malformed.Inc(1)
		return false
	}
	en.Chain = ta.Candidates(en.Service, en.Caller)
	if en.Chain.Count == 0 {
		ba.counts.noHost.Inc(1)
		return false
	}
	return true
}

func (fo *forwarder) send(wo *socket.Worker, payload []byte) {
	ba, en := fo.balancer, &fo.envelope
	datagram, err := ba.envelopes.Append(wo.Scratch[:0], en, payload)
	if err != nil {
		ba.counts.malformed.Inc(1)
		return
	}
	if err := wo.Send(datagram, en.Chain.Hosts[0].Address); err != nil {
		ba.counts.sendFailed.Inc(1)
		return
	}
	ba.counts.forwarded.Inc(1)
}

// returner holds what one worker needs for the answers of agents.
type returner struct {
	balancer *Balancer
	envelope envelope.Envelope
}

// fromHost takes an agent's answer and sends it to the caller.
func (rt *returner) fromHost(wo *socket.Worker, _ netip.AddrPort, datagram []byte) {
	ba, en := rt.balancer, &rt.envelope
	payload, err := ba.envelopes.Decode(datagram, en)
	if err != nil || en.Kind != envelope.KindToCaller {
		ba.counts.malformed.Inc(1)
		return
	}
	address, ok := ba.addresses.Load().at(en)
	if !ok {
		ba.counts.unknownService.Inc(1)
		return
	}
	he := frame.Header{Service: address, Caller: en.Caller}
	if err := ba.answer(wo, he, payload); err != nil {
		ba.counts.sendFailed.Inc(1)
		return
	}
	ba.counts.answered.Inc(1)
}

// answer sends a datagram to a caller, in a frame if the fabric wants one.
func (ba *Balancer) answer(wo *socket.Worker, he frame.Header, payload []byte) error {
	if ba.framed() {
		return wo.Send(frame.Append(wo.Scratch[:0], he, payload), ba.cfg.Fabric)
	}
	return ba.entrances.send(he, payload)
}
