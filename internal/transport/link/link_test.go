package link

import (
	"context"
	"crypto/tls"
	"net/netip"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"
	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/transport/keys"
)

const exchangeTimeout = 10 * time.Second

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// testPeer is a listener with a pool for links to it.
type testPeer struct {
	listener *Listener
	pool     *Pool

	mu      sync.Mutex
	refused int
}

func (tp *testPeer) refusals() int {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	return tp.refused
}

func openKeys(tb testing.TB) *keys.Store {
	tb.Helper()
	paths, err := keys.Generate(filepath.Join(tb.TempDir(), "keys"), time.Now())
	if err != nil {
		tb.Fatal(err)
	}
	st, err := keys.Open(paths)
	if err != nil {
		tb.Fatal(err)
	}
	return st
}

func openTestPeer(tb testing.TB, st *keys.Store) *testPeer {
	tb.Helper()
	mux := NewMux()
	On(mux, message.KindNotice, func(_ context.Context, _ Peer, text string) (any, error) {
		if text == "refuse" {
			return nil, errors.New("no slot")
		}
		return "echo " + text, nil
	})
	tp := &testPeer{pool: NewPool(st.PeerClientTLS())}
	srv := &Server{Mux: mux, OnRefused: func(Peer, error) {
		tp.mu.Lock()
		defer tp.mu.Unlock()
		tp.refused++
	}}
	li, err := Listen(context.Background(), anyPort, st.PeerServerTLS(), srv)
	if err != nil {
		tb.Fatal(err)
	}
	tp.listener = li
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = li.Run(context.Background())
	}()
	tb.Cleanup(func() {
		tp.pool.Close()
		li.Close()
		<-done
	})
	return tp
}

func TestLink(t *testing.T) {
	st := openKeys(t)
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	convey.Convey("A link", t, func() {
		tp := openTestPeer(t, st)
		peer := tp.listener.Address()
		convey.Convey("returns its own answer to each of many concurrent requests", func() {
			var pending sync.WaitGroup
			answers := make([]string, 50)
			for i := range answers {
				pending.Go(func() {
					_ = tp.pool.Call(ctx, peer, message.KindNotice, string(rune('a'+i)), &answers[i])
				})
			}
			pending.Wait()
			for i, answer := range answers {
				convey.So(answer, convey.ShouldEqual, "echo "+string(rune('a'+i)))
			}
		})
		convey.Convey("returns a refusal with peer, step and reason", func() {
			err := tp.pool.Call(ctx, peer, message.KindNotice, "refuse", nil)
			var re *RefusedError
			convey.So(errors.As(err, &re), convey.ShouldBeTrue)
			convey.So(re.Peer, convey.ShouldEqual, peer)
			convey.So(re.Reason, convey.ShouldContainSubstring, "no slot")
			convey.So(tp.refusals(), convey.ShouldEqual, 1)
		})
		convey.Convey("refuses a kind without a handler", func() {
			err := tp.pool.Call(ctx, peer, message.KindReport, "text", nil)
			convey.So(err.Error(), convey.ShouldContainSubstring, "unknown kind")
		})
		convey.Convey("is opened again after it was closed", func() {
			convey.So(tp.pool.Call(ctx, peer, message.KindNotice, "a", nil), convey.ShouldBeNil)
			tp.pool.Close()
			var answer string
			convey.So(tp.pool.Call(ctx, peer, message.KindNotice, "b", &answer), convey.ShouldBeNil)
			convey.So(answer, convey.ShouldEqual, "echo b")
		})
		convey.Convey("refuses a peer without a certificate of the authority", func() {
			otherAuthority := NewPool(openKeys(t).PeerClientTLS())
			defer otherAuthority.Close()
			convey.So(otherAuthority.Call(ctx, peer, message.KindNotice, "a", nil), convey.ShouldNotBeNil)
			noCertificate := NewPool(&tls.Config{InsecureSkipVerify: true})
			defer noCertificate.Close()
			convey.So(noCertificate.Call(ctx, peer, message.KindNotice, "a", nil), convey.ShouldNotBeNil)
		})
		convey.Convey("is closed when its listener closes", func() {
			convey.So(tp.pool.Call(ctx, peer, message.KindNotice, "a", nil), convey.ShouldBeNil)
			tp.listener.Close()
			convey.So(tp.pool.Call(ctx, peer, message.KindNotice, "b", nil), convey.ShouldNotBeNil)
		})
		convey.Convey("reports a malformed message and closes", func() {
			co, _, err := websocket.Dial(ctx, "wss://"+peer.String()+Path, &websocket.DialOptions{HTTPClient: tp.pool.client})
			convey.So(err, convey.ShouldBeNil)
			defer co.CloseNow()
			convey.So(co.Write(ctx, websocket.MessageBinary, []byte{0xff, 0x00}), convey.ShouldBeNil)
			_, _, err = co.Read(ctx)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(tp.refusals(), convey.ShouldEqual, 1)
		})
	})
}
