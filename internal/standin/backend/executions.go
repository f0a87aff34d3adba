package backend

import (
	"sync"
	"time"
)

// Execution is one run of a request, as the server's own book records it.
type Execution struct {
	// Identity is the caller's own name for the request.
	Identity string
	// Path is the request's path.
	Path string
	// Service is the service that the request was meant for, by its caller.
	Service string
	// StartedAt is when the server began the work.
	StartedAt time.Time
	// FinishedAt is when the work was done, or zero while it is not.
	FinishedAt time.Time
	// Cancelled tells that the caller's cancellation ended the work.
	Cancelled bool
}

// Book records every run of one server. It is safe for concurrent use.
type Book struct {
	mu   sync.Mutex
	runs []Execution
}

// start records the start of a run and returns its position.
func (bo *Book) start(ru Execution) int {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.runs = append(bo.runs, ru)
	return len(bo.runs) - 1
}

// finish records the end of a run.
func (bo *Book) finish(position int, at time.Time, cancelled bool) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.runs[position].FinishedAt = at
	bo.runs[position].Cancelled = cancelled
}

// All returns a copy of the book.
func (bo *Book) All() []Execution {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return append([]Execution(nil), bo.runs...)
}
