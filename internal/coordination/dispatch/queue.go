package dispatch

import "net/netip"

// fairQueue holds the waiting jobs of one class and serves its callers in turn.
// A job is removed by changing its stage; the queue skips it later.
type fairQueue struct {
	// turns are the callers with waiting jobs in the order of their service.
	turns   []netip.Addr
	callers map[netip.Addr]*line
	length  int
	// movable is the number of waiting jobs that a peer may run.
	movable int
}

// line holds the jobs of one caller in the order of their arrival.
type line struct {
	jobs   []*job
	length int
}

// newFairQueue returns an empty queue.
func newFairQueue() *fairQueue {
	return &fairQueue{callers: make(map[netip.Addr]*line)}
}

// push appends the job to the line of its caller.
func (fq *fairQueue) push(jo *job) {
	li, ok := fq.callers[jo.Caller]
	if !ok {
		li = &line{}
		fq.callers[jo.Caller] = li
		fq.turns = append(fq.turns, jo.Caller)
	}
	jo.stage = stageQueued
	li.jobs = append(li.jobs, jo)
	li.length++
	fq.count(jo, 1)
}

// next removes and returns the job whose turn it is and that the filter
// accepts, or nil.
func (fq *fairQueue) next(accept func(*job) bool) *job {
	for tries := len(fq.turns); tries > 0; tries-- {
		caller := fq.turns[0]
		fq.turns = fq.turns[1:]
		li := fq.callers[caller]
		li.compact()
		jo := li.take(accept)
		if len(li.jobs) == 0 {
			delete(fq.callers, caller)
		} else {
			fq.turns = append(fq.turns, caller)
		}
		if jo != nil {
			fq.count(jo, -1)
			return jo
		}
	}
	return nil
}

// forget accounts for a queued job that left the queue by itself.
func (fq *fairQueue) forget(jo *job) {
	fq.count(jo, -1)
	if li, ok := fq.callers[jo.Caller]; ok {
		li.length--
	}
}

// count accounts for a job that came or left.
func (fq *fairQueue) count(jo *job, change int) {
	fq.length += change
	if jo.movable() {
		fq.movable += change
	}
}

// longest returns the caller with the most waiting jobs and their number.
func (fq *fairQueue) longest() (netip.Addr, int) {
	var caller netip.Addr
	most := 0
	for _, ca := range fq.turns {
		if count := fq.callers[ca].length; count > most {
			caller, most = ca, count
		}
	}
	return caller, most
}

// waiting returns the number of waiting jobs of the caller.
func (fq *fairQueue) waiting(caller netip.Addr) int {
	if li, ok := fq.callers[caller]; ok {
		return li.length
	}
	return 0
}

// newest returns the job of the caller that arrived last, or nil.
func (fq *fairQueue) newest(caller netip.Addr) *job {
	li, ok := fq.callers[caller]
	if !ok {
		return nil
	}
	for at := len(li.jobs) - 1; at >= 0; at-- {
		if li.jobs[at].stage == stageQueued {
			return li.jobs[at]
		}
	}
	return nil
}

// compact drops the jobs at the head that left the queue.
func (li *line) compact() {
	for len(li.jobs) > 0 && li.jobs[0].stage != stageQueued {
		li.jobs = li.jobs[1:]
	}
}

// take removes and returns the first waiting job that the filter accepts.
func (li *line) take(accept func(*job) bool) *job {
	for at, jo := range li.jobs {
		if jo.stage != stageQueued || !accept(jo) {
			continue
		}
		jo.stage = stageChosen
		li.length--
		if at == 0 {
			li.jobs = li.jobs[1:]
		}
		li.compact()
		return jo
	}
	return nil
}
