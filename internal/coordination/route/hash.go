package route

import (
	"crypto/sha256"
	"encoding/binary"
	"math/bits"
	"net/netip"

	"github.com/dchest/siphash"

	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// BucketCount is the number of buckets of every service. It doesn't depend on
	// the number of hosts, so no change of that number moves all buckets at once.
	BucketCount = 1 << bucketBits

	bucketBits = 16
	// goldenRatio is 2^64 divided by the golden ratio, the increment of SplitMix64.
	goldenRatio = 0x9e3779b97f4a7c15
)

// Key is the secret key of all hashes, so that callers can't predict buckets. All
// instances of a deployment share it.
type Key struct {
	First, Second uint64
}

// DeriveKey derives a key from a secret of any length.
func DeriveKey(secret []byte) Key {
	sum := sha256.Sum256(append([]byte("corneltiller buckets "), secret...))
	return Key{
		First:  binary.BigEndian.Uint64(sum[0:8]),
		Second: binary.BigEndian.Uint64(sum[8:16]),
	}
}

// serviceAddressLength is the length in bytes of a service number followed by an
// IP address and a port.
const serviceAddressLength = 4 + 16 + 2

// serviceAddressBytes encodes a service number and an address in network byte
// order.
func serviceAddressBytes(service register.ServiceID, address netip.AddrPort) [serviceAddressLength]byte {
	var buffer [serviceAddressLength]byte
	ip := address.Addr().As16()
	binary.BigEndian.PutUint32(buffer[0:4], uint32(service))
	copy(buffer[4:20], ip[:])
	binary.BigEndian.PutUint16(buffer[20:22], address.Port())
	return buffer
}

// bucket returns the bucket of a caller.
func (ke Key) bucket(service register.ServiceID, caller netip.AddrPort) uint64 {
	buffer := serviceAddressBytes(service, caller)
	return siphash.Hash(ke.First, ke.Second, buffer[:]) >> (64 - bucketBits)
}

// seed returns the number from which a host's draws in all buckets are derived.
func (ke Key) seed(service register.ServiceID, host netip.AddrPort) uint64 {
	buffer := serviceAddressBytes(service, host)
	return siphash.Hash(^ke.First, ke.Second, buffer[:])
}

// flow returns the key in a FlowTable of the flow with a caller's address and a
// connection ID of up to 20 bytes, which is empty for plain datagrams.
func (ke Key) flow(caller netip.AddrPort, id []byte) uint64 {
	const maxID = 20
	var buffer [serviceAddressLength + maxID]byte
	address := serviceAddressBytes(0, caller)
	copy(buffer[:], address[:])
	length := serviceAddressLength + copy(buffer[serviceAddressLength:], id)
	return siphash.Hash(ke.First, ^ke.Second, buffer[:length])
}

const (
	logBits  = 10
	logSteps = 1 << logBits
	// inverseWeightUnit is the inverse of the weight 1. Its product with a
	// logarithm fits into 64 bits.
	inverseWeightUnit = 1 << 24
	// infiniteCost is higher than the cost of any host.
	infiniteCost = ^uint64(0)
)

// logTable holds log2(1 + i/logSteps) in units of 2^-32. It is computed with
// integers, so that all machines rank the hosts in the same order.
var logTable = newLogTable()

func newLogTable() (table [logSteps + 1]uint64) {
	for i := range table {
		table[i] = log2Fraction(uint64(i))
	}
	return table
}

// log2Fraction returns log2(1 + i/logSteps) in units of 2^-32. It computes one bit
// of the result at a time: the bit is set if the square of the mantissa is at
// least 2.
func log2Fraction(i uint64) uint64 {
	if i == logSteps {
		return 1 << 32
	}
	const one = 1 << 31
	mantissa := uint64(one) + i<<(31-logBits)
	result := uint64(0)
	for range 32 {
		mantissa = mantissa * mantissa >> 31
		result <<= 1
		if mantissa >= 2*one {
			mantissa >>= 1
			result |= 1
		}
	}
	return result
}

// negativeLog returns -log2(x / 2^64) in units of 2^-32, interpolated between the
// values of logTable.
func negativeLog(x uint64) uint64 {
	zeros := bits.LeadingZeros64(x | 1)
	mantissa := x << (zeros + 1)
	i := mantissa >> (64 - logBits)
	rest := mantissa >> (32 - logBits) & (1<<32 - 1)
	low := logTable[i]
	return uint64(zeros+1)<<32 - low - (logTable[i+1]-low)*rest>>32
}

// draw returns the pseudo-random number of a host in a bucket, computed with the
// mixing function of SplitMix64.
func draw(seed, bucket uint64) uint64 {
	z := seed + (bucket+1)*goldenRatio
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// exponentialDraw returns the part of a host's cost in a bucket that doesn't
// depend on its weight. It is exponentially distributed.
func exponentialDraw(seed, bucket uint64) uint64 {
	return negativeLog(draw(seed, bucket))
}

// inverseWeightOf returns the factor by which an exponential draw is multiplied to
// get a cost; the host of least cost owns the bucket. It is zero for a weight of
// zero.
func inverseWeightOf(weight uint16) uint64 {
	if weight == 0 {
		return 0
	}
	return inverseWeightUnit / uint64(weight)
}
