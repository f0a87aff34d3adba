// Package workload computes what a host still has to do before it can begin a further
// request. Host follows the requests of the host and takes into account the expected
// rest of each at its age, what is queued and what open flows are expected
// to bring.
//
// Host also checks its own predictions: Figures.Advantage says by how much the rest of
// requests in progress is known better from their kind and age than from their number.
//
// The package uses no clock, goroutines or randomness.
//
// # Usage
//
//	ho := workload.NewHost()
//	ho.SetSlots(2)
//	rq := ho.Expect(key)        // an opening is handed to the host
//	ho.Begin(now, rq, key)      // the request's data is handed to the host
//	ho.Answered(now, rq)        // the host begins the answer
//	figures := ho.Figures(now, len(queue), openFlows)
package workload
