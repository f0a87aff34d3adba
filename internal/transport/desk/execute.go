package desk

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/protocol/outcome"
	"corneltiller.dev/corneltiller/internal/protocol/relay"
	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// recordGrace is how long after the caller's deadline the answer to an
// unrepeatable request is still awaited, so that it can be recorded for a
// repeat.
const recordGrace = 30 * time.Second

// execute starts a request at the backend server. The lock must be held.
func (ha *Handler) execute(ac dispatch.Execute) {
	ta := ha.tasks[ac.ID]
	end := ac.Deadline
	if !ta.request.Repeatable {
		end = end.Add(recordGrace)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	ta.cancel = cancel
	ta.running = true
	go func() {
		defer cancel()
		ev := ha.run(ctx, ta, ac)
		ha.mu.Lock()
		defer ha.mu.Unlock()
		ta.running = false
		ha.handleLocked(ev)
		ha.release(ac.ID, ta)
	}()
}

// run executes a request at the backend server and returns the event that
// reports its end.
func (ha *Handler) run(ctx context.Context, ta *task, ac dispatch.Execute) dispatch.Executed {
	ev := dispatch.Executed{ID: ac.ID, Result: dispatch.ResultFailed}
	answer, err := ha.backend.RoundTrip(ha.newBackendRequest(ctx, ta.request, ac.Deadline))
	if err != nil {
		klog.V(1).InfoS("Backend server failed", "Backend", ha.cfg.Backend, "Err", err)
		if neverSent(err) {
			ev.Result = dispatch.ResultNotSent
		}
		return ev
	}
	defer answer.Body.Close()
	if ou, ok := outcome.Read(answer.Header); ok && ou == ledger.NotRun {
		ev.Result = dispatch.ResultRefused
		return ev
	}
	if !declaresEnd(answer) {
		klog.V(1).InfoS("Backend server's answer may be incomplete", "Backend", ha.cfg.Backend, "Status", answer.StatusCode)
		return ev
	}
	outcome.Strip(answer.Header)
	limit := maxBufferedAnswer
	if ac.Buffer {
		limit = maxRecordedAnswer
	}
	prefix, err := io.ReadAll(io.LimitReader(answer.Body, int64(limit)+1))
	if err != nil {
		return ev
	}
	if len(prefix) <= limit {
		ev.Result = dispatch.ResultComplete
		ev.Answer = ledger.Answer{Status: answer.StatusCode, Header: headerFields(answer.Header), Body: prefix}
		return ev
	}
	if !ac.Buffer {
		ev.Result = ta.offerStream(ctx, answerStream{answer: answer, prefix: prefix, nextTicket: ac.NextTicket})
	}
	return ev
}

// declaresEnd reports whether the answer tells where it ends, by its length or by
// chunks. If it ends with the connection, an answer that broke off looks complete.
func declaresEnd(answer *http.Response) bool {
	if answer.Request != nil && answer.Request.Method == http.MethodHead {
		return true
	}
	return answer.ContentLength >= 0 || slices.Contains(answer.TransferEncoding, "chunked")
}

// offerStream passes a long answer to the goroutine that serves the caller and
// waits until that has streamed it.
func (ta *task) offerStream(ctx context.Context, st answerStream) dispatch.Result {
	st.result = make(chan dispatch.Result, 1)
	select {
	case ta.stream <- st:
		return <-st.result
	case <-ctx.Done():
		return dispatch.ResultFailed
	}
}

// newBackendRequest returns the request to the backend server. It sets no GetBody,
// and an unrepeatable request always has a body, even an empty one, so that
// http.Transport never sends it a second time. A request whose method or target
// net/http rejects is sent as GET /, with the same header and body.
func (ha *Handler) newBackendRequest(ctx context.Context, re relay.Request, deadline time.Time) *http.Request {
	out, err := http.NewRequestWithContext(ctx, re.Method, "http://"+ha.cfg.Backend.String()+re.Target, nil)
	if err != nil {
		out, _ = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ha.cfg.Backend.String()+"/", nil)
	}
	if len(re.Body) > 0 || !re.Repeatable {
		out.Body = io.NopCloser(bytes.NewReader(re.Body))
		out.ContentLength = int64(len(re.Body))
	}
	for _, fi := range re.Header {
		out.Header.Add(fi.Name, fi.Value)
	}
	remaining := max(1, time.Until(deadline).Milliseconds())
	out.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(remaining, 10))
	return out
}

// neverSent reports whether the error proves that the request never left this
// process, because no connection was established.
func neverSent(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}
