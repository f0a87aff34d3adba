package carrier

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/evacuation"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
)

// evacuationsCheck is the longest time between two checks whether a balancer that doesn't
// watch the store is to watch the evacuations: others may have left.
const evacuationsCheck = 500 * time.Millisecond

// evacuationsWatch is the state of followEvacuations: that of its reading, the domains that
// the store holds at the position, and the history that the last set in force was read in.
type evacuationsWatch struct {
	reading
	domains map[string]struct{}
	history History
}

// rereads reports whether the position has expired and the evacuations weren't read since.
func (ew *evacuationsWatch) rereads() bool {
	return ew.position.Revision == 0 && ew.expired.failures > 0
}

// followEvacuations reads the evacuated domains from the store, and then watches it for
// changes while the process watches the routes. It shares no state with followRoutes, so
// that failures of one don't disturb the other.
func (no *node) followEvacuations(ctx context.Context) error {
	var ew evacuationsWatch
	for ctx.Err() == nil {
		if pause := no.evacuationsPause(); pause > 0 && !ew.rereads() {
			ew.rest()
			sleepContext(ctx, pause)
			continue
		}
		began, failures := time.Now(), ew.failed.failures
		err := no.fetchEvacuations(ctx, &ew, began)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrRevisionExpired):
			klog.InfoS("Revision expired in the store; reading the evacuations again", "position", ew.position,
				"inARow", ew.expired.failures+1, "reason", err)
			ew.expire(ctx, began)
		case err != nil:
			no.metrics.Count("EvacuationReadsFailed", 1)
			if ew.failed.failures == 0 {
				klog.ErrorS(err, "Evacuations not read", "position", ew.position)
			}
			ew.failed.wait(ctx, began, no.evacuationsRetryPause())
		default:
			if failures > 0 {
				klog.InfoS("Evacuations read again", "failures", failures, "position", ew.position)
			}
		}
	}
	return nil
}

// evacuationsPause returns how long a balancer is to wait until it checks again whether it
// is to read the evacuations, zero if it is to do so now: it watches the store, or has
// never known a set.
func (no *node) evacuationsPause() time.Duration {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	if _, known := no.evacuations.Set(); !known || no.view.WatchesStore(now) {
		return 0
	}
	return min(no.view.WatchDue().Sub(now), evacuationsCheck)
}

// evacuationsRetryPause returns the longest pause before the next attempt. It is short
// while no set is known, without which a balancer places no openings.
func (no *node) evacuationsRetryPause() time.Duration {
	no.mu.Lock()
	defer no.mu.Unlock()
	if _, known := no.evacuations.Set(); !known {
		return minBackoff
	}
	return maxBackoff
}

// fetchEvacuations reads the evacuations if nothing was read before the position, and
// otherwise waits for changes. After a failure a watch doesn't wait, so that it ends early
// where the store doesn't answer.
func (no *node) fetchEvacuations(ctx context.Context, ew *evacuationsWatch, now time.Time) error {
	if ew.position.Revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		names, next, err := no.store.Evacuations(ctx)
		if err != nil {
			return err
		}
		ew.domains = make(map[string]struct{}, len(names))
		for _, name := range names {
			ew.domains[name] = struct{}{}
		}
		ew.advance(next)
		no.publishEvacuations(ew)
		if next.Revision == 0 {
			// Nothing was written yet, so there is no revision to watch from.
			sleepContext(ctx, evacuationsCheck)
		}
		return nil
	}
	deadline := now
	if ew.failed.failures == 0 {
		deadline = now.Add(min(members.WatchTimeout, time.Duration(no.settings.EvacuateWithin)/2))
	}
	changes, next, err := no.store.WatchEvacuations(ctx, ew.position, deadline)
	if err != nil {
		return err
	}
	ew.advance(next)
	if len(changes) == 0 {
		return nil
	}
	for _, ch := range changes {
		if ch.Removed {
			delete(ew.domains, ch.Domain)
		} else {
			ew.domains[ch.Domain] = struct{}{}
		}
	}
	no.publishEvacuations(ew)
	return nil
}

