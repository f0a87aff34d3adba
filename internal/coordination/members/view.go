package members

import (
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// GreetInterval is the time between two greetings of a process.
	GreetInterval = time.Second
	// retryInterval is the time between two unanswered greetings of one member.
	retryInterval = 500 * time.Millisecond
	// greetingsUnanswered is the number of greetings without an answer after
	// which a member is removed, if it was silent for removeAfter.
	greetingsUnanswered = 4
	// removeAfter is longer than a machine may be frozen or cut off on an
	// ordinary day.
	removeAfter = 15 * time.Second
	// joinInterval is the time between two rounds of greetings of a process that
	// knows no live member.
	joinInterval = 300 * time.Millisecond
	// rememberRemoved is how long others' records of a removed member are
	// ignored.
	rememberRemoved = time.Minute
	// repeatAfter is when a changed record is sent again, as datagrams are lost.
	repeatAfter = 80 * time.Millisecond
	// shareInterval is the least time between two views that a process sends
	// because its own differs from another's.
	shareInterval = time.Second
	// askPause is the least time between two questions to one balancer.
	askPause = 40 * time.Millisecond
	// recordsInPage and bytesInPage keep a page below one datagram.
	recordsInPage = 10
	bytesInPage   = 1000
)

// member is what a view knows of another process.
type member struct {
	record Record
	// heard is when the process itself was last heard, zero if it never was.
	heard time.Time
	// greeted is when it was last greeted, unanswered how often in vain.
	greeted    time.Time
	unanswered int
	version    uint64
}

// removal remembers a removed member.
type removal struct {
	revision register.Revision
	until    time.Time
}

// View is a process's view of the fleet. It is not safe for concurrent use.
type View struct {
	self    Record
	members map[netip.AddrPort]*member
	removed map[netip.AddrPort]removal
	seeds   []netip.AddrPort
	configuration
	joined    bool
	nextGreet time.Time
	repeatAt  time.Time
	nextShare time.Time
	out       []Action
}

// NewView returns the view of a process that knows nobody.
func NewView(self Record) *View {
	return &View{
		self:    self,
		members: make(map[netip.AddrPort]*member),
		removed: make(map[netip.AddrPort]removal),
	}
}

// Self returns the process's own record.
func (vi *View) Self() Record { return vi.self }

// Records returns the records of the other members by address.
func (vi *View) Records() []Record {
	list := make([]Record, 0, len(vi.members))
	for _, me := range vi.members {
		list = append(list, me.record)
	}
	slices.SortFunc(list, func(a, b Record) int { return a.Address.Compare(b.Address) })
	return list
}

// Joined reports whether another member has answered.
func (vi *View) Joined() bool { return vi.joined }

// Join greets the members found in the store and the seeds.
func (vi *View) Join(now time.Time, found []Record, seeds []netip.AddrPort) []Action {
	vi.out = vi.out[:0]
	vi.seeds = seeds
	for _, re := range found {
		vi.learn(now, re, true)
	}
	vi.greetAll(now)
	vi.nextGreet = now.Add(joinInterval)
	return vi.out
}

