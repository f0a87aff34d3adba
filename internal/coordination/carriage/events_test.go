package carriage

import "time"

// event is a function that the simulation runs at a time. Events of the same time
// run in the order in which they were scheduled.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (ev events) Len() int { return len(ev) }
func (ev events) Less(i, j int) bool {
	if ev[i].at.Equal(ev[j].at) {
		return ev[i].order < ev[j].order
	}
	return ev[i].at.Before(ev[j].at)
}
func (ev events) Swap(i, j int) { ev[i], ev[j] = ev[j], ev[i] }
func (ev *events) Push(x any)   { *ev = append(*ev, x.(event)) }
func (ev *events) Pop() any {
	last := len(*ev) - 1
	it := (*ev)[last]
	*ev = (*ev)[:last]
	return it
}
