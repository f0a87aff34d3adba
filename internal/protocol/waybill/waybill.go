// Package waybill encodes what balancers and agents say to each other about
// carried flows: one datagram a message, a kind byte first. The messages of the
// hot path have a fixed layout in network byte order; those about members and
// configurations are CBOR.
//
// # Usage
//
//	buffer = waybill.AppendCarry(buffer[:0], waybill.Carry{Urgency: ur, Version: 7}, datagram)
//	switch waybill.KindOf(datagram) {
//	case waybill.KindCarry:
//		ca, packet, err := waybill.DecodeCarry(datagram)
//	}
package waybill

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. They begin high, so that a stray packet of a flow is
// not taken for one.
const (
	// KindForward carries a caller's packet to an agent.
	KindForward Kind = iota + 0xC1
	// KindConfirm says that a host accepted a flow.
	KindConfirm
	// KindDecline hands a packet back to the balancer.
	KindDecline
	// KindFindHolder asks for the holder of a flow.
	KindFindHolder
	// KindHeld answers KindFind.
	KindHeld
	// KindPing asks for a report.
	KindPing
	// KindReport carries a report alone.
	KindReport
	// KindMember carries a members message in CBOR.
	KindMember
)

// ErrMalformed says that a message is too short or has an unknown value.
var ErrMalformed = errors.New("malformed message")

const (
	flowLength   = 2 * (16 + 2)
	reportLength = 1 + 2 + 2 + 2 + 8
	carryLength  = 1 + 1 + 4 + 8 + 2
)

// KindOf returns the kind of a message, zero if it is empty.
func KindOf(datagram []byte) Kind {
	if len(datagram) == 0 {
		return 0
	}
	return Kind(datagram[0])
}

// Forward is the head of a KindCarry message.
type Forward struct {
	Urgency carriage.Urgency
	// ServiceTag is the number of the service that an opening is for.
	ServiceTag uint32
	// Version is that of the balancer's routes.
	Version uint64
	// OpeningAge is how long ago the caller sent the first copy of an opening, in
	// whole milliseconds and at most MaxTold.
	OpeningAge time.Duration
}

// MaxDuration is the longest time that a message tells.
const MaxDuration = (1<<16 - 1) * time.Millisecond

func appendMilliseconds(buffer []byte, told time.Duration) []byte {
	told = max(min(told, MaxDuration), 0)
	return binary.BigEndian.AppendUint16(buffer, uint16(told.Milliseconds()))
}

func decodeMilliseconds(data []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(data)) * time.Millisecond
}

// AppendForward appends a KindCarry message.
func AppendForward(buffer []byte, ca Forward, packet []byte) []byte {
	buffer = append(buffer, byte(KindForward), byte(ca.Urgency))
	buffer = binary.BigEndian.AppendUint32(buffer, ca.ServiceTag)
	buffer = binary.BigEndian.AppendUint64(buffer, ca.Version)
	buffer = appendMilliseconds(buffer, ca.OpeningAge)
	return append(buffer, packet...)
}

// DecodeForward returns the head and the packet of a KindCarry message.
func DecodeForward(datagram []byte) (Forward, []byte, error) {
	if len(datagram) < carryLength || datagram[1] > byte(carriage.UrgencyTry) {
		return Forward{}, nil, ErrMalformed
	}
	return Forward{
		Urgency: carriage.Urgency(datagram[1]),
		ServiceTag:     binary.BigEndian.Uint32(datagram[2:]),
		Version: binary.BigEndian.Uint64(datagram[6:]),
		OpeningAge:  decodeMilliseconds(datagram[14:]),
	}, datagram[carryLength:], nil
}

func appendReport(buffer []byte, re carriage.Report) []byte {
	buffer = append(buffer, byte(re.State))
	buffer = binary.BigEndian.AppendUint16(buffer, re.InProgress)
	buffer = binary.BigEndian.AppendUint16(buffer, re.Slots)
	buffer = appendMilliseconds(buffer, re.ServiceTime)
	return binary.BigEndian.AppendUint64(buffer, re.Version)
}

