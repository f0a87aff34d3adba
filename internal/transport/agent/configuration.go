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

// openFollower makes the follower, which receives configuration changes by gossip
// and requests missed ones from the balancers. An agent never calls the store. It
// also sets the handler of operators' status queries.
func (ag *Agent) openFollower(mux *link.Mux) {
	ag.follower = follower.New(follower.Config{
		Self:    rollout.Member{Address: ag.ControlAddress(), Domain: ag.cfg.Domain},
		Pool:    ag.pool,
		Apply:   ag.apply,
		Publish: follower.PublishTo(ag.fleet.Publish),
	})
	ag.follower.Register(mux)
	link.On(mux, message.KindQuery, func(context.Context, link.Peer, command.Query) (any, error) {
		return command.Status{Version: ag.follower.State().Version(), Flows: int(ag.connections.Load())}, nil
	})
}

// members returns the peers from which the follower may request the configuration:
// the known balancers. As long as none is known, these are the seeds of the
// settings, all of which may have been replaced, and the other agents of the
// service, which answer with the configuration that they have in force.
func (ag *Agent) members() []rollout.Member {
	members := follower.MembersOf(ag.fleet.Balancers())
	if len(members) > 0 {
		return members
	}
	for _, seed := range ag.cfg.Seeds {
		members = append(members, rollout.Member{Address: seed})
	}
	for _, ho := range ag.fleet.Hosts() {
		if ho.Control != ag.ControlAddress() {
			members = append(members, rollout.Member{Address: ho.Control, Domain: ho.Domain})
		}
	}
	return members
}

// apply puts this host's service of an accepted configuration in force.
func (ag *Agent) apply(co *catalog.Configuration) {
	ag.cfg.Registry.Count("ConfigurationsApplied", 1)
	for _, sv := range co.Services {
		if sv.ID == ag.service {
			ag.handler.SetService(sv)
		}
	}
}

// Configuration returns the configuration in force, nil before the first.
func (ag *Agent) Configuration() *catalog.Configuration {
	st := ag.follower.State()
	if st == nil {
		return nil
	}
	return st.Configuration
}
