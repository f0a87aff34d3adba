// Package label encodes the place of a flow into a QUIC connection ID.
//
// The server of a QUIC connection chooses the connection ID that callers put
// on every later packet. An agent puts the service, its own address and its
// incarnation there, so that any balancer steers the packet without a table of
// flows, through changes of the caller's address too. The manner follows the
// IETF draft on QUIC-LB (draft-ietf-quic-load-balancers); the invariants that
// allow it are those of RFC 8999.
//
// A connection ID has 20 bytes: a key phase, a salt of three bytes in clear and
// one encrypted block that ends with the same salt. Observers can't link two
// IDs of a flow, and a forged ID is recognised by its salt.
//
// # Usage
//
//	co, err := label.NewCodec(secret)
//	id := co.Encode(label.Place{Service: 7, Host: address, Incarnation: 1}, random)
//	pl, ok := co.NewDecoder().Decode(id[:])
package label

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Length is the length of every connection ID in bytes.
const Length = 20

const (
	phaseOffset   = 0
	saltOffset    = 1
	saltLength    = 3
	blockOffset   = saltOffset + saltLength
	phaseMask     = 0x03
	maxPhases     = phaseMask + 1
	serviceLength = 3
)

// ID is an encoded connection ID.
type ID [Length]byte

// Target is what a connection ID says about its flow.
type Target struct {
	Service register.ServiceID
	// Host is the datagram address of the agent that holds the flow.
	Host netip.AddrPort
	// Incarnation holds the low bits of the agent's incarnation.
	Incarnation uint16
}

// Random is the unpredictable part of a connection ID.
type Random struct {
	Salt  [saltLength]byte
	Nonce uint16
}

// Codec encodes and decodes connection IDs. It is safe for concurrent use.
type Codec struct {
	blocks [maxPhases]cipher.Block
	active byte
}

// NewCodec returns a codec that encodes with the last secret and decodes with
// all of them, at most four. A secret keeps its phase by its position, so that
// secrets are replaced in turn without cutting flows.
func NewCodec(secrets ...[]byte) (*Codec, error) {
	if len(secrets) == 0 || len(secrets) > maxPhases {
		return nil, errors.Errorf("create connection ID codec: %d secrets, want 1 to %d", len(secrets), maxPhases)
	}
	co := &Codec{active: byte(len(secrets) - 1)}
	for i, secret := range secrets {
		sum := sha256.Sum256(append([]byte("corneltiller connection ID "), secret...))
		bl, err := aes.NewCipher(sum[:16])
		if err != nil {
			return nil, errors.Wrap(err, "create connection ID codec")
		}
		co.blocks[i] = bl
	}
	return co, nil
}

// Encode returns the connection ID of a place. The host must have an IPv4
// address.
func (co *Codec) Encode(pl Target, ra Random) ID {
	var id ID
	id[phaseOffset] = co.active | (byte(ra.Nonce)<<2)&^phaseMask
	copy(id[saltOffset:], ra.Salt[:])

	bl := id[blockOffset:]
	putService(bl, pl.Service)
	ip := pl.Host.Addr().Unmap().As4()
	copy(bl[3:7], ip[:])
	binary.BigEndian.PutUint16(bl[7:9], pl.Host.Port())
	binary.BigEndian.PutUint16(bl[9:11], pl.Incarnation)
	binary.BigEndian.PutUint16(bl[11:13], ra.Nonce)
	copy(bl[13:16], ra.Salt[:])
	co.blocks[co.active].Encrypt(bl, bl)
	return id
}

// Decoder decodes connection IDs without allocating. It belongs to one goroutine.
type Decoder struct {
	codec *Codec
	block [aes.BlockSize]byte
}

// NewDecoder returns a decoder for the codec's IDs.
func (co *Codec) NewDecoder() *Decoder {
	return &Decoder{codec: co}
}

// Decode returns the place that a connection ID names. It returns false for an
// ID that no agent of this deployment has issued.
func (de *Decoder) Decode(id []byte) (Target, bool) {
	if len(id) != Length {
		return Target{}, false
	}
	cb := de.codec.blocks[id[phaseOffset]&phaseMask]
	if cb == nil {
		return Target{}, false
	}
	bl := de.block[:]
	cb.Decrypt(bl, id[blockOffset:])
	if [saltLength]byte(bl[13:16]) != [saltLength]byte(id[saltOffset:blockOffset]) {
		return Target{}, false
	}
	host := netip.AddrPortFrom(netip.AddrFrom4([4]byte(bl[3:7])), binary.BigEndian.Uint16(bl[7:9]))
	return Target{
		Service:     getService(bl),
		Host:        host,
		Incarnation: binary.BigEndian.Uint16(bl[9:11]),
	}, true
}

func putService(dst []byte, sv register.ServiceID) {
	dst[0] = byte(sv >> 16)
	dst[1] = byte(sv >> 8)
	dst[2] = byte(sv)
}

func getService(src []byte) register.ServiceID {
	_ = src[serviceLength-1]
	return register.ServiceID(src[0])<<16 | register.ServiceID(src[1])<<8 | register.ServiceID(src[2])
}
