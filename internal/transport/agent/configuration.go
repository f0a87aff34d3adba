package agent

import (
	"context"

	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/transport/follower"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

// follow prepares the follower, which hears of changes by gossip and asks the
// balancers for what it missed. An agent never calls the store.
func (ag *Agent) follow(mux *link.Mux) {
	ag.follower = follower.New(follower.Config{
		Self:    rollout.Member{Address: ag.Control(), Domain: ag.cfg.Domain},
		Pool:    ag.pool,
		Apply:   ag.configuration.Store,
		Publish: follower.PublishTo(ag.fleet.Publish),
	})
	ag.follower.Register(mux)
	link.On(mux, message.KindQuery, func(context.Context, link.Peer, command.Query) (any, error) {
		return command.Status{Version: ag.follower.State().Version(), Flows: int(ag.connections.Load())}, nil
	})
}

// Configuration returns what is in force, nil before the first one has come.
func (ag *Agent) Configuration() *catalog.Configuration {
	return ag.configuration.Load()
}

// deferrable reports whether the configuration makes requests of the path
// deferrable. A caller can lower its own requests further, never raise them.
func (ag *Agent) deferrable(path string) bool {
	cfg := ag.Configuration()
	if cfg == nil {
		return false
	}
	sv, known := cfg.ServiceByID(ag.service)
	if !known {
		return false
	}
	cl, known := sv.Class(path)
	return known && !cl.Urgent
}
