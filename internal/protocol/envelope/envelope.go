// Package envelope encodes the encapsulation header that balancers and agents put
// before a caller's datagram and before the answer to it.
//
// The header carries the routing information that agents use (a route.Header)
// and the return path: the index of the service's address and the balancer that
// receives the answer. A keyed authentication tag over the header, not the payload,
// lets the receiver refuse datagrams from senders without the secret. With an IPv4
// caller the header takes at most 51 bytes, so that a first QUIC packet of 1,200
// bytes still crosses a path with an MTU of 1,280 bytes.
//
// # Usage
//
//	co := envelope.NewCodec(secret)
//	datagram, err := co.Append(buffer[:0], &en, payload)
//	payload, err := co.Decode(datagram, &en)
package envelope

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"
	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Kind is the direction of a datagram.
type Kind uint8

const (
	// KindToHost carries a caller's datagram to an agent.
	KindToHost Kind = iota
	// KindToCaller carries an agent's datagram for a caller back to a balancer.
	KindToCaller
)

const (
	// MaxLength is the largest length of an encoded header in bytes.
	MaxLength = fixedLength + route.MaxChain*candidateLength + ipv6Length + ipv4Length + tagLength

	formatVersion = 1

	// The lengths of the encoded parts in bytes. An address includes its port;
	// fixedLength is the length of the fields before the chain.
	candidateLength = ipv4Length + 2
	ipv4Length      = 6
	ipv6Length      = 18
	tagLength       = 4
	fixedLength     = 2 + 2 + 3 + 1 + 3

	// flagIPv6Caller is set in the first byte if the caller has an IPv6 address.
	flagIPv6Caller = 0x10
	// maxHops is the largest number of hops that the header can hold.
	maxHops = 15
)

// The errors of Decode and Append.
var (
	// ErrTruncated means that the datagram is shorter than its header.
	ErrTruncated = errors.New("envelope is truncated")
	// ErrVersion means that the format version is unknown.
	ErrVersion = errors.New("envelope has an unknown format version")
	// ErrTag means that the authentication tag does not match the header.
	ErrTag = errors.New("envelope has a wrong authentication tag")
	// ErrAddress means that a host or the balancer has no IPv4 address.
	ErrAddress = errors.New("envelope needs IPv4 addresses for hosts and balancers")
	// ErrChain means that the chain has more than route.MaxChain hosts or that
	// the number of hops does not fit into four bits.
	ErrChain = errors.New("envelope has too many hosts in its chain or too many hops")
)

// Envelope is the header of one datagram.
type Envelope struct {
	// Header is the routing information that agents use. Only the low 16 bits of
	// an incarnation are encoded.
	route.Header
	Kind Kind
	// AddressIndex is the position, among the service's addresses, of the address
	// that the caller sent to.
	AddressIndex uint8
	// Version holds the low 24 bits of the number of the configuration version that
	// the balancer had in force; it is zero with KindToCaller.
	Version uint32
	// Balancer is the address to which the agent sends the answer.
	Balancer netip.AddrPort
}

// Codec encodes and decodes envelopes. It is safe for concurrent use.
type Codec struct {
	key0, key1 uint64
}

// NewCodec returns a codec whose authentication tags are keyed by the secret.
func NewCodec(secret []byte) *Codec {
	sum := sha256.Sum256(append([]byte("corneltiller envelope "), secret...))
	return &Codec{
		key0: binary.BigEndian.Uint64(sum[0:8]),
		key1: binary.BigEndian.Uint64(sum[8:16]),
	}
}

// Append appends the encoded envelope and the payload to dst. Errors are ErrChain
// and ErrAddress.
func (co *Codec) Append(dst []byte, en *Envelope, payload []byte) ([]byte, error) {
	if en.Chain.Count > route.MaxChain || en.Hops > maxHops {
		return dst, ErrChain
	}
	start := len(dst)
	dst = append(dst, en.firstByte(),
		en.Chain.HolderCount<<6|byte(en.Request&3)<<4|en.Hops&maxHops,
		byte(en.LoadScore>>8), byte(en.LoadScore),
		byte(en.Service>>16), byte(en.Service>>8), byte(en.Service),
		en.AddressIndex,
		byte(en.Version>>16), byte(en.Version>>8), byte(en.Version))
	for i := range en.Chain.Count {
		ca := &en.Chain.Hosts[i]
		var ok bool
		if dst, ok = appendIPv4(dst, ca.Address); !ok {
			return dst[:start], ErrAddress
		}
		dst = binary.BigEndian.AppendUint16(dst, uint16(ca.Incarnation))
	}
	dst = appendCaller(dst, en.Caller)
	dst, ok := appendIPv4(dst, en.Balancer)
	if !ok {
		return dst[:start], ErrAddress
	}
	dst = binary.BigEndian.AppendUint32(dst, co.tag(dst[start:]))
	return append(dst, payload...), nil
}

