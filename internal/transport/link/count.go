package link

import (
	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

// CountSent returns a function that counts the bytes sent on the board: those
// that move requests between hosts apart from those of control.
func CountSent(bo *gauge.Registry) func(kind message.Kind, bytes int) {
	control, requests := bo.Counter("ControlBytesSent"), bo.Counter("RequestBytesSent")
	return func(kind message.Kind, bytes int) {
		if kind.MovesRequests() {
			requests.Inc(int64(bytes))
			return
		}
		control.Inc(int64(bytes))
	}
}
