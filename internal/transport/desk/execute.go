package desk

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/protocol/outcome"
	"corneltiller.dev/corneltiller/internal/protocol/relay"
	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// recordGrace is how long past the caller's deadline the answer to an
// unrepeatable request is awaited, so that a repeat finds it.
const recordGrace = 30 * time.Second

// execute hands a request to the backend server. The caller holds the lock.
func (de *Handler) execute(ac dispatch.Execute) {
	ta := de.tasks[ac.ID]
	end := ac.Deadline
	if !ta.request.Repeatable {
		end = end.Add(recordGrace)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	ta.run = cancel
	ta.running = true
	go func() {
		defer cancel()
		ev := de.run(ctx, ta, ac)
		de.mu.Lock()
		defer de.mu.Unlock()
		ta.running = false
		de.handle(ev)
		de.release(ac.ID, ta)
	}()
}

// run executes a request and returns how it ended.
func (de *Handler) run(ctx context.Context, ta *task, ac dispatch.Execute) dispatch.Executed {
	ev := dispatch.Executed{ID: ac.ID, Result: dispatch.ResultFailed}
	answer, err := de.backend.RoundTrip(de.newBackendRequest(ctx, ta.request, ac.Deadline))
	if err != nil {
		klog.V(1).InfoS("Backend server failed", "Backend", de.cfg.Backend, "Err", err)
		if unreached(err) {
			ev.Result = dispatch.ResultNotSent
		}
		return ev
	}
	defer answer.Body.Close()
	if ou, ok := outcome.Read(answer.Header); ok && ou == ledger.NotRun {
		ev.Result = dispatch.ResultRefused
		return ev
	}
	outcome.Strip(answer.Header)
	limit := maxBuffered
	if ac.Buffer {
		limit = maxRecorded
	}
	prefix, err := io.ReadAll(io.LimitReader(answer.Body, int64(limit)+1))
	if err != nil {
		return ev
	}
	if len(prefix) <= limit {
		ev.Result = dispatch.ResultComplete
		ev.Answer = ledger.Answer{Status: answer.StatusCode, Header: fields(answer.Header), Body: prefix}
		return ev
	}
	if !ac.Buffer {
		ev.Result = ta.pass(ctx, stream{answer: answer, prefix: prefix, fresh: ac.NextTicket})
	}
	return ev
}

// pass gives a long answer to the goroutine that serves the caller.
func (ta *task) pass(ctx context.Context, st stream) dispatch.Result {
	st.result = make(chan dispatch.Result, 1)
	select {
	case ta.stream <- st:
		return <-st.result
	case <-ctx.Done():
		return dispatch.ResultFailed
	}
}

// newBackendRequest returns the request as the backend server sees it. It has
// no GetBody, so that the HTTP client never sends it twice by itself.
func (de *Handler) newBackendRequest(ctx context.Context, re relay.Request, deadline time.Time) *http.Request {
	out, err := http.NewRequestWithContext(ctx, re.Method, "http://"+de.cfg.Backend.String()+re.Target, nil)
	if err != nil {
		out, _ = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+de.cfg.Backend.String()+"/", nil)
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

// unreached reports whether the request provably never left this process.
func unreached(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}
