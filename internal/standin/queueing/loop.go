package queueing

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which each run starts.
var epoch = time.Unix(1_700_000_000, 0)

// event is a function to run at a virtual time.
type event struct {
	time   time.Time
	number uint64
	run    func()
}

// eventLoop runs events in the order of their virtual time.
type eventLoop struct {
	now        time.Time
	events     eventHeap
	lastNumber uint64
}

// schedule adds an event that runs the function at the time.
func (el *eventLoop) schedule(at time.Time, run func()) {
	el.lastNumber++
	heap.Push(&el.events, event{time: at, number: el.lastNumber, run: run})
}

// scheduleAfter adds an event that runs the function after the delay.
func (el *eventLoop) scheduleAfter(delay time.Duration, run func()) {
	el.schedule(el.now.Add(delay), run)
}

// runUntil runs all events before the end. During each, now is its time.
func (el *eventLoop) runUntil(end time.Time) {
	for len(el.events) > 0 && el.events[0].time.Before(end) {
		ev := heap.Pop(&el.events).(event)
		el.now = ev.time
		ev.run()
	}
}

// eventHeap holds the scheduled events. It implements heap.Interface.
type eventHeap []event

// Len returns the number of events.
func (eh eventHeap) Len() int { return len(eh) }

// Less orders events by time, then by the order in which they were scheduled.
func (eh eventHeap) Less(i, j int) bool {
	if eh[i].time.Equal(eh[j].time) {
		return eh[i].number < eh[j].number
	}
	return eh[i].time.Before(eh[j].time)
}

// Swap exchanges two events.
func (eh eventHeap) Swap(i, j int) { eh[i], eh[j] = eh[j], eh[i] }

// Push appends an event.
func (eh *eventHeap) Push(x any) { *eh = append(*eh, x.(event)) }

// Pop removes and returns the last element.
func (eh *eventHeap) Pop() any {
	last := len(*eh) - 1
	ev := (*eh)[last]
	*eh = (*eh)[:last]
	return ev
}
