package backend

import (
	"sync"
	"time"
)

// Execution is one execution of a request. A request that is repeated and
// executed again has several.
type Execution struct {
	// Identity is the value of the request's HeaderIdentity.
	Identity string
	// Path is the request's path.
	Path string
	// Service is the name of the service that the caller addressed.
	Service string
	// StartedAt is when the execution began.
	StartedAt time.Time
	// FinishedAt is when the execution ended, zero while it runs.
	FinishedAt time.Time
	// Cancelled reports whether the execution was ended early, by the caller's
	// cancellation or because the server stops.
	Cancelled bool
}

// ExecutionLog records every execution of one server. It is safe for concurrent use.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
}

// start records the start of an execution and returns its index.
func (el *ExecutionLog) start(ex Execution) int {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.executions = append(el.executions, ex)
	return len(el.executions) - 1
}

// finish records the end of the execution at the index.
func (el *ExecutionLog) finish(index int, at time.Time, cancelled bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.executions[index].FinishedAt = at
	el.executions[index].Cancelled = cancelled
}

// All returns a copy of all executions, in the order of their start.
func (el *ExecutionLog) All() []Execution {
	el.mu.Lock()
	defer el.mu.Unlock()
	return append([]Execution(nil), el.executions...)
}