// greetAll greets all members, and the seeds while nobody has answered.
func (vi *View) greetAll(now time.Time) {
	asked := 0
	for _, address := range vi.addresses() {
		me := vi.members[address]
		vi.greet(now, me, !vi.joined && asked < joinDonors)
		asked++
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

// joinDonors is the number of members that a joining process asks for their
// whole view.
const joinDonors = 3

func (vi *View) addresses() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(vi.members))
	for address := range vi.members {
		list = append(list, address)
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return list
}

// SetSelf takes the own record, of which address, role, domain and revision stay
// as they are, and tells everyone if anything has changed.
func (vi *View) SetSelf(now time.Time, self Record) []Action {
	vi.out = vi.out[:0]
	self.Revision, self.Address, self.Role, self.Domain = vi.self.Revision, vi.self.Address, vi.self.Role, vi.self.Domain
	if vi.self == self {
		return vi.out
	}
	vi.self = self
	vi.self.Sequence++
	vi.tellAll()
	vi.repeatAt = now.Add(repeatAfter)
	return vi.out
}

// tellAll sends the own record to all members.
func (vi *View) tellAll() {
	for _, address := range vi.addresses() {
		peer := vi.members[address].record.Role
		vi.send(address, Message{Greeting: vi.greeting(peer, false, false)})
	}
}

// Deadline returns when Tick is due.
func (vi *View) Deadline() time.Time {
	if !vi.repeatAt.IsZero() && vi.repeatAt.Before(vi.nextGreet) {
		return vi.repeatAt
	}
	return vi.nextGreet
}

// Tick does what has become due.
func (vi *View) Tick(now time.Time) []Action {
	vi.out = vi.out[:0]
	if !vi.repeatAt.IsZero() && !now.Before(vi.repeatAt) {
		vi.repeatAt = time.Time{}
		vi.tellAll()
	}
	if now.Before(vi.nextGreet) {
		return vi.out
	}
	if !vi.joined {
		vi.nextGreet = now.Add(joinInterval)
		vi.greetAll(now)
		return vi.out
	}
	vi.nextGreet = now.Add(GreetInterval)
	if me := vi.leastRecent(); me != nil {
		if me.unanswered > 0 {
			vi.nextGreet = now.Add(retryInterval)
		}
		if me.unanswered >= greetingsUnanswered && now.Sub(me.heard) >= removeAfter {
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
	return vi.out
}

// leastRecent returns the member that was greeted or heard least recently.
func (vi *View) leastRecent() *member {
	var found *member
	for _, me := range vi.members {
		if found == nil || me.last().Before(found.last()) ||
			me.last().Equal(found.last()) && me.record.Address.Compare(found.record.Address) < 0 {
			found = me
		}
	}
	return found
}

func (me *member) last() time.Time {
	if me.heard.After(me.greeted) {
		return me.heard
	}
	return me.greeted
}

func (vi *View) remove(now time.Time, me *member) {
	delete(vi.members, me.record.Address)
	vi.removed[me.record.Address] = removal{revision: me.record.Revision, until: now.Add(rememberRemoved)}
	vi.out = append(vi.out,
		Action{Kind: KindRemoved, To: me.record.Address, Since: me.heard},
		Action{Kind: KindChanged})
}

// PingBalancers asks the other balancers for a sign of life.
func (vi *View) PingBalancers(now time.Time) []Action {
	vi.out = vi.out[:0]
	for _, address := range vi.addresses() {
		me := vi.members[address]
		if me.record.Role == RoleBalancer && now.Sub(me.greeted) >= askPause {
			vi.greet(now, me, false)
		}
	}
	return vi.out
}

func (vi *View) greet(now time.Time, me *member, share bool) {
	me.greeted = now
	me.unanswered++
	vi.send(me.record.Address, Message{Greeting: vi.greeting(me.record.Role, true, share)})
}

func (vi *View) greeting(peer Role, answer, share bool) *Greeting {
	return &Greeting{
		Record: vi.self, Digest: vi.digest(peer), Version: vi.version, Answer: answer, Share: share,
	}
}

func (vi *View) send(to netip.AddrPort, me Message) {
	vi.out = append(vi.out, Action{Kind: KindSend, To: to, Message: me})
}

// digest returns a number that is equal for equal views. With an agent on either
// side only the balancers count: an agent knows no others.
func (vi *View) digest(peer Role) uint64 {
	partial := vi.self.Role == RoleAgent || peer == RoleAgent
	total := uint64(0)
	if !partial || vi.self.Role == RoleBalancer {
		total = digestOf(vi.self)
	}
	for _, me := range vi.members {
		if !partial || me.record.Role == RoleBalancer {
			total += digestOf(me.record)
		}
	}
	return total
}

func digestOf(re Record) uint64 {
	ha := fnv.New64a()
	address, _ := re.Address.MarshalBinary()
	ha.Write(address)
	var number [16]byte
	for i := range 8 {
		number[i] = byte(re.Incarnation >> (8 * i))
		number[8+i] = byte(re.Sequence >> (8 * i))
	}
	ha.Write(number[:])
	return ha.Sum64()
}

// Handle takes a message of another process.
func (vi *View) Handle(now time.Time, from netip.AddrPort, msg Message) []Action {
	vi.out = vi.out[:0]
	if msg.Greeting != nil && msg.Greeting.Record.Address == from {
		vi.greeted(now, msg.Greeting)
	}
	if msg.Page != nil {
		vi.page(now, msg.Page)
	}
	return vi.out
}

// greeted handles a greeting.
func (vi *View) greeted(now time.Time, gr *Greeting) {
	from := gr.Record.Address
	_, removed := vi.removed[from]
	vi.learn(now, gr.Record, true)
	me, ok := vi.members[from]
	if !ok {
		return
	}
	if me.record.Supersedes(gr.Record.Revision) {
		// The process started again with its clock set back: it has to outdo the
		// record of its former start.
		vi.send(from, Message{Page: &Page{Records: []Record{me.record}}})
	}
	me.heard = now
	me.unanswered = 0
	me.version = max(me.version, gr.Version)
	vi.joined = true
	if gr.Forgotten {
		vi.out = append(vi.out, Action{Kind: KindRegister})
	}
	share := gr.Answer && !gr.Share && gr.Digest != vi.digest(gr.Record.Role) && !now.Before(vi.nextShare)
	if share {
		vi.nextShare = now.Add(shareInterval)
	}
	if gr.Answer {
		answer := vi.greeting(gr.Record.Role, false, share)
		answer.Forgotten = removed
		vi.send(from, Message{Greeting: answer})
	}
	if gr.Share || share {
		vi.sendView(from, gr.Record.Role)
	}
	vi.compareVersions(from, gr)
}

// sendView sends the records that the peer needs in pages.
func (vi *View) sendView(to netip.AddrPort, peer Role) {
	list := append(vi.Records(), vi.self)
	if peer == RoleAgent {
		list = slices.DeleteFunc(list, func(re Record) bool { return re.Role != RoleBalancer })
	}
	for chunk := range slices.Chunk(list, recordsInPage) {
		vi.send(to, Message{Page: &Page{Records: chunk}})
	}
}

// page takes a part of another process's view or configuration.
func (vi *View) page(now time.Time, pa *Page) {
	for _, re := range pa.Records {
		vi.learn(now, re, false)
	}
	if pa.Count > 0 {
		vi.collect(pa)
	}
}

// learn joins a record into the view. A record that the process sent itself
// counts though the process was removed before.
func (vi *View) learn(now time.Time, re Record, direct bool) {
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
		if !direct {
			// The new member learns of this process before it is needed.
			vi.greet(now, me, false)
		}
		vi.out = append(vi.out, Action{Kind: KindChanged})
		return
	}
	if re.Supersedes(me.record.Revision) {
		me.record = re
		vi.out = append(vi.out, Action{Kind: KindChanged})
	}
}

// refute makes the own record newer than one of a former start, whose
// incarnation may be higher as clocks jump.
func (vi *View) refute(re Record) {
	if re.Incarnation > vi.self.Incarnation ||
		re.Incarnation == vi.self.Incarnation && re.Sequence > vi.self.Sequence {
		vi.self.Incarnation = re.Incarnation + 1
		vi.tellAll()
	}
}
