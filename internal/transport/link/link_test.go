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

// end is one listening process of a test.
type end struct {
	listener *Listener
	pool     *Pool

	mu      sync.Mutex
	refused int
}

func (en *end) refusals() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.refused
}

func material(tb testing.TB) *keys.Store {
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

func openEnd(tb testing.TB, st *keys.Store) *end {
	tb.Helper()
	mux := NewMux()
	On(mux, message.KindProbe, func(_ context.Context, _ Peer, text string) (any, error) {
		if text == "refuse" {
			return nil, errors.New("no slot")
		}
		return "echo " + text, nil
	})
	en := &end{pool: NewPool(st.PeerClientTLS())}
	srv := &Server{Mux: mux, OnRefused: func(Peer, error) {
		en.mu.Lock()
		defer en.mu.Unlock()
		en.refused++
	}}
	li, err := Listen(context.Background(), anyPort, st.PeerServerTLS(), srv)
	if err != nil {
		tb.Fatal(err)
	}
	en.listener = li
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = li.Run(context.Background())
	}()
	tb.Cleanup(func() {
		en.pool.Close()
		li.Close()
		<-done
	})
	return en
}

func TestLink(t *testing.T) {
	st := material(t)
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	convey.Convey("A link", t, func() {
		en := openEnd(t, st)
		peer := en.listener.Address()
		convey.Convey("gives each of many requests at once its own answer", func() {
			var pending sync.WaitGroup
			answers := make([]string, 50)
			for i := range answers {
				pending.Go(func() {
					_ = en.pool.Call(ctx, peer, message.KindProbe, string(rune('a'+i)), &answers[i])
				})
			}
			pending.Wait()
			for i, answer := range answers {
				convey.So(answer, convey.ShouldEqual, "echo "+string(rune('a'+i)))
			}
		})
		convey.Convey("tells a refusal with peer, step and reason", func() {
			err := en.pool.Call(ctx, peer, message.KindProbe, "refuse", nil)
			var re *RefusedError
			convey.So(errors.As(err, &re), convey.ShouldBeTrue)
			convey.So(re.Peer, convey.ShouldEqual, peer)
			convey.So(re.Reason, convey.ShouldContainSubstring, "no slot")
			convey.So(en.refusals(), convey.ShouldEqual, 1)
		})
		convey.Convey("refuses a kind without a handler", func() {
			err := en.pool.Call(ctx, peer, message.KindReport, "text", nil)
			convey.So(err.Error(), convey.ShouldContainSubstring, "unknown kind")
		})
		convey.Convey("is opened again after it broke", func() {
			convey.So(en.pool.Call(ctx, peer, message.KindProbe, "a", nil), convey.ShouldBeNil)
			en.pool.Close()
			var answer string
			convey.So(en.pool.Call(ctx, peer, message.KindProbe, "b", &answer), convey.ShouldBeNil)
			convey.So(answer, convey.ShouldEqual, "echo b")
		})
		convey.Convey("refuses a peer without a certificate of the authority", func() {
			stranger := NewPool(material(t).PeerClientTLS())
			defer stranger.Close()
			convey.So(stranger.Call(ctx, peer, message.KindProbe, "a", nil), convey.ShouldNotBeNil)
			naked := NewPool(&tls.Config{InsecureSkipVerify: true})
			defer naked.Close()
			convey.So(naked.Call(ctx, peer, message.KindProbe, "a", nil), convey.ShouldNotBeNil)
		})
		convey.Convey("is closed when its listener closes", func() {
			convey.So(en.pool.Call(ctx, peer, message.KindProbe, "a", nil), convey.ShouldBeNil)
			en.listener.Close()
			convey.So(en.pool.Call(ctx, peer, message.KindProbe, "b", nil), convey.ShouldNotBeNil)
		})
		convey.Convey("counts garbage and closes", func() {
			co, _, err := websocket.Dial(ctx, "wss://"+peer.String()+Path, &websocket.DialOptions{HTTPClient: en.pool.client})
			convey.So(err, convey.ShouldBeNil)
			defer co.CloseNow()
			convey.So(co.Write(ctx, websocket.MessageBinary, []byte{0xff, 0x00}), convey.ShouldBeNil)
			_, _, err = co.Read(ctx)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(en.refusals(), convey.ShouldEqual, 1)
		})
	})
}
