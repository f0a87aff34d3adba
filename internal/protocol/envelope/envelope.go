// Package envelope encodes the header that balancers and agents put before a
// caller's datagram.
//
// The envelope carries what agents decide by (a route.Header) and the way back:
// the service's entry and the balancer that takes the answer. It has a keyed
// tag, so that a datagram from elsewhere is refused. With an IPv4 caller it
// takes at most 51 bytes: a first QUIC packet of 1,200 bytes still crosses a
// path of 1,280.
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

// Kind tells the direction of a datagram.
type Kind uint8

const (
	// KindToHost carries a caller's datagram to an agent.
	KindToHost Kind = iota
	// KindToCaller carries an agent's datagram back to a balancer.
	KindToCaller
)

const (
	// MaxLength is the largest length of a header in bytes.
	MaxLength = fixedLength + route.MaxChain*hopLength + longLength + shortLength + tagLength

	formatVersion  = 1
	hopLength      = shortLength + 2
	shortLength    = 6
	longLength     = 18
	tagLength      = 4
	fixedLength    = 2 + 2 + 3 + 1 + 3
	flagLongCaller = 0x10
	maxHops        = 15
)

// The errors of Decode and Append.
var (
	ErrTruncated = errors.New("envelope is truncated")
	ErrVersion   = errors.New("envelope has an unknown format version")
	ErrTag       = errors.New("envelope has a wrong tag")
	ErrAddress   = errors.New("envelope needs IPv4 addresses for hosts and balancers")
	ErrChain     = errors.New("envelope has a chain of invalid length")
)

// Envelope is the header of one datagram.
type Envelope struct {
	// Header is what agents decide by. Of an incarnation only the low 16 bits
	// cross the network.
	route.Header
	Kind Kind
	// AddressIndex is the position of the caller's destination among the service's addresses.
	AddressIndex uint8
	// Version holds the low 24 bits of the configuration that the sender has in force.
	Version uint32
	// Balancer is where the answer is to be sent.
	Balancer netip.AddrPort
}

// Codec encodes and decodes envelopes. It is safe for concurrent use.
type Codec struct {
	key0, key1 uint64
}

// NewCodec returns a codec whose tags depend on the secret.
func NewCodec(secret []byte) *Codec {
	sum := sha256.Sum256(append([]byte("corneltiller envelope "), secret...))
	return &Codec{
		key0: binary.BigEndian.Uint64(sum[0:8]),
		key1: binary.BigEndian.Uint64(sum[8:16]),
	}
}

// Append appends the encoded envelope and the payload to dst.
func (co *Codec) Append(dst []byte, en *Envelope, payload []byte) ([]byte, error) {
	if en.Chain.Count > route.MaxChain || en.Hops > maxHops {
		return dst, ErrChain
	}
	start := len(dst)
	dst = append(dst, en.head(),
		en.Chain.HolderCount<<6|byte(en.Request&3)<<4|en.Hops&maxHops,
		byte(en.LoadScore>>8), byte(en.LoadScore),
		byte(en.Service>>16), byte(en.Service>>8), byte(en.Service),
		en.AddressIndex,
		byte(en.Version>>16), byte(en.Version>>8), byte(en.Version))
	for i := range en.Chain.Count {
		ca := &en.Chain.Hosts[i]
		var ok bool
		if dst, ok = appendShort(dst, ca.Address); !ok {
			return dst[:start], ErrAddress
		}
		dst = binary.BigEndian.AppendUint16(dst, uint16(ca.Incarnation))
	}
	dst = appendCaller(dst, en.Caller)
	dst, ok := appendShort(dst, en.Balancer)
	if !ok {
		return dst[:start], ErrAddress
	}
	dst = binary.BigEndian.AppendUint32(dst, co.tag(dst[start:]))
	return append(dst, payload...), nil
}

func (co *Codec) tag(header []byte) uint32 {
	return uint32(siphash.Hash(co.key0, co.key1, header))
}

func (en *Envelope) head() byte {
	head := byte(formatVersion<<6) | byte(en.Kind&1)<<5 | (en.Index&3)<<2 | en.Chain.Count&3
	if !isShort(en.Caller) {
		head |= flagLongCaller
	}
	return head
}

// Decode reads the header into en and returns the payload, which is a part of
// the datagram. It allocates nothing.
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
	en.decodeBody(body)
	return datagram[length:], nil
}

func headerLength(head byte) int {
	length := fixedLength + int(head&3)*hopLength + shortLength + shortLength + tagLength
	if head&flagLongCaller != 0 {
		length += longLength - shortLength
	}
	return length
}

func (en *Envelope) decodeBody(body []byte) {
	head := body[0]
	en.Kind = Kind(head >> 5 & 1)
	en.Index = head >> 2 & 3
	en.Chain.Count = head & 3
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
			Address:     readShort(body),
			Incarnation: uint64(binary.BigEndian.Uint16(body[shortLength:])),
		}
		body = body[hopLength:]
	}
	if head&flagLongCaller != 0 {
		en.Caller = netip.AddrPortFrom(netip.AddrFrom16([16]byte(body[:16])), binary.BigEndian.Uint16(body[16:]))
		body = body[longLength:]
	} else {
		en.Caller = readShort(body)
		body = body[shortLength:]
	}
	en.Balancer = readShort(body)
}

func isShort(ad netip.AddrPort) bool {
	return ad.Addr().Unmap().Is4()
}

func appendShort(dst []byte, ad netip.AddrPort) ([]byte, bool) {
	if !isShort(ad) {
		return dst, false
	}
	ip := ad.Addr().Unmap().As4()
	dst = append(dst, ip[:]...)
	return binary.BigEndian.AppendUint16(dst, ad.Port()), true
}

func appendCaller(dst []byte, ad netip.AddrPort) []byte {
	if short, ok := appendShort(dst, ad); ok {
		return short
	}
	ip := ad.Addr().As16()
	dst = append(dst, ip[:]...)
	return binary.BigEndian.AppendUint16(dst, ad.Port())
}

func readShort(src []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(src[:4])), binary.BigEndian.Uint16(src[4:6]))
}
