package waybill

import (
	"encoding/binary"
	"time"
)

// The lengths of the messages about confirmations in bytes.
const (
	askConfirmationLength = 1 + 8
	confirmationLength    = 1 + 8 + 2
)

// AppendAskConfirmation appends a KindAskConfirmation message of a process that has the
// version of the configuration.
func AppendAskConfirmation(buffer []byte, version uint64) []byte {
	return binary.BigEndian.AppendUint64(append(buffer, byte(KindAskConfirmation)), version)
}

// DecodeAskConfirmation returns the version of a KindAskConfirmation message.
func DecodeAskConfirmation(datagram []byte) (uint64, error) {
	if len(datagram) < askConfirmationLength {
		return 0, ErrMalformed
	}
	return binary.BigEndian.Uint64(datagram[1:]), nil
}

// AppendConfirmation appends a KindConfirmation message: the given time ago the store
// had no newer configuration than the version. The time is in whole milliseconds and at
// most MaxDuration.
func AppendConfirmation(buffer []byte, version uint64, ago time.Duration) []byte {
	buffer = binary.BigEndian.AppendUint64(append(buffer, byte(KindConfirmation)), version)
	return appendMilliseconds(buffer, ago)
}

// DecodeConfirmation returns the version of a KindConfirmation message and how long ago
// the store had no newer one.
func DecodeConfirmation(datagram []byte) (version uint64, ago time.Duration, err error) {
	if len(datagram) < confirmationLength {
		return 0, 0, ErrMalformed
	}
	return binary.BigEndian.Uint64(datagram[1:]), decodeMilliseconds(datagram[9:]), nil
}
