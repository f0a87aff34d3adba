package carriage

import (
	"container/heap"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
)

const (
	// MaxQuestions is the number of questions in one message to an agent. With 16 bytes
	// each it stays below the size of one datagram.
	MaxQuestions = 64
	// questionInterval is the least time between two messages with questions to an agent,
	// unless the later one is full. Questions that arise within it go together.
	questionInterval = 5 * time.Millisecond
	// questionBytes is the size of a question in a message with others. datagramBytes is
	// that of the rest: the headers of link, IP and UDP and that of the message.
	// singleBytes is the size of a question to an agent that isn't known to take batches.
	questionBytes = 16
	datagramBytes = 14 + 28 + 6
	singleBytes   = 14 + 28 + 46
	// maxInquiries and inquiryLifetime bound the messages to one agent whose answers are
	// waited for. Answers come within a few milliseconds, later ones after a lost message
	// was asked again.
	maxInquiries    = 64
	inquiryLifetime = time.Second
	// maxTurnWait is how long a search may wait until its questions can be sent. Callers
	// give up after 1.2 to 4 s.
	maxTurnWait = 2 * time.Second
	// maxAskedAtOnce is the number of agents that a search asks before it waits for
	// answers, so that one search doesn't exceed the burst of the budget by much.
	maxAskedAtOnce = 128
	// An agent that has left maxUnanswered messages unanswered for stalledAfter gets one
	// in stalledInterval, until it answers. While everything starts after a loss of power
	// most agents don't answer yet.
	maxUnanswered   = 2
	stalledAfter    = 25 * time.Millisecond
	stalledInterval = 100 * time.Millisecond
	// An agent that has left silentUnanswered messages unanswered for silentAfter is taken
	// to be down. Until then its answer may have been lost.
	silentUnanswered = 3
	silentAfter      = 150 * time.Millisecond
)

// Question asks about one flow.
type Question struct {
	Flow Flow
	// Acknowledged is the sequence number of the next byte that the caller waits for.
	Acknowledged uint32
}

// inquiry is a message with questions that an agent hasn't answered yet.
type inquiry struct {
	number    uint32
	sent      time.Time
	flows     []*trackedFlow
	questions []Question
}

// outbox holds the questions to one agent.
type outbox struct {
	agent *agent
	// batches says that the agent has answered a numbered question. One of a former build
	// never does, and gets single questions.
	batches bool
	// former says that the agent was heard and doesn't answer numbered questions.
	former bool
	// waiting are the flows to ask about in the next message; sent is when the last
	// message was sent, answered when the last answer came. pause is the least time from
	// the last message to the next.
	waiting   []*trackedFlow
	sent      time.Time
	answered  time.Time
	pause     time.Duration
	inquiries []inquiry
	// index is the position in the schedule of messages, -1 if none is to be sent.
	index int
}

func (ob *outbox) due() time.Time { return ob.sent.Add(ob.pause) }

func (ob *outbox) setIndex(index int) { ob.index = index }

// sendQuestion sends a question about the flow to the agent, or collects it for the next
// message.
func (pl *Placer) sendQuestion(now time.Time, tf *trackedFlow, ag *agent) {
	ob := &ag.outbox
	if !tf.flow.isIPv4() {
		pl.sendInquiry(now, ob, []*trackedFlow{tf}, false)
		return
	}
	stalled := ob.isStalled(now)
	if stalled && (len(ob.waiting) >= MaxQuestions || slices.Contains(ob.waiting, tf)) {
		// The flow's next packet asks again.
		return
	}
	ob.waiting = append(ob.waiting, tf)
	ob.pause = questionInterval
	if stalled {
		ob.pause = stalledInterval
	}
	if ob.batches {
		pl.budget.Charge(now, questionBytes)
	}
	switch {
	case !stalled && (!ob.batches || len(ob.waiting) >= MaxQuestions) || !now.Before(ob.due()):
		pl.sendCollected(now, ob)
	case ob.index < 0:
		heap.Push(&pl.outboxes, ob)
	default:
		heap.Fix(&pl.outboxes, ob.index)
	}
}

// isSilent reports whether the agent has left so many questions unanswered, for so long,
// that it is taken to be down. With a loss of 5% one in a hundred agents seems stalled.
func (ob *outbox) isSilent(now time.Time) bool {
	return ob.unansweredFor(now, silentUnanswered) >= silentAfter
}

