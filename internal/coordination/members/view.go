package members

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// GreetInterval is the time between two regular greetings that a process sends.
	GreetInterval = time.Second
	// retryInterval replaces GreetInterval after a greeting of a member that has
	// left the previous one unanswered.
	retryInterval = 500 * time.Millisecond
	// maxUnanswered is the number of unanswered greetings from which a member is
	// removed, if it was also silent for removeAfter.
	maxUnanswered = 4
	// removeAfter is the least time of silence before a member is removed. It is
	// longer than a machine is frozen or cut off in ordinary operation.
	removeAfter = 15 * time.Second
	// joinInterval is the time between two rounds of greetings of a process that
	// has heard from no other one yet.
	joinInterval = 300 * time.Millisecond
	// rememberRemoved is how long a removed member is remembered. During this time
	// a record of it that another process sends is ignored unless it is newer.
	rememberRemoved = time.Minute
	// repeatAfter is how long after a change the record is sent a second time, as
	// datagrams may be lost.
	repeatAfter = 80 * time.Millisecond
	// shareInterval is the least time between two exchanges of the view that a
	// process starts because its digest differs from another one's.
	shareInterval = time.Second
	// pingInterval is the least time from any greeting of a balancer to the next
	// one by PingBalancers.
	pingInterval = 40 * time.Millisecond
	// recordsInPage and bytesInPage keep an encoded page below the size of one
	// datagram.
	recordsInPage = 10
	bytesInPage   = 1000
)

// member is what a view knows of another process.
type member struct {
	record Record
	// heard is when a greeting of the process was last received, zero if none was.
	heard time.Time
	// greeted is when the process was last greeted; unanswered is the number of
	// greetings sent to it since it was last heard.
	greeted    time.Time
	unanswered int
	// version is the highest version of a configuration that it is known to have.
	version uint64
	// questioned says that it was asked for a confirmation and hasn't been heard since.
	questioned bool
}

// removal is the last known revision of a removed member's record.
type removal struct {
	revision register.Revision
	until    time.Time
}

// View is a process's view of the fleet: the records of the other members and the
// newest configuration. It is not safe for concurrent use.
type View struct {
	self    Record
	members map[netip.AddrPort]*member
	// digest summarizes the records of members.
	digest  digest
	removed map[netip.AddrPort]removal
	seeds   []netip.AddrPort
	configuration
	confirmation
	joined    bool
	nextGreet time.Time
	repeatAt  time.Time
	nextShare time.Time
	actions   []Action
}

// NewView returns the view of a process that knows no other process.
func NewView(self Record) *View {
	return &View{
		self:    self,
		members: make(map[netip.AddrPort]*member),
		removed: make(map[netip.AddrPort]removal),
	}
}

// Self returns the record of the process itself.
func (vi *View) Self() Record { return vi.self }

// Balancers returns the number of balancers among the other members.
func (vi *View) Balancers() int { return vi.digest.balancers }

// Agents returns the number of agents among the other members.
func (vi *View) Agents() int { return len(vi.members) - vi.digest.balancers }

// Records returns the records of the other members, sorted by address.
func (vi *View) Records() []Record {
	list := make([]Record, 0, len(vi.members))
	for _, me := range vi.members {
		list = append(list, me.record)
	}
	slices.SortFunc(list, func(a, b Record) int { return a.Address.Compare(b.Address) })
	return list
}

// Joined reports whether a greeting of another member was received.
func (vi *View) Joined() bool { return vi.joined }

// Join adds the members found in the store and greets them and the seeds.
func (vi *View) Join(now time.Time, found []Record, seeds []netip.AddrPort) []Action {
	vi.actions = vi.actions[:0]
	vi.seeds = seeds
	for _, re := range found {
		vi.merge(now, re, true)
	}
	vi.greetAll(now)
	vi.nextGreet = now.Add(joinInterval)
	return vi.actions
}

