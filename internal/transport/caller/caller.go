// Package caller is the client of a service behind the balancers: HTTP/3 over
// one QUIC connection, which is one flow.
//
// # Usage
//
//	ca := caller.Open(caller.Config{Service: address, Authority: pool})
//	answer, err := ca.Do(request)
//	ca.Close()
package caller

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	initialPacketSize = 1200 // bytes; leaves room for the envelope
	keepAlive         = 10 * time.Second
	idleTimeout       = 60 * time.Second
	// handshakeTimeout is how long a host may stay silent in a handshake. The
	// next attempt has another source port and so leads to another host.
	handshakeTimeout = time.Second
)

// ErrNotRun is the error of a request that never left the caller, because no
// flow could be opened.
var ErrNotRun = errors.New("not run: no flow could be opened")

// Config is what a caller needs.
type Config struct {
	// Service is the service's address.
	Service netip.AddrPort
	// Authority holds the certificates that the service must be signed by.
	Authority *x509.CertPool
	// Name is the name that the service's certificate must have.
	Name string
	// Ended is called when a flow was ended by anything but Close, if set.
	Ended func(err error)
}

// Caller is one flow to a service.
type Caller struct {
	cfg       Config
	transport *http3.Transport
	tickets   *Tickets
}

// Open returns a caller that connects with its first request.
func Open(cfg Config) *Caller {
	ca := &Caller{cfg: cfg}
	ca.transport = &http3.Transport{
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: cfg.Authority, ServerName: cfg.Name},
		QUICConfig: &quic.Config{
			InitialPacketSize:    initialPacketSize,
			HandshakeIdleTimeout: handshakeTimeout,
			KeepAlivePeriod:      keepAlive,
			MaxIdleTimeout:       idleTimeout,
		},
		Dial: ca.dial,
	}
	ca.tickets = &Tickets{Next: ca.transport}
	return ca
}

// dial opens a flow and watches for its end.
func (ca *Caller) dial(ctx context.Context, address string, tc *tls.Config, qc *quic.Config) (*quic.Conn, error) {
	co, err := quic.DialAddrEarly(ctx, address, tc, qc)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(co.Context(), func() { ca.ended(context.Cause(co.Context())) })
	return co, nil
}

// ended reports the end of a flow unless this side asked for it.
func (ca *Caller) ended(err error) {
	ca.tickets.Forget()
	if ca.cfg.Ended == nil {
		return
	}
	var ae *quic.ApplicationError
	if errors.As(err, &ae) && !ae.Remote {
		return
	}
	ca.cfg.Ended(err)
}

// IsGracefulClose reports whether a flow ended in the way that a graceful shutdown
// ends it (RFC 9114, section 5.2).
func IsGracefulClose(err error) bool {
	var ae *quic.ApplicationError
	return errors.As(err, &ae) && ae.Remote && http3.ErrCode(ae.ErrorCode) == http3.ErrCodeNoError
}

// Do sends a request, whose URL needs only a path, and returns the answer. It
// gets and repeats the tickets of unrepeatable requests by itself. After
// ErrNotRun the request has not run; after any other error it may have.
func (ca *Caller) Do(re *http.Request) (*http.Response, error) {
	re.URL.Scheme = "https"
	re.URL.Host = ca.cfg.Service.String()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	re = re.WithContext(httptrace.WithClientTrace(re.Context(), trace))
	answer, err := ca.tickets.RoundTrip(re)
	if err != nil && !sent.Load() {
		return nil, errors.Wrapf(ErrNotRun, "call %s: %v", ca.cfg.Service, err)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", ca.cfg.Service)
	}
	return answer, nil
}

// Close ends the flow.
func (ca *Caller) Close() error {
	return ca.transport.Close()
}
