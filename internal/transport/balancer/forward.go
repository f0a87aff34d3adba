package balancer

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/protocol/frame"
	"corneltiller.dev/corneltiller/internal/protocol/label"
	"corneltiller.dev/corneltiller/internal/transport/socket"
)

// fromFabric takes a caller's datagram in the fabric's frame.
func (ba *Balancer) fromFabric(wo *socket.Worker, _ netip.AddrPort, datagram []byte) {
	he, payload, err := frame.Decode(datagram)
	if err != nil {
		ba.counts.malformed.Inc(1)
		return
	}
	ba.forward(wo, he, payload)
}

// forward sends a caller's datagram to the host that its connection ID names,
// or to the first candidate of its bucket.
func (ba *Balancer) forward(wo *socket.Worker, he frame.Header, payload []byte) {
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
	en := envelope.Envelope{
		Kind:     envelope.KindToHost,
		Service:  place.service,
		Entry:    place.index,
		Version:  uint32(ad.version.Number),
		Caller:   he.Caller,
		Balancer: ba.answers,
	}
	if !ba.aim(&en, packet) {
		return
	}
	ba.send(wo, &en, payload)
}

// aim fills the chain. It returns false for a packet that must be dropped.
func (ba *Balancer) aim(en *envelope.Envelope, packet label.Packet) bool {
	if pl, ok := ba.labels.Decode(packet.Destination); ok {
		if pl.Service != en.Service {
			ba.counts.wrongService.Inc(1)
			return false
		}
		en.Chain[0] = envelope.Hop{Address: pl.Host, Incarnation: pl.Incarnation}
		en.Count = 1
		return true
	}
	if !packet.Long {
		ba.counts.malformed.Inc(1)
		return false
	}
	steer := ba.steer.Load()
	en.Count = (*steer)(en.Service, en.Caller, &en.Chain)
	if en.Count == 0 {
		ba.counts.noHost.Inc(1)
		return false
	}
	return true
}

func (ba *Balancer) send(wo *socket.Worker, en *envelope.Envelope, payload []byte) {
	datagram, err := ba.envelopes.Append(wo.Scratch[:0], en, payload)
	if err != nil {
		ba.counts.malformed.Inc(1)
		return
	}
	if err := wo.Send(datagram, en.Chain[0].Address); err != nil {
		ba.counts.sendFailed.Inc(1)
		return
	}
	ba.counts.forwarded.Inc(1)
}

// fromHost takes an agent's answer and sends it to the caller.
func (ba *Balancer) fromHost(wo *socket.Worker, _ netip.AddrPort, datagram []byte) {
	var en envelope.Envelope
	payload, err := ba.envelopes.Decode(datagram, &en)
	if err != nil || en.Kind != envelope.KindToCaller {
		ba.counts.malformed.Inc(1)
		return
	}
	address, ok := ba.addresses.Load().at(&en)
	if !ok {
		ba.counts.unknownService.Inc(1)
		return
	}
	he := frame.Header{Service: address, Caller: en.Caller}
	if err := wo.Send(frame.Append(wo.Scratch[:0], he, payload), ba.cfg.Fabric); err != nil {
		ba.counts.sendFailed.Inc(1)
		return
	}
	ba.counts.answered.Inc(1)
}
