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

// ServeHTTP answers a caller's request.
func (de *Handler) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	start := time.Now()
	at, err := outcome.Parse(start, re.Method, re.Header)
	if err != nil {
		refuse(wr, http.StatusBadRequest, ledger.NotRun, err)
		return
	}
	var ti ledger.Ticket
	if at.Token != "" {
		if ti, err = de.sealer.Open(at.Token); err != nil {
			// A ticket under a former key may have run.
			refuse(wr, http.StatusBadRequest, ledger.Unknown, err)
			return
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(wr, re.Body, maxBody))
	if err != nil {
		refuse(wr, http.StatusRequestEntityTooLarge, ledger.NotRun, err)
		return
	}
	at.Class = de.classify(re.URL.Path, at.Class)
	label := de.label(re.URL.Path, at.Class)
	defer func() { de.meters.observe(label, time.Since(start)) }()
	ta := newTask(de.newRequest(re, body, at, ti))
	de.serve(wr, re, ta, dispatch.Request{
		Caller:     ta.request.Caller,
		Class:      at.Class,
		Deadline:   at.Deadline,
		Repeatable: at.Repeatable,
		Ticket:     ti,
		Digest:     ta.request.Digest,
	})
}

// newRequest returns the request in the form in which agents pass it on.
func (de *Handler) newRequest(re *http.Request, body []byte, at outcome.Attributes, ti ledger.Ticket) relay.Request {
	header := re.Header.Clone()
	outcome.Strip(header)
	remote, _ := netip.ParseAddrPort(re.RemoteAddr)
	out := relay.Request{
		Content: relay.Content{
			Method: re.Method,
			Target: re.URL.RequestURI(),
			Header: fields(header),
			Body:   body,
		},
		From:       de.home.Host,
		Service:    de.cfg.Host.Service,
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

// digest identifies the content of a request.
func digest(co relay.Content) ledger.Digest {
	ha := sha256.New()
	for _, part := range [][]byte{[]byte(co.Method), []byte(co.Target), co.Body} {
		ha.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		ha.Write(part)
	}
	return ledger.Digest(ha.Sum(nil))
}

// serve waits for the outcome of a caller's request and writes it.
func (de *Handler) serve(wr http.ResponseWriter, re *http.Request, ta *task, dr dispatch.Request) {
	id := de.open(ta, dr)
	select {
	case resp := <-ta.done:
		de.meters.count(de.label(re.URL.Path, dr.Class), resp)
		de.write(wr, resp)
	case st := <-ta.stream:
		de.copy(wr, re, ta, id, st)
	case <-re.Context().Done():
		de.leave(id)
	}
}

// write sends a response that was read whole.
func (de *Handler) write(wr http.ResponseWriter, re dispatch.Respond) {
	de.mark(wr.Header(), re.Outcome, re.Reason, re.NextTicket)
	if re.Outcome != ledger.Answered {
		http.Error(wr, re.Outcome.String()+": "+re.Reason.String(), outcome.Status(re.Outcome, re.Reason))
		return
	}
	for _, fi := range re.Answer.Header {
		wr.Header().Add(fi.Name, fi.Value)
	}
	wr.WriteHeader(re.Answer.Status)
	_, _ = wr.Write(re.Answer.Body) // A caller that left repeats the request.
}

// mark writes the outcome and the fresh ticket into the header of an answer.
func (de *Handler) mark(he http.Header, ou ledger.Outcome, re dispatch.Reason, fresh ledger.Ticket) {
	outcome.Mark(he, ou, re)
	he.Set(outcome.HeaderHost, de.home.Host.String())
	if fresh.Valid() {
		he.Set(ticket.Header, de.sealer.Seal(fresh))
	}
}

// copy streams an answer and tells its execution how that ended. The stream is
// reset unless the answer was whole.
func (de *Handler) copy(wr http.ResponseWriter, re *http.Request, ta *task, id dispatch.RequestID, st stream) {
	de.mark(wr.Header(), ledger.Answered, dispatch.ReasonNone, st.fresh)
	for _, fi := range fields(st.answer.Header) {
		wr.Header().Add(fi.Name, fi.Value)
	}
	wr.WriteHeader(st.answer.StatusCode)
	_, err := io.Copy(wr, io.MultiReader(bytes.NewReader(st.prefix), st.answer.Body))
	if err == nil {
		st.result <- dispatch.ResultComplete
		de.meters.count(de.label(re.URL.Path, ta.request.Class), dispatch.Respond{Outcome: ledger.Answered})
		return
	}
	if re.Context().Err() != nil {
		de.leave(id)
	}
	st.result <- dispatch.ResultTruncated
	panic(http.ErrAbortHandler)
}

// refuse answers a request that the core does not see.
func refuse(wr http.ResponseWriter, status int, ou ledger.Outcome, err error) {
	wr.Header().Set(outcome.HeaderOutcome, ou.String())
	http.Error(wr, ou.String()+": "+err.Error(), status)
}

// fields returns a header as answers are recorded.
func fields(he http.Header) []ledger.Field {
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

// hopByHop reports whether a field belongs to one connection (RFC 9110,
// section 7.6.1).
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}
