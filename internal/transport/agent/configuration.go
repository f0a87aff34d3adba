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
		Apply:   ag.apply,
		Publish: follower.PublishTo(ag.fleet.Publish),
	})
	ag.follower.Register(mux)
	link.On(mux, message.KindQuery, func(context.Context, link.Peer, command.Query) (any, error) {
		return command.Status{Version: ag.follower.State().Version(), Flows: int(ag.connections.Load())}, nil
	})
}

// members returns the balancers that the fleet's view knows. As long as it knows
// none, it returns those of the settings, all of which may have been replaced,
// and the other agents of the service, which give what they have.
func (ag *Agent) members() []rollout.Member {
	members := follower.MembersOf(ag.fleet.Balancers())
	if len(members) > 0 {
		return members
	}
	for _, seed := range ag.cfg.Seeds {
		members = append(members, rollout.Member{Address: seed})
	}
	for _, ho := range ag.fleet.Hosts() {
		if ho.Control != ag.Control() {
			members = append(members, rollout.Member{Address: ho.Control, Domain: ho.Domain})
		}
	}
	return members
}

// apply puts the part of an accepted configuration in force that concerns this
// host's service.
func (ag *Agent) apply(co *catalog.Configuration) {
	ag.cfg.Board.Count("ConfigurationsApplied", 1)
	for _, sv := range co.Services {
		if sv.ID == ag.service {
			ag.desk.SetService(sv)
		}
	}
}

// Configuration returns what is in force, nil before the first one has come.
func (ag *Agent) Configuration() *catalog.Configuration {
	st := ag.follower.State()
	if st == nil {
		return nil
	}
	return st.Configuration
}
