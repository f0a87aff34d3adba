package waybill

import (
	"encoding/binary"
	"math"
	"time"
)

// entriesReviewedLength is the length of a KindEntriesReviewed message in bytes.
const entriesReviewedLength = 1 + 1 + 4

// AppendEntriesReviewed appends a KindEntriesReviewed message: the sender has completed a
// review that it began the given time ago, which found nothing missing if clean is set.
// The time is rounded up to whole milliseconds.
func AppendEntriesReviewed(buffer []byte, clean bool, ago time.Duration) []byte {
	milliseconds := min((max(ago, 0)+time.Millisecond-1)/time.Millisecond, math.MaxUint32)
	return binary.BigEndian.AppendUint32(appendBool(append(buffer, byte(KindEntriesReviewed)), clean), uint32(milliseconds))
}

// DecodeEntriesReviewed returns whether the review of a KindEntriesReviewed message found
// nothing missing, and how long ago it began.
func DecodeEntriesReviewed(datagram []byte) (clean bool, ago time.Duration, err error) {
	if len(datagram) < entriesReviewedLength || datagram[1] > 1 {
		return false, 0, ErrMalformed
	}
	return datagram[1] == 1, time.Duration(binary.BigEndian.Uint32(datagram[2:])) * time.Millisecond, nil
}
