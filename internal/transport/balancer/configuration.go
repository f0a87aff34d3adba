package balancer

import (
	"context"
	"fmt"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/follower"
	"corneltiller.dev/corneltiller/internal/transport/link"
	"corneltiller.dev/corneltiller/internal/transport/store"
)

// openFollower makes the follower, which applies each accepted configuration.
func (ba *Balancer) openFollower(mux *link.Mux) {
	fc := follower.Config{
		Self:    ba.member(),
		Pool:    ba.pool,
		Apply:   ba.reconfigure,
		Publish: follower.PublishTo(ba.updater.fleet.Publish),
		OnNotice: func(no rollout.Notice) {
			ba.cfg.Registry.Count("Configuration"+no.Kind.String(), 1)
		},
	}
	if ba.cfg.Platform.IsValid() {
		fc.Store = &store.Client{Address: ba.cfg.Platform}
	}
	ba.follower = follower.New(fc)
	ba.follower.Register(mux)
	ba.follower.SetMembers(ba.members())
}

// member returns the balancer's own entry among the members.
func (ba *Balancer) member() rollout.Member {
	return rollout.Member{Address: ba.ControlAddress(), Domain: ba.cfg.Domain}
}

// members returns the live balancers, this one included.
func (ba *Balancer) members() []rollout.Member {
	return follower.MembersOf(ba.updater.fleet.Balancers(), ba.member())
}

// reconfigure puts an accepted configuration in force, with the hosts' weights
// that follow from it.
func (ba *Balancer) reconfigure(cfg *catalog.Configuration) {
	ba.Apply(cfg)
	ba.updater.rebuild()
}

// Configuration returns the configuration in force.
func (ba *Balancer) Configuration() *catalog.Configuration {
	return ba.configuration.Load()
}

// weight returns the weight of a host for new flows: the announced weight scaled
// by the configuration's rule, zero if the host may take none. Without an accepted
// configuration the announced weight counts.
func (ba *Balancer) weight(ho register.Host) uint16 {
	cfg := ba.configuration.Load()
	if cfg.Version == (catalog.Version{}) {
		return ho.Weight
	}
	sv, known := cfg.ServiceByID(ho.Service)
	if !known || !sv.MayServe(ho.Address.Addr()) {
		return 0
	}
	ru := cfg.RuleFor(ho.Address.Addr())
	if ru.Draining {
		return 0
	}
	return uint16(uint32(ho.Weight) * uint32(ru.Weight) / uint32(register.FullWeight))
}

// registerQuery sets the handler of operators' status queries.
func (ba *Balancer) registerQuery(mux *link.Mux) {
	link.On(mux, message.KindQuery, func(_ context.Context, _ link.Peer, qu command.Query) (any, error) {
		return ba.status(qu), nil
	})
}

// suspects returns a line for each member that this balancer, as one of its
// watchers, suspects of having failed.
func (ba *Balancer) suspects() []string {
	var lines []string
	for _, su := range ba.updater.fleet.Suspects() {
		lines = append(lines, fmt.Sprintf("%s %s since %s, last heard %s, suspected by %d of %d watchers",
			su.Subject.Role, su.Subject.Address, su.Since.UTC().Format(time.RFC3339), su.LastHeard.UTC().Format(time.RFC3339), len(su.Votes), len(su.Watchers)))
	}
	return lines
}

// status answers a status query from what this balancer knows of the fleet.
func (ba *Balancer) status(qu command.Query) command.Status {
	hosts := ba.updater.fleet.Hosts()
	members := ba.members()
	st := command.Status{
		Version:            ba.Configuration().Version,
		InForce:            ba.follower.InForce(),
		Expected:           len(members) + len(hosts),
		DatagramsForwarded: ba.counts.forwarded.Count(),
		DatagramsAnswered:  ba.counts.answered.Count(),
	}
	if qu.Flow != nil {
		ba.explainTo(&st, *qu.Flow)
	}
	if qu.Suspects {
		st.Suspects = ba.suspects()
	}
	if !qu.Records {
		return st
	}
	st.Hosts = hosts
	st.Balancers = ba.updater.fleet.Balancers()
	return st
}