// greetAll greets all members, and also the seeds until a member was heard.
func (vi *View) greetAll(now time.Time) {
	greetings := vi.greetings(true)
	for asked, address := range vi.addresses() {
		me := vi.members[address]
		if !vi.joined && asked < joinViewRequests {
			vi.greet(now, me, true)
			continue
		}
		me.noteGreeted(now)
		vi.send(address, Message{Greeting: greetings[me.record.Role]})
	}
	if vi.joined {
		return
	}
	for _, address := range vi.seeds {
		if _, ok := vi.members[address]; !ok && address != vi.self.Address {
			vi.send(address, Message{Greeting: vi.greeting(RoleBalancer, true, true)})
		}
	}
}

// joinViewRequests is the number of known members that a joining process asks for
// their whole view in each round. Seeds that aren't known members are always asked.
const joinViewRequests = 3

// addresses returns the addresses of the other members, sorted.
func (vi *View) addresses() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(vi.members))
	for address := range vi.members {
		list = append(list, address)
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return list
}

// SetSelf replaces the record of the process itself, except for its address, role,
// domain and revision, and sends it to all members if anything has changed. The
// record gets the next sequence number then.
func (vi *View) SetSelf(now time.Time, self Record) []Action {
	vi.actions = vi.actions[:0]
	self.Revision, self.Address, self.Role, self.Domain = vi.self.Revision, vi.self.Address, vi.self.Role, vi.self.Domain
	if vi.self == self {
		return vi.actions
	}
	vi.self = self
	vi.self.Sequence++
	vi.sendRecord()
	vi.repeatAt = now.Add(repeatAfter)
	return vi.actions
}

// sendRecord sends the record of the process itself to all members.
func (vi *View) sendRecord() {
	greetings := vi.greetings(false)
	for _, address := range vi.addresses() {
		vi.send(address, Message{Greeting: greetings[vi.members[address].record.Role]})
	}
}

// greetings returns a greeting for all peers of each role, which ask for no view.
// Messages to many members share them, so that each is encoded once.
func (vi *View) greetings(wantAnswer bool) map[Role]*Greeting {
	return map[Role]*Greeting{
		RoleBalancer: vi.greeting(RoleBalancer, wantAnswer, false),
		RoleAgent:    vi.greeting(RoleAgent, wantAnswer, false),
	}
}

// Deadline returns when Tick is due.
func (vi *View) Deadline() time.Time {
	first := vi.nextGreet
	for _, at := range []time.Time{vi.repeatAt, vi.assemblies.due()} {
		if !at.IsZero() && at.Before(first) {
			first = at
		}
	}
	return first
}

// Tick sends a changed record a second time, asks for missing pages, and greets the next
// member or removes it. It is to be called at Deadline.
func (vi *View) Tick(now time.Time) []Action {
	vi.actions = vi.actions[:0]
	if !vi.repeatAt.IsZero() && !now.Before(vi.repeatAt) {
		vi.repeatAt = time.Time{}
		vi.sendRecord()
	}
	vi.retryPages(now)
	if now.Before(vi.nextGreet) {
		return vi.actions
	}
	if !vi.joined {
		vi.nextGreet = now.Add(joinInterval)
		vi.greetAll(now)
		return vi.actions
	}
	vi.nextGreet = now.Add(GreetInterval)
	if me := vi.leastRecentlyContacted(); me != nil {
		if me.unanswered > 0 {
			vi.nextGreet = now.Add(retryInterval)
		}
		if me.unanswered >= maxUnanswered && now.Sub(me.heard) >= removeAfter {
			vi.remove(now, me)
		} else {
			vi.greet(now, me, false)
		}
	}
	for address, re := range vi.removed {
		if now.After(re.until) {
			delete(vi.removed, address)
		}
	}
	return vi.actions
}

// Removed returns the addresses of the members that were removed less than
// rememberRemoved ago and haven't come back, sorted.
func (vi *View) Removed() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(vi.removed), netip.AddrPort.Compare)
}

