package link

import (
	"bytes"
	"log"

	"k8s.io/klog/v2"
)

// errorLog logs the HTTP server's own messages at verbosity 2. Most of them are
// failed TLS handshakes of clients that are not part of the system.
var errorLog = log.New(logWriter{}, "", 0)

type logWriter struct{}

func (logWriter) Write(text []byte) (int, error) {
	klog.V(2).InfoS("HTTP server message", "Text", string(bytes.TrimSpace(text)))
	return len(text), nil
}
