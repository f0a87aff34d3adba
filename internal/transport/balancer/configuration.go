package balancer

import (
	"context"
	"fmt"
	"strings"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/follower"
	"corneltiller.dev/corneltiller/internal/transport/link"
	"corneltiller.dev/corneltiller/internal/transport/store"
)

// follow prepares the follower, which keeps the accepted configuration in force.
func (ba *Balancer) follow(mux *link.Mux) {
	fc := follower.Config{
		Self:    ba.member(),
		Pool:    ba.pool,
		Apply:   ba.reconfigure,
		Publish: follower.PublishTo(ba.directory.fleet.Publish),
		OnNotice: func(no rollout.Notice) {
			ba.cfg.Board.Count("Configuration"+no.Kind.String(), 1)
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
	return rollout.Member{Address: ba.Control(), Domain: ba.cfg.Domain}
}

// members returns the live balancers, this one included.
func (ba *Balancer) members() []rollout.Member {
	return follower.MembersOf(ba.directory.fleet.Balancers(), ba.member())
}

// reconfigure puts an accepted configuration in force.
func (ba *Balancer) reconfigure(cfg *catalog.Configuration) {
	ba.Apply(cfg)
	ba.directory.rebuild()
}

// Configuration returns what is in force.
func (ba *Balancer) Configuration() *catalog.Configuration {
	return ba.configuration.Load()
}

// weight returns the share of new flows that the configuration leaves to a
// host, zero if it may take none. The services of the settings set no limits.
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

// registerQuery answers the operators' questions.
func (ba *Balancer) registerQuery(mux *link.Mux) {
	link.On(mux, message.KindQuery, func(_ context.Context, _ link.Peer, qu command.Query) (any, error) {
		return ba.status(qu), nil
	})
}

// explain returns the steps in which this balancer would steer a new flow.
func (ba *Balancer) explain(qu command.FlowQuery) []string {
	ex := route.Explain(ba.table.Load(), qu.Service, qu.Caller)
	return strings.Split(strings.TrimSpace(ex.String()), "\n")
}

// suspects returns what this balancer suspects as a watcher.
func (ba *Balancer) suspects() []string {
	var lines []string
	for _, su := range ba.directory.fleet.Suspects() {
		lines = append(lines, fmt.Sprintf("%s %s since %s, last heard %s, suspected by %d of %d watchers",
			su.Subject.Role, su.Subject.Address, su.Since.UTC().Format(time.RFC3339), su.LastHeard.UTC().Format(time.RFC3339), len(su.Votes), len(su.Watchers)))
	}
	return lines
}

// status returns what this balancer knows of the fleet.
func (ba *Balancer) status(qu command.Query) command.Status {
	hosts := ba.directory.fleet.Hosts()
	members := ba.members()
	st := command.Status{
		Version:            ba.Configuration().Version,
		InForce:            ba.follower.InForce(),
		Expected:           len(members) + len(hosts),
		DatagramsForwarded: ba.counts.forwarded.Count(),
		DatagramsAnswered:  ba.counts.answered.Count(),
	}
	if qu.Flow != nil {
		st.Path = ba.explain(*qu.Flow)
	}
	if qu.Suspects {
		st.Suspects = ba.suspects()
	}
	if !qu.Records {
		return st
	}
	st.Hosts = hosts
	st.Balancers = ba.directory.fleet.Balancers()
	return st
}
