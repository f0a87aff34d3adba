// Package waybill encodes the messages that balancers and agents exchange about
// forwarded flows. Each message is one datagram whose first byte is its kind. The
// messages sent per packet or flow, the pings and the reports have a fixed layout
// in network byte order; messages about members and the encoded routes are CBOR.
//
// The decoders don't check the kind, so callers read it first, with KindOf. All but
// DecodeForward and DecodeRoutes panic for an empty datagram.
//
// # Usage
//
//	buffer = waybill.AppendForward(buffer[:0], waybill.Forward{Mode: mode, Version: 7}, datagram)
//	switch waybill.KindOf(datagram) {
//	case waybill.KindForward:
//		fo, packet, err := waybill.DecodeForward(datagram)
//	}
package waybill

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Kind is the type of a message, its first byte.
type Kind uint8

// The kinds of messages. The values start at 0xC1, above any value of the flags in
// the first byte of a flow's packet, so that a misdirected packet is not taken for a
// message.
const (
	// KindForward forwards a caller's packet to an agent.
	KindForward Kind = iota + 0xC1
	// KindConfirm tells the balancer that a host accepted a flow.
	KindConfirm
	// KindDecline returns a packet to the balancer with the reason.
	KindDecline
	// KindFindHolder asks an agent whether its host holds a flow.
	KindFindHolder
	// KindHeld answers KindFindHolder: the host holds the flow, or may hold it.
	KindHeld
	// KindPing asks an agent for a KindReport message.
	KindPing
	// KindReport carries an agent's report on its host and nothing else.
	KindReport
	// KindMember carries a message of package members in CBOR.
	KindMember
	// KindAskConfirmation asks a balancer when the store last had no newer
	// configuration.
	KindAskConfirmation
	// KindConfirmation answers KindAskConfirmation.
	KindConfirmation
	// KindEvacuations carries a page of the evacuated failure domains.
	KindEvacuations
	// KindFindHolders asks an agent about several flows.
	KindFindHolders
	// KindHolders answers KindFindHolders, and a KindFindHolder with a number.
	KindHolders
	// KindEntriesReviewed tells other balancers that the sender has completed a review
	// of the members' entries in the store.
	KindEntriesReviewed
)

// ErrMalformed means that a message is too short or has an unknown value.
var ErrMalformed = errors.New("malformed message between balancer and agent")

// The lengths of the encoded parts in bytes. forwardLength is the length of a
// KindForward message without its packet.
const (
	flowLength    = 2 * (16 + 2)
	reportLength  = 1 + 2 + 2 + 2 + 8
	forwardLength = 1 + 1 + 4 + 8 + 2
)

// KindOf returns the kind of a message, zero for an empty datagram.
func KindOf(datagram []byte) Kind {
	if len(datagram) == 0 {
		return 0
	}
	return Kind(datagram[0])
}

// Forward is the header of a KindForward message.
type Forward struct {
	// Mode tells the agent how to handle the packet.
	Mode carriage.DeliveryMode
	// ServiceTag is the hash of the name of the service that an opening is for.
	// An opening is the first packet of a flow.
	ServiceTag uint32
	// Version is the version of the balancer's routes.
	Version uint64
	// OpeningAge is how long ago the caller sent the first copy of an opening, in
	// whole milliseconds and at most MaxDuration. It is zero for other packets.
	OpeningAge time.Duration
}

// MaxDuration is the longest duration that a message encodes. Longer durations
// are shortened to it.
const MaxDuration = (1<<16 - 1) * time.Millisecond

// appendMilliseconds appends a duration in whole milliseconds as 16 bits,
// limited to the range from zero to MaxDuration.
func appendMilliseconds(buffer []byte, duration time.Duration) []byte {
	duration = max(min(duration, MaxDuration), 0)
	return binary.BigEndian.AppendUint16(buffer, uint16(duration.Milliseconds()))
}

func decodeMilliseconds(data []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(data)) * time.Millisecond
}

// AppendForward appends a KindForward message.
func AppendForward(buffer []byte, fo Forward, packet []byte) []byte {
	buffer = append(buffer, byte(KindForward), byte(fo.Mode))
	buffer = binary.BigEndian.AppendUint32(buffer, fo.ServiceTag)
	buffer = binary.BigEndian.AppendUint64(buffer, fo.Version)
	buffer = appendMilliseconds(buffer, fo.OpeningAge)
	return append(buffer, packet...)
}

// DecodeForward returns the header and the packet of a KindForward message. The
// packet is a part of the datagram.
func DecodeForward(datagram []byte) (Forward, []byte, error) {
	if len(datagram) < forwardLength || datagram[1] > byte(carriage.DeliverTentatively) {
		return Forward{}, nil, ErrMalformed
	}
	return Forward{
		Mode:       carriage.DeliveryMode(datagram[1]),
		ServiceTag: binary.BigEndian.Uint32(datagram[2:]),
		Version:    binary.BigEndian.Uint64(datagram[6:]),
		OpeningAge: decodeMilliseconds(datagram[14:]),
	}, datagram[forwardLength:], nil
}