// tag returns the keyed SipHash of the header.
func (co *Codec) tag(header []byte) uint32 {
	return uint32(siphash.Hash(co.key0, co.key1, header))
}

// firstByte returns the first byte of the header: the format version, whether the
// caller has an IPv6 address, the kind, the receiver's index in the chain and the
// length of the chain.
func (en *Envelope) firstByte() byte {
	first := byte(formatVersion<<6) | byte(en.Kind&1)<<5 | (en.Index&3)<<2 | en.Chain.Count&3
	if !isIPv4(en.Caller) {
		first |= flagIPv6Caller
	}
	return first
}

// Decode reads the header into en and returns the payload, which is a part of
// the datagram. It allocates nothing. Errors are ErrTruncated, ErrVersion and
// ErrTag.
func (co *Codec) Decode(datagram []byte, en *Envelope) ([]byte, error) {
	if len(datagram) == 0 {
		return nil, ErrTruncated
	}
	if datagram[0]>>6 != formatVersion {
		return nil, ErrVersion
	}
	length := headerLength(datagram[0])
	if len(datagram) < length {
		return nil, ErrTruncated
	}
	body := datagram[:length-tagLength]
	if binary.BigEndian.Uint32(datagram[length-tagLength:]) != co.tag(body) {
		return nil, ErrTag
	}
	en.decodeHeader(body)
	return datagram[length:], nil
}

// headerLength returns the length in bytes of the header with that first byte.
func headerLength(first byte) int {
	length := fixedLength + int(first&3)*candidateLength + ipv4Length + ipv4Length + tagLength
	if first&flagIPv6Caller != 0 {
		length += ipv6Length - ipv4Length
	}
	return length
}

// decodeHeader reads a header, without its tag, whose length and tag were
// checked.
func (en *Envelope) decodeHeader(body []byte) {
	first := body[0]
	en.Kind = Kind(first >> 5 & 1)
	en.Index = first >> 2 & 3
	en.Chain.Count = first & 3
	en.Chain.HolderCount = body[1] >> 6
	en.Request = route.Request(body[1] >> 4 & 3)
	en.Hops = body[1] & maxHops
	en.LoadScore = route.LoadScore(binary.BigEndian.Uint16(body[2:]))
	en.Service = register.ServiceID(body[4])<<16 | register.ServiceID(body[5])<<8 | register.ServiceID(body[6])
	en.AddressIndex = body[7]
	en.Version = uint32(body[8])<<16 | uint32(body[9])<<8 | uint32(body[10])
	body = body[fixedLength:]
	en.Chain.Hosts = [route.MaxChain]route.Candidate{}
	for i := range en.Chain.Count {
		en.Chain.Hosts[i] = route.Candidate{
			Address:     readIPv4(body),
			Incarnation: uint64(binary.BigEndian.Uint16(body[ipv4Length:])),
		}
		body = body[candidateLength:]
	}
	if first&flagIPv6Caller != 0 {
		en.Caller = netip.AddrPortFrom(netip.AddrFrom16([16]byte(body[:16])), binary.BigEndian.Uint16(body[16:]))
		body = body[ipv6Length:]
	} else {
		en.Caller = readIPv4(body)
		body = body[ipv4Length:]
	}
	en.Balancer = readIPv4(body)
}

func isIPv4(ad netip.AddrPort) bool {
	return ad.Addr().Unmap().Is4()
}

// appendIPv4 appends an IPv4 address and its port. It reports false for other
// addresses.
func appendIPv4(dst []byte, ad netip.AddrPort) ([]byte, bool) {
	if !isIPv4(ad) {
		return dst, false
	}
	ip := ad.Addr().Unmap().As4()
	dst = append(dst, ip[:]...)
	return binary.BigEndian.AppendUint16(dst, ad.Port()), true
}

// appendCaller appends an IPv4 or IPv6 address and its port.
func appendCaller(dst []byte, ad netip.AddrPort) []byte {
	if encoded, ok := appendIPv4(dst, ad); ok {
		return encoded
	}
	ip := ad.Addr().As16()
	dst = append(dst, ip[:]...)
	return binary.BigEndian.AppendUint16(dst, ad.Port())
}

func readIPv4(src []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(src[:4])), binary.BigEndian.Uint16(src[4:6]))
}