// publishEvacuations puts the domains that the store holds in force and sends them to
// other members if they have changed.
func (no *node) publishEvacuations(ew *evacuationsWatch) {
	origin := evacuation.Origin{Era: ew.position.Era, Revision: ew.position.Revision}
	set, refused := evacuation.NewSet(origin, slices.Collect(maps.Keys(ew.domains)))
	for _, name := range refused {
		klog.ErrorS(nil, "Evacuation refused", "domain", name[:min(len(name), evacuation.MaxNameLength)], "length", len(name),
			"maxLength", evacuation.MaxNameLength, "maxDomains", evacuation.MaxDomains)
	}
	anew := ew.history != (History{}) && ew.history != ew.position.History
	ew.history = ew.position.History
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	defer no.schedule(now)
	before, _ := no.evacuations.Set()
	taken, to := no.evacuations.Read(now, set, anew, no.evacuationMembers())
	if taken {
		no.applyEvacuations(now, before, "store")
	}
	if len(to) > 0 {
		klog.InfoS("Evacuations sent", "domains", set.Domains, "origin", set.Origin, "members", len(to))
		no.sendEvacuations(to)
	}
}

// evacuationMembers returns the other members. It is called with mu held.
func (no *node) evacuationMembers() []evacuation.Member {
	var list []evacuation.Member
	for _, re := range no.view.Records() {
		list = append(list, evacuation.Member{Address: re.Address, Domain: re.Domain, Balancer: re.Role == members.RoleBalancer})
	}
	return list
}

// applyEvacuations passes a set that was put in force to the role. It is called with mu
// held.
func (no *node) applyEvacuations(now time.Time, before evacuation.Set, source any) {
	set, _ := no.evacuations.Set()
	no.metrics.Set("EvacuatedDomains", int64(len(set.Domains)))
	klog.InfoS("Evacuations in force", "domains", set.Domains, "origin", set.Origin,
		"before", before.Domains, "beforeOrigin", before.Origin, "source", source)
	no.reportUnknownDomains(set)
	no.onEvacuations(now, set)
}

// reportUnknownDomains logs the evacuated domains of which a balancer knows no member:
// they may be misspelled. An agent knows the balancers only, and a process that has just
// started may know nobody.
func (no *node) reportUnknownDomains(set evacuation.Set) {
	if no.view.Self().Role != members.RoleBalancer || !no.view.Joined() {
		return
	}
	known := map[string]struct{}{no.settings.Domain: {}}
	for _, re := range no.view.Records() {
		known[re.Domain] = struct{}{}
	}
	for _, name := range set.Domains {
		if _, ok := known[name]; !ok {
			klog.InfoS("Evacuated domain has no known member", "domain", name, "origin", set.Origin)
		}
	}
}

// isEvacuated reports whether the failure domain is known to be evacuated. It is called
// with mu held.
func (no *node) isEvacuated(domain string) bool {
	return no.evacuations != nil && no.evacuations.Evacuated(domain)
}

// handleEvacuations handles a page of the evacuations that another member has sent. It
// does nothing if evacuation is off. It is called with mu held.
func (no *node) handleEvacuations(now time.Time, from netip.AddrPort, pa evacuation.Page) {
	if no.evacuations == nil {
		return
	}
	before, _ := no.evacuations.Set()
	taken, answer := no.evacuations.Receive(pa)
	if taken {
		no.applyEvacuations(now, before, from)
	}
	if answer {
		no.sendEvacuations([]netip.AddrPort{from})
	}
}

// sendEvacuations sends the set in force, if one is known, to the members at the
// addresses. It is called with mu held.
func (no *node) sendEvacuations(to []netip.AddrPort) {
	if no.evacuations == nil || len(to) == 0 {
		return
	}
	set, known := no.evacuations.Set()
	if !known {
		return
	}
	for _, pa := range set.Pages() {
		no.scratch = waybill.AppendEvacuations(no.scratch[:0], pa)
		for _, address := range to {
			no.send(address, no.scratch)
		}
	}
	no.metrics.Count("EvacuationsSent", int64(len(to)))
}

// greetedMembers returns the members that the actions of a regular greeting ask for an
// answer. It returns none before a member has answered, when all are greeted often, and
// while evacuation is off. It is called with mu held.
func (no *node) greetedMembers(list []members.Action) []netip.AddrPort {
	if no.evacuations == nil || !no.view.Joined() {
		return nil
	}
	var to []netip.AddrPort
	for _, ac := range list {
		if ac.Kind == members.KindSend && ac.Message.Greeting != nil && ac.Message.Greeting.WantAnswer {
			to = append(to, ac.To)
		}
	}
	return to
}

// tickEvacuations sends a changed set a second time. It is called with mu held.
func (no *node) tickEvacuations(now time.Time) {
	if no.evacuations != nil {
		no.sendEvacuations(no.evacuations.Tick(now))
	}
}

// evacuationsDeadline returns when tickEvacuations is due, zero if it isn't.
func (no *node) evacuationsDeadline() time.Time {
	if no.evacuations == nil {
		return time.Time{}
	}
	return no.evacuations.Deadline()
}
