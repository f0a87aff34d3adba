package explain

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/protocol/explanation"
)

var (
	caller  = netip.MustParseAddrPort("100.64.0.25:1047")
	address = netip.MustParseAddrPort("198.18.0.1:443")
)

// answerSent returns an answer that repeats the question.
func answerSent(caller, address netip.AddrPort) explanation.Answer {
	return explanation.Answer{Caller: caller, Address: address, Outcome: explanation.OutcomeSent}
}

// serveHTTP serves the handler and returns its address.
func serveHTTP(t *testing.T, ha http.Handler) netip.AddrPort {
	sv := httptest.NewServer(ha)
	t.Cleanup(sv.Close)
	return netip.MustParseAddrPort(sv.Listener.Addr().String())
}

// It guards against a question that is answered for another flow than was meant.
func TestQuestions(t *testing.T) {
	get := func(method, query string) *httptest.ResponseRecorder {
		re := httptest.NewRecorder()
		Handler(answerSent).ServeHTTP(re, httptest.NewRequest(method, Path+query, nil))
		return re
	}
	Convey("A question that can't be understood is refused, and says which parameter is wrong", t, func() {
		for query, text := range map[string]string{
			"":                               `caller: missing`,
			"?caller=100.64.0.25:1047":       `address: missing`,
			"?caller=100.64.0.25&address=1":  `caller: \"100.64.0.25\" isn't IP:PORT`,
			"?caller=100.64.0.25:0":          `caller: \"100.64.0.25:0\" isn't IP:PORT`,
			"?caller=[fe80::1%25eth0]:1047":  `caller: \"[fe80::1%eth0]:1047\" isn't IP:PORT`,
			"?caller=1.2.3.4:5&address=x:80": `address: \"x:80\" isn't IP:PORT`,
		} {
			re := get(http.MethodGet, query)
			So(re.Code, ShouldEqual, http.StatusBadRequest)
			So(re.Body.String(), ShouldContainSubstring, text)
		}
		So(get(http.MethodPost, "?caller=1.2.3.4:5&address=1.2.3.4:6").Code, ShouldEqual, http.StatusMethodNotAllowed)
	})
	Convey("An IPv4 address in the form of an IPv6 address is the same caller", t, func() {
		re := get(http.MethodGet, "?caller=[::ffff:100.64.0.25]:1047&address=198.18.0.1:443")
		So(re.Code, ShouldEqual, http.StatusOK)
		So(re.Body.String(), ShouldEqual, `{"Caller":"100.64.0.25:1047","Address":"198.18.0.1:443","Outcome":"Sent"}`+"\n")
	})
}

// It guards against many questions at once, which would all contend for the lock of the
// balancer's state.
func TestOneQuestionAtATime(t *testing.T) {
	Convey("The answer to one question is made at a time, and each question is answered", t, func() {
		var active, most, answered atomic.Int32
		ha := Handler(func(caller, address netip.AddrPort) explanation.Answer {
			now := active.Add(1)
			defer active.Add(-1)
			for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
			}
			time.Sleep(5 * time.Millisecond)
			return answerSent(caller, address)
		})
		var asking sync.WaitGroup
		for range 8 {
			asking.Go(func() {
				re := httptest.NewRecorder()
				ha.ServeHTTP(re, httptest.NewRequest(http.MethodGet, Path+"?caller=1.2.3.4:5&address=1.2.3.4:6", nil))
				if re.Code == http.StatusOK {
					answered.Add(1)
				}
			})
		}
		asking.Wait()
		So(most.Load(), ShouldEqual, 1)
		So(answered.Load(), ShouldEqual, 8)
	})
}

// It guards against a command that hangs, or that takes another server's answer for a
// balancer's.
func TestAsk(t *testing.T) {
	ask := func(balancer netip.AddrPort) (explanation.Answer, error) {
		return Ask(context.Background(), balancer, caller, address)
	}
	Convey("The answer arrives, also with a problem", t, func() {
		an, err := ask(serveHTTP(t, Handler(answerSent)))
		So(err, ShouldBeNil)
		So(an, ShouldResemble, answerSent(caller, address))
		for kind, status := range statuses {
			an, err = ask(serveHTTP(t, Handler(func(caller, address netip.AddrPort) explanation.Answer {
				an := answerSent(caller, address)
				an.SetProblem(kind, "problem with status %d", status)
				return an
			})))
			So(err, ShouldBeNil)
			So(an.Problem.Kind, ShouldEqual, kind)
			So(an.Outcome, ShouldEqual, explanation.OutcomeSent)
		}
	})
	Convey("Nothing at the address, and a server without an answer, are told apart", t, func() {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		free := netip.MustParseAddrPort(li.Addr().String())
		li.Close()
		_, err = ask(free)
		So(err, ShouldWrap, ErrNoAnswer)
		So(err.Error(), ShouldContainSubstring, free.String())
		for _, ha := range []http.Handler{
			http.NotFoundHandler(),
			http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write([]byte(`{"Agents":{"value":3}}`)) }),
		} {
			_, err = ask(serveHTTP(t, ha))
			So(err, ShouldWrap, ErrNoBalancer)
			So(err.Error(), ShouldContainSubstring, "is it the setting Metrics of a balancer?")
		}
	})
	Convey("A process that accepts the connection and doesn't answer is given up after Timeout", t, func() {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer li.Close()
		began := time.Now()
		_, err = ask(netip.MustParseAddrPort(li.Addr().String()))
		So(err, ShouldWrap, ErrNoAnswer)
		So(err.Error(), ShouldContainSubstring, "within 2s")
		So(time.Since(began), ShouldBeBetween, Timeout, 2*Timeout)
	})
}
