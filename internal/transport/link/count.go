package link

import (
	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

// CountSent returns a function for Pool.OnSent that counts the bytes sent: the
// metric RequestBytesSent counts messages for which IsRequestTraffic reports true,
// whose number grows with the requests that agents pass to each other, and
// ControlBytesSent counts all others.
func CountSent(rg *gauge.Registry) func(kind message.Kind, bytes int) {
	control, requests := rg.Counter("ControlBytesSent"), rg.Counter("RequestBytesSent")
	return func(kind message.Kind, bytes int) {
		if kind.IsRequestTraffic() {
			requests.Inc(int64(bytes))
			return
		}
		control.Inc(int64(bytes))
	}
}