// ReportMissingEntries tells the members at the addresses that the store has no
// entry of them, so that they write it again.
func (vi *View) ReportMissingEntries(addresses []netip.AddrPort) []Action {
	vi.actions = vi.actions[:0]
	for _, address := range addresses {
		if me, ok := vi.members[address]; ok {
			gr := vi.greeting(me.record.Role, false, false)
			gr.EntryMissing = true
			vi.send(address, Message{Greeting: gr})
		}
	}
	return vi.actions
}

// leastRecentlyContacted returns the member that was greeted or heard least
// recently, nil if there is none.
func (vi *View) leastRecentlyContacted() *member {
	var found *member
	for _, me := range vi.members {
		if found == nil || me.lastContact().Before(found.lastContact()) ||
			me.lastContact().Equal(found.lastContact()) && me.record.Address.Compare(found.record.Address) < 0 {
			found = me
		}
	}
	return found
}

// lastContact returns when the member was last heard or greeted.
func (me *member) lastContact() time.Time {
	if me.heard.After(me.greeted) {
		return me.heard
	}
	return me.greeted
}

// remove removes a member and remembers its record's revision.
func (vi *View) remove(now time.Time, me *member) {
	delete(vi.members, me.record.Address)
	vi.digest.remove(me.record)
	vi.removed[me.record.Address] = removal{revision: me.record.Revision, until: now.Add(rememberRemoved)}
	vi.actions = append(vi.actions,
		Action{Kind: KindRemoved, To: me.record.Address, Since: me.heard})
}

// PingBalancers greets the other balancers, so that those that are alive answer. It
// leaves out those that were greeted less than pingInterval ago.
func (vi *View) PingBalancers(now time.Time) []Action {
	vi.actions = vi.actions[:0]
	for _, address := range vi.addresses() {
		me := vi.members[address]
		if me.record.Role == RoleBalancer && now.Sub(me.greeted) >= pingInterval {
			vi.greet(now, me, false)
		}
	}
	return vi.actions
}

// greet sends a greeting that asks for an answer and, if wantView is set, for the
// member's view. It counts the greeting as unanswered.
func (vi *View) greet(now time.Time, me *member, wantView bool) {
	me.noteGreeted(now)
	vi.send(me.record.Address, Message{Greeting: vi.greeting(me.record.Role, true, wantView)})
}

// noteGreeted notes that the member was sent a greeting that asks for an answer.
func (me *member) noteGreeted(now time.Time) {
	me.greeted = now
	me.unanswered++
}

// greeting returns a greeting for a peer of the role.
func (vi *View) greeting(peer Role, wantAnswer, wantView bool) *Greeting {
	return &Greeting{
		Record: vi.self, Digest: vi.digestFor(peer), Version: vi.version, WantAnswer: wantAnswer, WantView: wantView,
	}
}

func (vi *View) send(to netip.AddrPort, me Message) {
	vi.actions = append(vi.actions, Action{Kind: KindSend, To: to, Message: me})
}

// digestFor returns a digest of the view that is equal for equal views, for a
// comparison with a peer of the role. If either side is an agent it covers only
// balancers, as an agent knows no other members.
func (vi *View) digestFor(peer Role) uint64 {
	if vi.self.Role == RoleBalancer && peer == RoleBalancer {
		return vi.digest.sum + hashOf(vi.self)
	}
	total := vi.digest.balancerSum
	if vi.self.Role == RoleBalancer {
		total += hashOf(vi.self)
	}
	return total
}

// Handle handles a message of another process. A greeting whose record has another
// address than the sender is ignored.
func (vi *View) Handle(now time.Time, from netip.AddrPort, msg Message) []Action {
	vi.actions = vi.actions[:0]
	if msg.Greeting != nil && msg.Greeting.Record.Address == from {
		vi.handleGreeting(now, msg.Greeting)
	}
	if msg.Page != nil {
		vi.handlePage(now, from, msg.Page)
	}
	return vi.actions
}