// expectedUnit is the number of units in which a message counts one expected
// request.
const expectedUnit = 256

// appendExpected appends the expected load of a report. It ends the messages that
// have it, and processes of former builds, which don't know it, read it as nothing.
func appendExpected(buffer []byte, re carriage.Report) []byte {
	units := min(max(re.Expected, 0)*expectedUnit, math.MaxUint16)
	return binary.BigEndian.AppendUint16(buffer, uint16(units))
}

// decodeExpected sets the expected load from the end of a message, zero if the
// message comes from a former build.
func decodeExpected(re *carriage.Report, rest []byte) {
	if len(rest) >= 2 {
		re.Expected = float64(binary.BigEndian.Uint16(rest)) / expectedUnit
	}
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

// appendAddress appends an address as 16 bytes, an IPv4 address in its IPv6 form,
// and the port.
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
	return appendLoad(appendFlow(appendReport(append(buffer, byte(KindConfirm)), re), flow), re)
}

// DecodeConfirm returns the flow and the report of a KindConfirm message.
func DecodeConfirm(datagram []byte) (carriage.Flow, carriage.Report, error) {
	re, err := decodeReport(datagram[1:])
	if err != nil {
		return carriage.Flow{}, re, err
	}
	flow, err := decodeFlow(datagram[1+reportLength:])
	if err == nil {
		decodeLoad(&re, datagram[1+reportLength+flowLength:])
	}
	return flow, re, err
}

// AppendDecline appends a KindDecline message. It leaves the report's expected load
// and remaining work out.
func AppendDecline(buffer []byte, reason carriage.Reason, re carriage.Report, packet []byte) []byte {
	buffer = appendReport(append(buffer, byte(KindDecline)), re)
	return append(append(buffer, byte(reason)), packet...)
}

// DecodeDecline returns the reason, the report and the packet of a KindDecline
// message. The packet is a part of the datagram.
func DecodeDecline(datagram []byte) (carriage.Reason, carriage.Report, []byte, error) {
	re, err := decodeReport(datagram[1:])
	if err != nil || len(datagram) < 1+reportLength+1 {
		return 0, re, nil, ErrMalformed
	}
	return carriage.Reason(datagram[1+reportLength]), re, datagram[1+reportLength+1:], nil
}

// AppendFindHolder appends a KindFindHolder message. A number that isn't zero ends it;
// processes of former builds read it as nothing.
func AppendFindHolder(buffer []byte, fr carriage.FindRequest) []byte {
	buffer = appendFlow(append(buffer, byte(KindFindHolder)), fr.Flow)
	buffer = binary.BigEndian.AppendUint32(buffer, fr.Acknowledged)
	buffer = appendBool(buffer, fr.Possible)
	if fr.Number != 0 {
		buffer = binary.BigEndian.AppendUint32(buffer, fr.Number)
	}
	return buffer
}

// DecodeFindHolder returns the request of a KindFindHolder message. A former build
// always wants to know hosts that possibly hold the flow.
func DecodeFindHolder(datagram []byte) (carriage.FindRequest, error) {
	flow, err := decodeFlow(datagram[1:])
	rest := datagram[min(1+flowLength, len(datagram)):]
	if err != nil || len(rest) < 4 {
		return carriage.FindRequest{Flow: flow}, ErrMalformed
	}
	fr := carriage.FindRequest{
		Flow:         flow,
		Acknowledged: binary.BigEndian.Uint32(rest),
		Possible:     len(rest) == 4 || rest[4] == 1,
	}
	if len(rest) >= 5+4 {
		fr.Number = binary.BigEndian.Uint32(rest[5:])
	}
	return fr, nil
}

func appendBool(buffer []byte, value bool) []byte {
	if value {
		return append(buffer, 1)
	}
	return append(buffer, 0)
}

// AppendHeld appends a KindHeld message. Certain is false if the sender's host
// may hold the flow, true if it does.
func AppendHeld(buffer []byte, flow carriage.Flow, certain bool) []byte {
	return appendBool(appendFlow(append(buffer, byte(KindHeld)), flow), certain)
}

// DecodeHeld returns the flow of a KindHeld message and whether the sender's host
// certainly holds it.
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
	return appendLoad(appendReport(append(buffer, byte(KindReport)), re), re)
}

// DecodeReport returns the report of a KindReport message.
func DecodeReport(datagram []byte) (carriage.Report, error) {
	re, err := decodeReport(datagram[1:])
	if err == nil {
		decodeLoad(&re, datagram[1+reportLength:])
	}
	return re, err
}
