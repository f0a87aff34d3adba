package link

import (
	"bytes"
	"log"

	"k8s.io/klog/v2"
)

// discard turns the HTTP server's own messages, such as failed TLS handshakes
// of strangers, into events of the lowest level.
var discard = log.New(logWriter{}, "", 0)

type logWriter struct{}

func (logWriter) Write(text []byte) (int, error) {
	klog.V(2).InfoS("HTTP server message", "Text", string(bytes.TrimSpace(text)))
	return len(text), nil
}
