package queueing

import (
	"container/heap"
	"time"
)

// epoch is the time at which each run starts.
var epoch = time.Unix(1_700_000_000, 0)

// step is something that happens at a time.
type step struct {
	at     time.Time
	number uint64
	run    func()
}

// loop runs steps in the order of their time.
type loop struct {
	now    time.Time
	steps  steps
	number uint64
}

// at runs the function at the time.
func (lo *loop) at(at time.Time, run func()) {
	lo.number++
	heap.Push(&lo.steps, step{at: at, number: lo.number, run: run})
}

// after runs the function after the delay.
func (lo *loop) after(delay time.Duration, run func()) {
	lo.at(lo.now.Add(delay), run)
}

// runUntil runs all steps before the end.
func (lo *loop) runUntil(end time.Time) {
	for len(lo.steps) > 0 && lo.steps[0].at.Before(end) {
		st := heap.Pop(&lo.steps).(step)
		lo.now = st.at
		st.run()
	}
}

// steps implements heap.Interface.
type steps []step

// Len returns the number of steps.
func (ss steps) Len() int { return len(ss) }

// Less orders steps by time, then by the order in which they were added.
func (ss steps) Less(i, j int) bool {
	if ss[i].at.Equal(ss[j].at) {
		return ss[i].number < ss[j].number
	}
	return ss[i].at.Before(ss[j].at)
}

// Swap exchanges two steps.
func (ss steps) Swap(i, j int) { ss[i], ss[j] = ss[j], ss[i] }

// Push appends a step.
func (ss *steps) Push(x any) { *ss = append(*ss, x.(step)) }

// Pop removes the last step.
func (ss *steps) Pop() any {
	last := len(*ss) - 1
	st := (*ss)[last]
	*ss = (*ss)[:last]
	return st
}