// unansweredFor returns for how long the agent hasn't answered, zero if it has left fewer
// questions than the number unanswered.
func (ob *outbox) unansweredFor(now time.Time, number int) time.Duration {
	if len(ob.inquiries) < number {
		return 0
	}
	since := ob.inquiries[0].sent
	if ob.answered.After(since) {
		since = ob.answered
	}
	return now.Sub(since)
}

// isStalled reports whether the agent leaves questions unanswered, and isn't known to be
// of a former build.
func (ob *outbox) isStalled(now time.Time) bool {
	return !ob.former && ob.unansweredFor(now, maxUnanswered) >= stalledAfter
}

// noteHeard notes a message of the agent that is no answer to questions. An agent that is
// alive and doesn't answer numbered questions is of a former build.
func (ob *outbox) noteHeard(now time.Time) {
	if !ob.batches && ob.isStalled(now) {
		ob.former = true
	}
}

// sendCollected sends the collected questions to their agent. Those of searches that have
// ended meanwhile are left out. An agent that isn't known to take batches is sent one; the
// others were collected while it didn't answer, and are asked again by the flows' next
// packets.
func (pl *Placer) sendCollected(now time.Time, ob *outbox) {
	if ob.index >= 0 {
		heap.Remove(&pl.outboxes, ob.index)
	}
	flows := slices.DeleteFunc(ob.waiting, func(tf *trackedFlow) bool { return tf.search == nil })
	ob.waiting = nil
	if len(flows) == 0 {
		return
	}
	if !ob.batches {
		flows = flows[:1]
	}
	pl.sendInquiry(now, ob, flows, ob.batches)
}

// sendInquiry sends questions about the flows, of which there is one unless batch is set.
func (pl *Placer) sendInquiry(now time.Time, ob *outbox, flows []*trackedFlow, batch bool) {
	if batch {
		pl.budget.Charge(now, datagramBytes)
	} else {
		pl.budget.Charge(now, singleBytes)
	}
	ob.sent = now
	pl.inquiries = max(pl.inquiries+1, 1)
	questions := make([]Question, len(flows))
	for i, tf := range flows {
		questions[i] = Question{Flow: tf.flow, Acknowledged: tf.search.acknowledged}
	}
	for len(ob.inquiries) >= maxInquiries || len(ob.inquiries) > 0 && now.Sub(ob.inquiries[0].sent) > inquiryLifetime {
		ob.inquiries = ob.inquiries[1:]
	}
	ob.inquiries = append(ob.inquiries, inquiry{number: pl.inquiries, sent: now, flows: flows, questions: questions})
	pl.actions = append(pl.actions, Action{
		Kind: KindFind, To: ob.agent.address, Flow: flows[0].flow, Number: pl.inquiries, Questions: questions, Batch: batch,
	})
}

// take removes and returns the inquiry with the number, the zero value if there is none.
func (ob *outbox) take(number uint32) inquiry {
	for i := range ob.inquiries {
		if ob.inquiries[i].number == number {
			iq := ob.inquiries[i]
			ob.inquiries = append(ob.inquiries[:i:i], ob.inquiries[i+1:]...)
			return iq
		}
	}
	return inquiry{}
}

// HandleHolders handles an agent's answers to the questions with the number, one for each
// question. Answers to an unknown number are ignored.
func (pl *Placer) HandleHolders(now time.Time, from netip.AddrPort, number uint32, answers []absence.Answer) []Action {
	pl.actions = pl.actions[:0]
	ag, ok := pl.agents[from]
	if !ok {
		return pl.actions
	}
	pl.markAlive(now, ag)
	ob := &ag.outbox
	ob.batches, ob.former, ob.answered = true, false, now
	iq := ob.take(number)
	if ob.index >= 0 && ob.pause != questionInterval {
		ob.pause = questionInterval
		heap.Fix(&pl.outboxes, ob.index)
	}
	for i, an := range answers[:min(len(answers), len(iq.flows))] {
		// The answer may be about a former flow between the same addresses.
		tf, asked := iq.flows[i], iq.questions[i].Acknowledged
		if pl.flows.peek(tf.flow) == tf && tf.search != nil && near(asked, tf.search.acknowledged) {
			pl.noteAnswer(now, tf, ag, an)
		}
	}
	return pl.actions
}

