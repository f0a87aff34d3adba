package desk

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/protocol/outcome"
	"corneltiller.dev/corneltiller/internal/protocol/relay"
	"corneltiller.dev/corneltiller/internal/protocol/ticket"
	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// ServeHTTP answers a caller's request. It panics with http.ErrAbortHandler, which
// resets the HTTP stream, if a streamed answer breaks off.
func (ha *Handler) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	start := time.Now()
	at, err := outcome.Parse(start, re.Method, re.Header)
	if err != nil {
		refuse(wr, http.StatusBadRequest, ledger.NotRun, err)
		return
	}
	var ti ledger.Ticket
	if at.Token != "" {
		if ti, err = ha.ticketCodec.Decode(at.Token); err != nil {
			// The ticket may have been sealed with a former key, and its request may
			// have run.
			refuse(wr, http.StatusBadRequest, ledger.Unknown, err)
			return
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(wr, re.Body, maxRequestBody))
	if err != nil {
		refuse(wr, http.StatusRequestEntityTooLarge, ledger.NotRun, err)
		return
	}
	at.Class = ha.classify(re.URL.Path, at.Class)
	label := ha.metricsLabel(re.URL.Path, at.Class)
	defer func() { ha.metrics.observe(label, time.Since(start)) }()
	ta := newTask(ha.newRequest(re, body, at, ti))
	ha.serve(wr, re, ta, dispatch.Request{
		Caller:     ta.request.Caller,
		Class:      at.Class,
		Deadline:   at.Deadline,
		Repeatable: at.Repeatable,
		Ticket:     ti,
		Digest:     ta.request.Digest,
	})
}

// newRequest returns the caller's request in the form in which agents send it
// to one another. The header lacks the fields that belong to one connection and
// those that outcome.Strip removes.
func (ha *Handler) newRequest(re *http.Request, body []byte, at outcome.Attributes, ti ledger.Ticket) relay.Request {
	header := re.Header.Clone()
	outcome.Strip(header)
	remote, _ := netip.ParseAddrPort(re.RemoteAddr)
	out := relay.Request{
		Content: relay.Content{
			Method: re.Method,
			Target: re.URL.RequestURI(),
			Header: headerFields(header),
			Body:   body,
		},
		From:       ha.home.Host,
		Service:    ha.cfg.Host.Service,
		Caller:     remote.Addr(),
		Class:      at.Class,
		Repeatable: at.Repeatable,
		Ticket:     relay.NewTicket(ti),
	}
	if !at.Repeatable {
		out.Digest = digest(out.Content)
	}
	return out
}

// digest returns the SHA-256 digest of the method, target and body, each after
// its length.
func digest(co relay.Content) ledger.Digest {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(co.Method), []byte(co.Target), co.Body} {
		sum.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		sum.Write(part)
	}
	return ledger.Digest(sum.Sum(nil))
}

// serve reports a caller's request to the dispatcher, waits for its outcome and
// writes it.
func (ha *Handler) serve(wr http.ResponseWriter, re *http.Request, ta *task, dr dispatch.Request) {
	id := ha.open(ta, dr)
	select {
	case resp := <-ta.done:
		ha.metrics.count(ha.metricsLabel(re.URL.Path, dr.Class), resp)
		ha.writeResponse(wr, resp)
	case st := <-ta.stream:
		ha.writeStream(wr, re, ta, id, st)
	case <-re.Context().Done():
		ha.abandon(id)
	}
}

// writeResponse writes a response that is not streamed.
func (ha *Handler) writeResponse(wr http.ResponseWriter, re dispatch.Respond) {
	ha.setOutcome(wr.Header(), re.Outcome, re.Reason, re.NextTicket)
	if re.Outcome != ledger.Answered {
		http.Error(wr, re.Outcome.String()+": "+re.Reason.String(), outcome.Status(re.Outcome, re.Reason))
		return
	}
	for _, fi := range re.Answer.Header {
		wr.Header().Add(fi.Name, fi.Value)
	}
	wr.WriteHeader(re.Answer.Status)
	_, _ = wr.Write(re.Answer.Body) // A caller that lost the answer repeats the request.
}

// setOutcome sets the header fields of the outcome, of this host and of the
// ticket for the caller's next request, if there is one.
func (ha *Handler) setOutcome(he http.Header, ou ledger.Outcome, re dispatch.Reason, next ledger.Ticket) {
	outcome.Write(he, ou, re)
	he.Set(outcome.HeaderHost, ha.home.Host.String())
	if next.Valid() {
		he.Set(ticket.Header, ha.ticketCodec.Encode(next))
	}
}

// writeStream streams an answer to the caller and sends the result to the
// goroutine that executes the request. It panics with http.ErrAbortHandler
// unless the complete answer was written.
func (ha *Handler) writeStream(wr http.ResponseWriter, re *http.Request, ta *task, id dispatch.RequestID, st answerStream) {
	ha.setOutcome(wr.Header(), ledger.Answered, dispatch.ReasonNone, st.nextTicket)
	for _, fi := range headerFields(st.answer.Header) {
		wr.Header().Add(fi.Name, fi.Value)
	}
	wr.WriteHeader(st.answer.StatusCode)
	_, err := io.Copy(wr, io.MultiReader(bytes.NewReader(st.prefix), st.answer.Body))
	if err == nil {
		st.result <- dispatch.ResultComplete
		ha.metrics.count(ha.metricsLabel(re.URL.Path, ta.request.Class), dispatch.Respond{Outcome: ledger.Answered})
		return
	}
	if re.Context().Err() != nil {
		ha.abandon(id)
	}
	st.result <- dispatch.ResultTruncated
	panic(http.ErrAbortHandler)
}

// refuse answers a request that is not passed to the dispatcher.
func refuse(wr http.ResponseWriter, status int, ou ledger.Outcome, err error) {
	wr.Header().Set(outcome.HeaderOutcome, ou.String())
	http.Error(wr, ou.String()+": "+err.Error(), status)
}

// headerFields returns the header as a list of fields, without those that
// belong to one connection.
func headerFields(he http.Header) []ledger.Field {
	var list []ledger.Field
	for name, values := range he {
		if hopByHop(name) {
			continue
		}
		for _, value := range values {
			list = append(list, ledger.Field{Name: name, Value: value})
		}
	}
	return list
}

// hopByHop reports whether a field in canonical form belongs to one connection
// (RFC 9110, section 7.6.1).
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}
