package dispatch

import "net/netip"

// fairQueue holds the queued jobs of one class and serves their callers round
// robin. A job also leaves the queue when its stage changes: countRemoved
// accounts for it, and its entry is skipped and dropped later.
type fairQueue struct {
	// rotation lists the callers with entries in the order in which they are
	// served.
	rotation []netip.Addr
	callers  map[netip.Addr]*callerQueue
	length   int
	// delegable is the number of queued jobs that a peer may run.
	delegable int
}

// callerQueue holds the jobs of one caller in the order of their arrival. Jobs
// may include some that left the queue; length does not count them.
type callerQueue struct {
	jobs   []*job
	length int
}

// newFairQueue returns an empty queue.
func newFairQueue() *fairQueue {
	return &fairQueue{callers: make(map[netip.Addr]*callerQueue)}
}

// push appends the job to the queue of its caller.
func (fq *fairQueue) push(jo *job) {
	cq, ok := fq.callers[jo.Caller]
	if !ok {
		cq = &callerQueue{}
		fq.callers[jo.Caller] = cq
		fq.rotation = append(fq.rotation, jo.Caller)
	}
	jo.stage = stageQueued
	cq.jobs = append(cq.jobs, jo)
	cq.length++
	fq.count(jo, 1)
}

// next removes and returns the first job that accept allows, from the first
// caller in the rotation that has one, or nil. Each caller that was looked at
// moves to the end of the rotation.
func (fq *fairQueue) next(accept func(*job) bool) *job {
	for tries := len(fq.rotation); tries > 0; tries-- {
		caller := fq.rotation[0]
		fq.rotation = fq.rotation[1:]
		cq := fq.callers[caller]
		cq.compact()
		jo := cq.take(accept)
		if len(cq.jobs) == 0 {
			delete(fq.callers, caller)
		} else {
			fq.rotation = append(fq.rotation, caller)
		}
		if jo != nil {
			fq.count(jo, -1)
			return jo
		}
	}
	return nil
}

// countRemoved accounts for a job that leaves the queue other than through
// next.
func (fq *fairQueue) countRemoved(jo *job) {
	fq.count(jo, -1)
	if cq, ok := fq.callers[jo.Caller]; ok {
		cq.length--
	}
}

// count adds the change to the number of queued jobs, and to that of delegable
// ones if the job is delegable.
func (fq *fairQueue) count(jo *job, change int) {
	fq.length += change
	if jo.delegable() {
		fq.delegable += change
	}
}

// longestCaller returns the caller with the most queued jobs and their number.
func (fq *fairQueue) longestCaller() (netip.Addr, int) {
	var caller netip.Addr
	most := 0
	for _, ca := range fq.rotation {
		if count := fq.callers[ca].length; count > most {
			caller, most = ca, count
		}
	}
	return caller, most
}

// callerLength returns the number of queued jobs of the caller.
func (fq *fairQueue) callerLength(caller netip.Addr) int {
	if cq, ok := fq.callers[caller]; ok {
		return cq.length
	}
	return 0
}

// newest returns the queued job of the caller that was queued last, or nil.
func (fq *fairQueue) newest(caller netip.Addr) *job {
	cq, ok := fq.callers[caller]
	if !ok {
		return nil
	}
	for at := len(cq.jobs) - 1; at >= 0; at-- {
		if cq.jobs[at].stage == stageQueued {
			return cq.jobs[at]
		}
	}
	return nil
}

// compact drops the entries at the front whose jobs left the queue.
func (cq *callerQueue) compact() {
	for len(cq.jobs) > 0 && cq.jobs[0].stage != stageQueued {
		cq.jobs = cq.jobs[1:]
	}
}

// take removes and returns the first queued job that accept allows, or nil.
func (cq *callerQueue) take(accept func(*job) bool) *job {
	for at, jo := range cq.jobs {
		if jo.stage != stageQueued || !accept(jo) {
			continue
		}
		jo.stage = stageDequeued
		cq.length--
		if at == 0 {
			cq.jobs = cq.jobs[1:]
		}
		cq.compact()
		return jo
	}
	return nil
}
