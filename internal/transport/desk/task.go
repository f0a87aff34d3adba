package desk

import (
	"context"
	"net/http"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/protocol/relay"
	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// task is a request that was reported to the dispatcher. Its fields other than
// the channels are guarded by Handler.mu or do not change.
type task struct {
	request relay.Request
	// done takes the dispatcher's response.
	done chan dispatch.Respond
	// stream takes an answer that is too long to be buffered.
	stream chan answerStream
	// cancel ends the execution at this host's backend server. It is nil before
	// the execution starts.
	cancel context.CancelFunc
	// waiting is set while the caller or agent that sent the request awaits the
	// response.
	waiting bool
	// running is set while this host's backend server runs the request.
	running bool
}

// answerStream is an answer of the backend server that is streamed to the
// caller.
type answerStream struct {
	answer *http.Response
	// prefix is the part of the body that was already read from answer.
	prefix     []byte
	nextTicket ledger.Ticket
	// result takes the result once the answer was streamed or broke off.
	result chan dispatch.Result
}

// requestsPerSweep is the number of new requests after which sweep is called.
const requestsPerSweep = 1024

// newTask returns the task of a request.
func newTask(re relay.Request) *task {
	return &task{
		request: re,
		done:    make(chan dispatch.Respond, 1),
		stream:  make(chan answerStream),
		waiting: true,
	}
}

// cancelRun ends the execution at this host's backend server, if there is one.
func (ta *task) cancelRun() {
	if ta != nil && ta.cancel != nil {
		ta.cancel()
	}
}

// open assigns the next number to a request, reports the request to the
// dispatcher and returns the number.
func (ha *Handler) open(ta *task, re dispatch.Request) dispatch.RequestID {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.lastID++
	re.ID = ha.lastID
	if re.ID%requestsPerSweep == 0 {
		ha.sweep()
	}
	ha.tasks[re.ID] = ta
	if re.Origin != dispatch.OriginCaller {
		ha.idByPeerRequest[ta.peerRequest()] = re.ID
	}
	ha.handleLocked(dispatch.Arrived{Request: re})
	return re.ID
}

// sweep forgets tasks that were still in progress when their sender stopped
// waiting, and that the dispatcher has dropped since without an action. The lock
// must be held.
func (ha *Handler) sweep() {
	for id, ta := range ha.tasks {
		ha.release(id, ta)
	}
}

// peerRequest returns the identity of the request at the agent that sent it.
func (ta *task) peerRequest() peerRequest {
	return peerRequest{peer: ta.request.From, number: ta.request.Number}
}

// abandon reports to the dispatcher that the sender of the request no longer
// waits. It does nothing if the request was already answered or abandoned.
func (ha *Handler) abandon(id dispatch.RequestID) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ta, ok := ha.tasks[id]
	if !ok || !ta.waiting {
		return
	}
	ta.waiting = false
	ha.handleLocked(dispatch.Abandoned{ID: id})
	ha.release(id, ta)
}

// respond passes the dispatcher's response to the goroutine that serves the
// request. The lock must be held.
func (ha *Handler) respond(re dispatch.Respond) {
	ta, ok := ha.tasks[re.ID]
	if !ok {
		return
	}
	ta.waiting = false
	ta.done <- re
	ha.release(re.ID, ta)
}

// release forgets a task unless its sender waits, it runs here, or the
// dispatcher still needs it. The dispatcher keeps an abandoned unrepeatable
// request for its repeats, and needs its content until it has run. The lock must
// be held.
func (ha *Handler) release(id dispatch.RequestID, ta *task) {
	if ta.waiting || ta.running || ha.dispatcher.InProgress(id) {
		return
	}
	delete(ha.tasks, id)
	delete(ha.idByPeerRequest, ta.peerRequest())
}
