package desk

import (
	"context"
	"net/http"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/protocol/relay"
	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// task is a request that the core holds. Its fields other than the channels
// are guarded by Desk.mu or do not change.
type task struct {
	request relay.Request
	// done takes the core's response.
	done chan dispatch.Respond
	// stream takes an answer that is too long to be read whole first.
	stream chan stream
	// run is the execution at the own backend server, if any.
	run context.CancelFunc
	// waiting is set while the request's sender waits.
	waiting bool
	// running is set while the own backend server runs the request.
	running bool
}

// stream is an answer on its way from the backend server.
type stream struct {
	answer *http.Response
	// prefix is the part of the body that was read already.
	prefix []byte
	fresh  ledger.Ticket
	// result takes how the stream ended.
	result chan dispatch.Result
}

// sweepEvery is the number of requests between two sweeps.
const sweepEvery = 1024

// newTask returns the task of a request.
func newTask(re relay.Request) *task {
	return &task{
		request: re,
		done:    make(chan dispatch.Respond, 1),
		stream:  make(chan stream),
		waiting: true,
	}
}

// cancelRun ends the execution at the own backend server.
func (ta *task) cancelRun() {
	if ta != nil && ta.run != nil {
		ta.run()
	}
}

// open gives a request to the core and returns its number.
func (de *Handler) open(ta *task, re dispatch.Request) dispatch.RequestID {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.lastID++
	re.ID = de.lastID
	if re.ID%sweepEvery == 0 {
		de.sweep()
	}
	de.tasks[re.ID] = ta
	if re.Origin != dispatch.OriginCaller {
		de.numbers[ta.origin()] = re.ID
	}
	de.handle(dispatch.Arrived{Request: re})
	return re.ID
}

// sweep forgets tasks that the core let go of after their sender had left. The
// caller holds the lock.
func (de *Handler) sweep() {
	for id, ta := range de.tasks {
		de.release(id, ta)
	}
}

// origin names the task as the agent that passed it on does.
func (ta *task) origin() origin {
	return origin{from: ta.request.From, number: ta.request.Number}
}

// leave tells the core that nobody waits for the request any longer.
func (de *Handler) leave(id dispatch.RequestID) {
	de.mu.Lock()
	defer de.mu.Unlock()
	ta, ok := de.tasks[id]
	if !ok || !ta.waiting {
		return
	}
	ta.waiting = false
	de.handle(dispatch.Abandoned{ID: id})
	de.release(id, ta)
}

// respond gives the core's response to whoever waits. The caller holds the
// lock.
func (de *Handler) respond(re dispatch.Respond) {
	ta, ok := de.tasks[re.ID]
	if !ok {
		return
	}
	ta.waiting = false
	ta.done <- re
	de.release(re.ID, ta)
}

// release forgets a task that nobody waits for and that does not run. An
// unrepeatable request that waits here for its repeats is kept by the core,
// which needs its content until it has run.
func (de *Handler) release(id dispatch.RequestID, ta *task) {
	if ta.waiting || ta.running || de.core.InProgress(id) {
		return
	}
	delete(de.tasks, id)
	delete(de.numbers, ta.origin())
}
