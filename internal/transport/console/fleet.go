package console

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

const (
	// callTimeout bounds a call to one process.
	callTimeout = 2 * time.Second
	// maxConcurrentCalls bounds the agents that are asked for their flows at the
	// same time.
	maxConcurrentCalls = 32
	// maxFlowHosts bounds the agents that are asked for their flows in all.
	maxFlowHosts = 1024
)

// ErrNoBalancer says that none of the balancers in the settings answered.
var ErrNoBalancer = errors.New("no balancer answers")

// NewFleet returns a Fleet that sends its queries over the pool's links. A query
// to a balancer goes to the given ones in turn until one answers.
func NewFleet(pool *link.Pool, balancers []netip.AddrPort) Fleet {
	cl := &fleetClient{pool: pool, balancers: balancers}
	return Fleet{Ask: cl.ask, Flows: cl.flows, Snapshot: cl.snapshot}
}

// fleetClient implements the functions of a Fleet over links.
type fleetClient struct {
	pool      *link.Pool
	balancers []netip.AddrPort
}

// callAny calls the balancers in turn until one answers. If none does, it
// returns ErrNoBalancer, wrapped with the last balancer's address and error.
func (cl *fleetClient) callAny(ctx context.Context, kind message.Kind, body, target any) error {
	last := ErrNoBalancer
	for _, ba := range cl.balancers {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := cl.pool.Call(callCtx, ba, kind, body, target)
		cancel()
		if err == nil {
			return nil
		}
		last = errors.Wrapf(ErrNoBalancer, "ask balancer %s: %v", ba, err)
	}
	return last
}

func (cl *fleetClient) ask(ctx context.Context, qu command.Query) (command.Status, error) {
	var st command.Status
	err := cl.callAny(ctx, message.KindQuery, qu, &st)
	return st, err
}

// flows asks the agents of the first maxFlowHosts hosts of the status. Hosts beyond
// them are left out of the result.
func (cl *fleetClient) flows(ctx context.Context, st command.Status) []HostFlows {
	hosts := st.Hosts[:min(len(st.Hosts), maxFlowHosts)]
	found := make([]HostFlows, len(hosts))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var pending sync.WaitGroup
	for i, ho := range hosts {
		semaphore <- struct{}{}
		pending.Go(func() {
			defer func() { <-semaphore }()
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var answer command.Status
			found[i].Host = ho.Address
			if err := cl.pool.Call(callCtx, ho.Control, message.KindQuery, command.Query{}, &answer); err != nil {
				found[i].Failure = err.Error()
				return
			}
			found[i].Flows = answer.Flows
		})
	}
	pending.Wait()
	return found
}

// snapshot fetches the configuration in force at a balancer. A response may hold
// only a part of the shards; the missing ones are requested by name. If another
// version comes into force meanwhile, the fetch begins anew with that one.
func (cl *fleetClient) snapshot(ctx context.Context) (*change.Snapshot, error) {
	var rq rollout.CatchUpRequest
	var sn *change.Snapshot
	for {
		var resp rollout.CatchUpResponse
		if err := cl.callAny(ctx, message.KindCatchUp, rq, &resp); err != nil {
			return nil, err
		}
		if resp.Root == nil {
			return nil, errors.New("the balancer has no configuration in force")
		}
		ro, err := change.DecodeRoot(resp.Root)
		if err != nil {
			return nil, err
		}
		if sn == nil || sn.Root.Version != ro.Version {
			sn = &change.Snapshot{Root: ro}
		}
		sn.Values = append(sn.Values, resp.Values...)
		missing := sn.Missing()
		if len(missing) == 0 {
			return sn, nil
		}
		if len(resp.Values) == 0 {
			return nil, errors.New("the balancer sent none of the missing shards")
		}
		rq = rollout.CatchUpRequest{}
		for _, sh := range missing {
			rq.Names = append(rq.Names, sh.Name)
		}
	}
}
