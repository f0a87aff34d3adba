package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

const (
	headerTimeout = 5 * time.Second
	closeTimeout  = time.Second
)

// Listener serves HTTP handlers on one address.
type Listener struct {
	listener net.Listener
	server   *http.Server
	// closeLinks ends the open links, which the server knows nothing of.
	closeLinks context.CancelFunc
}

// Listen opens the address. The handler is served with TLS unless the
// configuration is nil.
func Listen(ctx context.Context, address netip.AddrPort, tc *tls.Config, ha http.Handler) (*Listener, error) {
	var lc net.ListenConfig
	li, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	if tc != nil {
		li = tls.NewListener(li, tc)
	}
	base, closeLinks := context.WithCancel(context.WithoutCancel(ctx))
	return &Listener{
		listener: li,
		server: &http.Server{
			Handler:           ha,
			ReadHeaderTimeout: headerTimeout,
			ErrorLog:          discard,
			BaseContext:       func(net.Listener) context.Context { return base },
		},
		closeLinks: closeLinks,
	}, nil
}

// Address returns the address that the listener took.
func (li *Listener) Address() netip.AddrPort {
	return li.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until the context ends.
func (li *Listener) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, li.Close)
	defer stop()
	if err := li.server.Serve(li.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve on %s", li.listener.Addr())
	}
	return nil
}

// Close stops the listener, gives open requests a moment to end and closes the
// open links.
func (li *Listener) Close() {
	defer li.closeLinks()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := li.server.Shutdown(ctx); err != nil {
		li.server.Close()
	}
}