// handleGreeting applies the sender's record and answers the greeting if it asks
// for an answer. It sends the view if the greeting asks for it or the digests
// differ, and the configuration if the sender's is older.
func (vi *View) handleGreeting(now time.Time, gr *Greeting) {
	from := gr.Record.Address
	_, removed := vi.removed[from]
	vi.merge(now, gr.Record, true)
	me, ok := vi.members[from]
	if !ok {
		return
	}
	if me.record.Supersedes(gr.Record.Revision) {
		// The process restarted with its clock set back. It gets the record of its
		// previous start, so that it makes its own record newer than that one.
		vi.send(from, Message{Page: &Page{Records: []Record{me.record}}})
	}
	me.heard = now
	me.unanswered = 0
	me.questioned = false
	me.version = max(me.version, gr.Version)
	vi.joined = true
	if gr.EntryMissing {
		vi.actions = append(vi.actions, Action{Kind: KindRegister})
	}
	share := gr.WantAnswer && !gr.WantView && gr.Digest != vi.digestFor(gr.Record.Role) && !now.Before(vi.nextShare)
	if share {
		vi.nextShare = now.Add(shareInterval)
	}
	if gr.WantAnswer {
		answer := vi.greeting(gr.Record.Role, false, share)
		answer.EntryMissing = removed
		vi.send(from, Message{Greeting: answer})
	}
	if gr.WantView || share {
		vi.sendView(from, gr.Record.Role)
	}
	vi.compareVersions(now, from, gr)
}

// sendView sends the records that a peer of the role keeps, in pages.
func (vi *View) sendView(to netip.AddrPort, peer Role) {
	list := append(vi.Records(), vi.self)
	if peer == RoleAgent {
		list = slices.DeleteFunc(list, func(re Record) bool { return re.Role != RoleBalancer })
	}
	for chunk := range slices.Chunk(list, recordsInPage) {
		vi.send(to, Message{Page: &Page{Records: chunk}})
	}
}

// handlePage handles a page of another process's view or configuration.
func (vi *View) handlePage(now time.Time, from netip.AddrPort, pa *Page) {
	for _, re := range pa.Records {
		vi.merge(now, re, false)
	}
	if pa.Count > 0 {
		vi.collect(now, from, pa)
	}
}

// merge merges a record into the view. Direct says that the record comes from its
// own process or from the store; it is then taken also if the process was removed
// before.
func (vi *View) merge(now time.Time, re Record, direct bool) {
	if !re.Address.IsValid() || re.Role != RoleBalancer && re.Role != RoleAgent {
		return
	}
	if re.Address == vi.self.Address {
		vi.refute(re)
		return
	}
	if vi.self.Role == RoleAgent && re.Role == RoleAgent {
		return
	}
	if rm, ok := vi.removed[re.Address]; ok {
		if !direct && !re.Supersedes(rm.revision) {
			return
		}
		delete(vi.removed, re.Address)
	}
	me, ok := vi.members[re.Address]
	if !ok {
		me = &member{record: re}
		vi.members[re.Address] = me
		vi.digest.add(re)
		if !direct {
			// The new member thus learns of this process at once.
			vi.greet(now, me, false)
		}
		vi.actions = append(vi.actions, Action{Kind: KindChanged, Record: re})
		return
	}
	if re.Supersedes(me.record.Revision) {
		vi.digest.remove(me.record)
		vi.digest.add(re)
		me.record = re
		vi.actions = append(vi.actions, Action{Kind: KindChanged, Record: re})
	}
}

// refute makes the record of the process itself newer than one of its previous
// start, whose incarnation may be higher because the clock was set back.
func (vi *View) refute(re Record) {
	if re.Incarnation > vi.self.Incarnation ||
		re.Incarnation == vi.self.Incarnation && re.Sequence > vi.self.Sequence {
		vi.self.Incarnation = re.Incarnation + 1
		vi.sendRecord()
	}
}
