// Package label encodes the service and the host of a flow into routable QUIC
// connection IDs.
//
// The server of a QUIC connection chooses the connection ID that callers put
// on every later packet. An agent encodes the service, its own address and its
// incarnation there, so that any balancer can route the packet without a flow
// table, also after the caller's address has changed. The design follows the
// IETF draft QUIC-LB (draft-ietf-quic-load-balancers) and relies on the
// version-independent properties of QUIC in RFC 8999.
//
// A connection ID has 20 bytes: one byte with the key phase in its low two bits,
// a salt of three bytes in clear and one block, encrypted with AES-128, that ends
// with the same salt. Observers can't link two IDs of a flow. A forged ID is
// detected because the salts differ after decryption, except in one of 2^24 cases
// on average.
//
// # Usage
//
//	co, err := label.NewCodec(secret)
//	id := co.Encode(label.Target{Service: 7, Host: address, Incarnation: 1}, random)
//	ta, ok := co.NewDecoder().Decode(id[:])
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

// The layout of a connection ID in bytes.
const (
	keyPhaseOffset = 0
	saltOffset     = 1
	saltLength     = 3
	blockOffset    = saltOffset + saltLength
	keyPhaseMask   = 0x03
	maxSecrets     = keyPhaseMask + 1
	serviceLength  = 3
)

// ID is an encoded connection ID.
type ID [Length]byte

// Target is the service and the host that a connection ID routes its packets to.
type Target struct {
	Service register.ServiceID
	// Host is the datagram address of the agent that holds the flow.
	Host netip.AddrPort
	// Incarnation holds the low 16 bits of the agent's incarnation.
	Incarnation uint16
}

// Random makes two connection IDs of one target differ.
type Random struct {
	// Salt holds random bytes.
	Salt [saltLength]byte
	// Nonce is a number that changes from ID to ID, such as a counter.
	// Its low six bits are also sent in clear, beside the key phase.
	Nonce uint16
}

// Codec encodes and decodes connection IDs. It is safe for concurrent use.
type Codec struct {
	blocks [maxSecrets]cipher.Block
	active byte
}

// NewCodec returns a codec that encodes with the last secret and decodes with
// all of them, at most four. The position of a secret is its key phase: a secret
// that keeps its position while another is added still decodes the IDs of open
// flows, so that secrets can be rotated without breaking them.
func NewCodec(secrets ...[]byte) (*Codec, error) {
	if len(secrets) == 0 || len(secrets) > maxSecrets {
		return nil, errors.Errorf("create connection ID codec: %d secrets, want 1 to %d", len(secrets), maxSecrets)
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

// Encode returns a connection ID of the target. It panics if the host has no IPv4
// address.
func (co *Codec) Encode(ta Target, ra Random) ID {
	var id ID
	id[keyPhaseOffset] = co.active | (byte(ra.Nonce)<<2)&^keyPhaseMask
	copy(id[saltOffset:], ra.Salt[:])

	bl := id[blockOffset:]
	putService(bl, ta.Service)
	ip := ta.Host.Addr().Unmap().As4()
	copy(bl[3:7], ip[:])
	binary.BigEndian.PutUint16(bl[7:9], ta.Host.Port())
	binary.BigEndian.PutUint16(bl[9:11], ta.Incarnation)
	binary.BigEndian.PutUint16(bl[11:13], ra.Nonce)
	copy(bl[13:16], ra.Salt[:])
	co.blocks[co.active].Encrypt(bl, bl)
	return id
}

// Decoder decodes connection IDs without allocating. It is not safe for
// concurrent use.
type Decoder struct {
	codec *Codec
	block [aes.BlockSize]byte
}

// NewDecoder returns a decoder that uses the codec's secrets.
func (co *Codec) NewDecoder() *Decoder {
	return &Decoder{codec: co}
}

// Decode returns the target of a connection ID. It returns false for an ID that
// was not encoded with one of the codec's secrets.
func (de *Decoder) Decode(id []byte) (Target, bool) {
	if len(id) != Length {
		return Target{}, false
	}
	cb := de.codec.blocks[id[keyPhaseOffset]&keyPhaseMask]
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
