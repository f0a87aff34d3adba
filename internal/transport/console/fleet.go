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
	// askTimeout bounds a question to one process.
	askTimeout = 2 * time.Second
	// maxQuestions bounds the agents that are asked at once.
	maxQuestions = 32
	// maxFlowHosts bounds the agents that are asked for their flows.
	maxFlowHosts = 1024
)

// ErrNoBalancer says that none of the balancers in the settings answered.
var ErrNoBalancer = errors.New("no balancer answers")

// NewFleet returns a Fleet that asks the balancers in turn over links.
func NewFleet(pool *link.Pool, balancers []netip.AddrPort) Fleet {
	li := &links{pool: pool, balancers: balancers}
	return Fleet{Ask: li.ask, Flows: li.flows, Snapshot: li.snapshot}
}

type links struct {
	pool      *link.Pool
	balancers []netip.AddrPort
}

// each calls the balancers in turn until one answers.
func (li *links) each(ctx context.Context, kind message.Kind, body, target any) error {
	last := ErrNoBalancer
	for _, ba := range li.balancers {
		calling, cancel := context.WithTimeout(ctx, askTimeout)
		err := li.pool.Call(calling, ba, kind, body, target)
		cancel()
		if err == nil {
			return nil
		}
		last = errors.Wrapf(ErrNoBalancer, "ask balancer %s: %v", ba, err)
	}
	return last
}

func (li *links) ask(ctx context.Context, qu command.Query) (command.Status, error) {
	var st command.Status
	err := li.each(ctx, message.KindQuery, qu, &st)
	return st, err
}

func (li *links) flows(ctx context.Context, st command.Status) []HostFlows {
	hosts := st.Hosts[:min(len(st.Hosts), maxFlowHosts)]
	found := make([]HostFlows, len(hosts))
	slots := make(chan struct{}, maxQuestions)
	var pending sync.WaitGroup
	for i, ho := range hosts {
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			calling, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			var answer command.Status
			found[i].Host = ho.Address
			if err := li.pool.Call(calling, ho.Control, message.KindQuery, command.Query{}, &answer); err != nil {
				found[i].Failure = err.Error()
				return
			}
			found[i].Flows = answer.Flows
		})
	}
	pending.Wait()
	return found
}

// snapshot fetches the version in force from one balancer.
func (li *links) snapshot(ctx context.Context) (*change.Snapshot, error) {
	var qu rollout.CatchUpRequest
	var sn *change.Snapshot
	for {
		var do rollout.CatchUpResponse
		if err := li.each(ctx, message.KindCatchUp, qu, &do); err != nil {
			return nil, err
		}
		if do.Root == nil {
			return nil, errors.New("the balancer has no configuration in force")
		}
		ro, err := change.DecodeRoot(do.Root)
		if err != nil {
			return nil, err
		}
		if sn == nil || sn.Root.Version != ro.Version {
			sn = &change.Snapshot{Root: ro}
		}
		sn.Values = append(sn.Values, do.Values...)
		missing := sn.Missing()
		if len(missing) == 0 {
			return sn, nil
		}
		if len(do.Values) == 0 {
			return nil, errors.New("the balancer gave no shards")
		}
		qu = rollout.CatchUpRequest{}
		for _, sh := range missing {
			qu.Names = append(qu.Names, sh.Name)
		}
	}
}