// turns is a heap of the searches that wait for their turn to ask. Those that have asked
// the fewest questions come first, then those that wait for the longest time. It
// implements heap.Interface.
type turns []*trackedFlow

// Len returns the number of searches.
func (tu turns) Len() int { return len(tu) }

// Less reports whether the turn of search i is before that of j.
func (tu turns) Less(i, j int) bool {
	a, b := tu[i].search, tu[j].search
	if a.asked != b.asked {
		return a.asked < b.asked
	}
	return a.waitsSince.Before(b.waitsSince)
}

// Swap exchanges two searches.
func (tu turns) Swap(i, j int) {
	tu[i], tu[j] = tu[j], tu[i]
	tu[i].search.turn, tu[j].search.turn = i, j
}

// Push appends a search.
func (tu *turns) Push(x any) {
	tf := x.(*trackedFlow)
	tf.search.turn = len(*tu)
	*tu = append(*tu, tf)
}

// Pop removes the last search.
func (tu *turns) Pop() any {
	last := len(*tu) - 1
	tf := (*tu)[last]
	tf.search.turn = -1
	*tu = (*tu)[:last]
	return tf
}

// mayAsk reports whether the search may ask agents now. If not, it waits for its turn.
func (pl *Placer) mayAsk(now time.Time, tf *trackedFlow) bool {
	if len(pl.turns) == 0 && pl.budget.Open(now) {
		return true
	}
	tf.search.waitsSince = now
	heap.Push(&pl.turns, tf)
	pl.setDeadline(tf, now.Add(maxTurnWait))
	return false
}

// leaveTurns takes the search out of those that wait for their turn.
func (pl *Placer) leaveTurns(tf *trackedFlow) {
	if tf.search != nil && tf.search.turn >= 0 {
		heap.Remove(&pl.turns, tf.search.turn)
	}
}

// serveTurns lets the searches go on whose turn has come.
func (pl *Placer) serveTurns(now time.Time) {
	for len(pl.turns) > 0 && pl.budget.Open(now) {
		tf := pl.turns[0]
		pl.leaveTurns(tf)
		pl.clearDeadline(tf)
		if pl.resumeCandidates(now, tf) {
			continue
		}
		list := pl.toAsk(now, tf)
		if len(list) == 0 {
			// The agents have answered earlier questions meanwhile.
			pl.nextRound(now, tf)
			continue
		}
		pl.askAll(now, tf, list)
		pl.awaitAnswers(now, tf)
	}
}

// resumeCandidates lets a search that had to wait for its turn go back to the candidates,
// where most flows are found: to those that possibly hold the flow and have answered
// meanwhile or, once, to those that haven't answered. It reports false if there are none.
func (pl *Placer) resumeCandidates(now time.Time, tf *trackedFlow) bool {
	se := tf.search
	if se.round != roundLocal && se.round != roundRemote {
		return false
	}
	before := se.round
	if len(se.possible) > 0 && pl.mayTry(now, tf) {
		se.round = roundTryCandidates
		if pl.tryNext(now, tf) {
			return true
		}
	}
	se.round = roundCandidates
	if list := pl.toAsk(now, tf); !se.begunAnew && now.Sub(se.waitsSince) >= candidateWait && len(list) > 0 {
		se.begunAnew = true
		pl.askAll(now, tf, list)
		pl.awaitAnswers(now, tf)
		return true
	}
	se.round = before
	return false
}

// sendDueInquiries sends the questions that were collected for questionInterval.
func (pl *Placer) sendDueInquiries(now time.Time) {
	for len(pl.outboxes.items) > 0 && !now.Before(pl.outboxes.items[0].due()) {
		pl.sendCollected(now, pl.outboxes.items[0])
	}
}

// questionsDue returns when the next questions can be sent, zero if none wait.
func (pl *Placer) questionsDue() time.Time {
	at := time.Time{}
	if len(pl.outboxes.items) > 0 {
		at = pl.outboxes.items[0].due()
	}
	if len(pl.turns) > 0 {
		if turn := pl.budget.NextTurn(); at.IsZero() || turn.Before(at) {
			at = turn
		}
	}
	return at
}