func decodeReport(datagram []byte) (carriage.Report, error) {
	if len(datagram) < reportLength || register.State(datagram[0]) > register.StateGone {
		return carriage.Report{}, ErrMalformed
	}
	return carriage.Report{
		State:       register.State(datagram[0]),
		InProgress:  binary.BigEndian.Uint16(datagram[1:]),
		Slots:       binary.BigEndian.Uint16(datagram[3:]),
		ServiceTime: decodeMilliseconds(datagram[5:]),
		Version:     binary.BigEndian.Uint64(datagram[7:]),
	}, nil
}

func appendAddress(buffer []byte, address netip.AddrPort) []byte {
	ip := address.Addr().As16()
	buffer = append(buffer, ip[:]...)
	return binary.BigEndian.AppendUint16(buffer, address.Port())
}

func decodeAddress(data []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(data[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(data[16:]))
}

func appendFlow(buffer []byte, flow carriage.Flow) []byte {
	return appendAddress(appendAddress(buffer, flow.Caller), flow.Service)
}

func decodeFlow(data []byte) (carriage.Flow, error) {
	if len(data) < flowLength {
		return carriage.Flow{}, ErrMalformed
	}
	return carriage.Flow{Caller: decodeAddress(data), Service: decodeAddress(data[18:])}, nil
}

// AppendConfirm appends a KindConfirm message.
func AppendConfirm(buffer []byte, flow carriage.Flow, re carriage.Report) []byte {
	return appendFlow(appendReport(append(buffer, byte(KindConfirm)), re), flow)
}

// DecodeConfirm returns the flow and the report of a KindConfirm message.
func DecodeConfirm(datagram []byte) (carriage.Flow, carriage.Report, error) {
	re, err := decodeReport(datagram[1:])
	if err != nil {
		return carriage.Flow{}, re, err
	}
	flow, err := decodeFlow(datagram[1+reportLength:])
	return flow, re, err
}

// AppendDecline appends a KindDecline message.
func AppendDecline(buffer []byte, why carriage.Reason, re carriage.Report, packet []byte) []byte {
	buffer = appendReport(append(buffer, byte(KindDecline)), re)
	return append(append(buffer, byte(why)), packet...)
}

// DecodeDecline returns the reason, the report and the packet of a KindDecline
// message.
func DecodeDecline(datagram []byte) (carriage.Reason, carriage.Report, []byte, error) {
	re, err := decodeReport(datagram[1:])
	if err != nil || len(datagram) < 1+reportLength+1 {
		return 0, re, nil, ErrMalformed
	}
	return carriage.Reason(datagram[1+reportLength]), re, datagram[1+reportLength+1:], nil
}

// AppendFindHolder appends a KindFind message.
func AppendFindHolder(buffer []byte, flow carriage.Flow, acknowledged uint32) []byte {
	buffer = appendFlow(append(buffer, byte(KindFindHolder)), flow)
	return binary.BigEndian.AppendUint32(buffer, acknowledged)
}

// DecodeFindHolder returns the flow of a KindFind message and the number of the next
// byte that its caller waits for.
func DecodeFindHolder(datagram []byte) (carriage.Flow, uint32, error) {
	flow, err := decodeFlow(datagram[1:])
	if err != nil || len(datagram) < 1+flowLength+4 {
		return flow, 0, ErrMalformed
	}
	return flow, binary.BigEndian.Uint32(datagram[1+flowLength:]), nil
}

// AppendHeld appends a KindHeld message.
func AppendHeld(buffer []byte, flow carriage.Flow, sure bool) []byte {
	buffer = appendFlow(append(buffer, byte(KindHeld)), flow)
	if sure {
		return append(buffer, 1)
	}
	return append(buffer, 0)
}

// DecodeHeld returns the flow of a KindHeld message and whether the sender is
// sure to hold it.
func DecodeHeld(datagram []byte) (carriage.Flow, bool, error) {
	flow, err := decodeFlow(datagram[1:])
	if err != nil || len(datagram) < 1+flowLength+1 {
		return flow, false, ErrMalformed
	}
	return flow, datagram[1+flowLength] == 1, nil
}

// AppendPing appends a KindPing message.
func AppendPing(buffer []byte) []byte { return append(buffer, byte(KindPing)) }

// AppendReport appends a KindReport message.
func AppendReport(buffer []byte, re carriage.Report) []byte {
	return appendReport(append(buffer, byte(KindReport)), re)
}

// DecodeReport returns the report of a KindReport message.
func DecodeReport(datagram []byte) (carriage.Report, error) { return decodeReport(datagram[1:]) }
