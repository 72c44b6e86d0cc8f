package pollers

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/catalog"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/rendezvous"
)

const (
	// checkInterval is the time between two checks of whether the source withholds changes.
	checkInterval = 100 * time.Millisecond
	// searchInterval is the time between two rounds of queries.
	searchInterval = 250 * time.Millisecond
	// searchFanOut is the number of daemons asked in a round of the search. If the source
	// turns three quarters of the daemons away, four rounds, 1 s, reach one that it answers
	// with a probability of 97%, without the names that the asked daemons return.
	searchFanOut = 3
	// slowSearchAfter is the number of rounds after which a search asks one daemon per
	// round: probably the source answers nobody.
	slowSearchAfter = 16
	// followRounds is the number of rounds between two queries of a holder, 0.5 s.
	followRounds = 2
	// holderTimeout is the time without an answer after which another holder is searched:
	// two queries may be lost.
	holderTimeout = 1200 * time.Millisecond
	// answerMargin is the time beyond the wait for changes after which a call is taken as
	// not answered. A round trip between regions takes 24 ms; the rest is for busy processors.
	answerMargin = 300 * time.Millisecond
	// maxFarCandidates bounds the daemons of other data centres that a daemon asks, and with
	// them the sessions that it opens. If a quarter of the daemons are answered, all of these
	// are turned away in one of 10,000 cases.
	maxFarCandidates = 32
	// withdrawInterval is the least time between two withdrawals of a poller, each of which
	// is sent to all daemons of the data centre.
	withdrawInterval = time.Second
	// maxAnswersPerSecond bounds the answers of a holder: 12 daemons that follow it, with
	// two topics, and some that search. If a quarter of the daemons are holders, each is
	// followed by three on average. The others find another holder, or get newer rows from
	// daemons that follow one.
	maxAnswersPerSecond = 60
	// rowBytesPerSecond bounds the rows sent to daemons that have a topic, so that a daemon
	// stays within 19 KB/s of control messages, and maxRowBytes those sent at once, so that
	// a large manifest reaches several followers without a pause.
	rowBytesPerSecond = 12 << 10
	maxRowBytes       = 256 << 10
	// maxWholePerSecond bounds the answers with a whole topic, for the same reason as fanOut.
	maxWholePerSecond = fanOut
	// reliefBufferSize bounds the answers that wait to be applied. No topic is asked for
	// while one waits.
	reliefBufferSize = 4
)

// WithheldStats holds totals since the relay was created, and the present state.
type WithheldStats struct {
	// Withheld is whether the source withholds changes from this daemon and no poller
	// passes them on.
	Withheld bool
	// Holder is the daemon that changes are taken from, "" if there is none.
	Holder string
	// Queries counts the messages that ask other daemons, Taken their answers with rows.
	Queries, Taken uint64
	// Answers counts the answers to other daemons, Rows those with rows, and Declined the
	// queries beyond what this daemon answers in a second.
	Answers, Rows, Declined uint64
}

// withheld is the state of a daemon from which the source withholds changes, and that of its
// answers to such daemons. It is guarded by the Relay's lock.
type withheld struct {
	relief [topicCount]chan catalog.Push
	// failed is set from a failed call to the next answer; dueAt is when the call that runs
	// has to be answered, else zero.
	failed [topicCount]bool
	dueAt  [topicCount]time.Time
	// holder is the daemon that last answered as one that is up to date.
	holder           string
	holderAnsweredAt time.Time
	// round counts the rounds since changes are withheld; nextRound is when one is due.
	round     int
	nextRound time.Time
	// candidates are the daemons to ask next.
	candidates []string
	// withdrawn is set from a withdrawal to the next answer of the source.
	withdrawn   bool
	withdrawnAt time.Time
	// second is the start of the second in which answered and wholes were sent.
	second           time.Time
	answered, wholes int
	// rowBytes is the number of bytes of rows that may be sent.
	rowBytes int
	stats    WithheldStats
}

// clear records an answer of the source.
func (s *withheld) clear(topic catalog.Topic) {
	s.failed[topic], s.dueAt[topic], s.withdrawn = false, time.Time{}, false
}

// WithheldStats returns a copy of the totals.
func (r *Relay) WithheldStats() WithheldStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.withheld.stats
	stats.Holder = r.currentHolder(time.Now())
	return stats
}

// Relief implements catalog.Peers.
func (r *Relay) Relief(topic catalog.Topic) <-chan catalog.Push {
	return r.withheld.relief[topic]
}

// OnSourceCall implements catalog.Peers.
func (r *Relay) OnSourceCall(topic catalog.Topic, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withheld.dueAt[topic] = time.Now().Add(wait + answerMargin)
}

// unanswered reports whether the source's last call failed or its answer is overdue. The
// caller holds the lock.
func (r *Relay) unanswered(now time.Time, topic catalog.Topic) bool {
	dueAt := r.withheld.dueAt[topic]
	return r.withheld.failed[topic] || !dueAt.IsZero() && now.After(dueAt)
}

// completeTo returns the revision up to which this daemon has a topic. The caller holds the
// lock.
func (r *Relay) completeTo(topic catalog.Topic) uint64 {
	return max(r.seenRevisions[topic], r.copies[topic].revision)
}

// expectAnswer notes that another daemon has a revision. If it is newer, the source has to
// answer the call that waits for changes at once, so that one that does not is noticed before
// the end of its wait. The caller holds the lock.
func (r *Relay) expectAnswer(now time.Time, topic catalog.Topic, revision uint64) {
	latest := now.Add(answerMargin)
	if dueAt := r.withheld.dueAt[topic]; revision > r.completeTo(topic) && dueAt.After(latest) {
		r.withheld.dueAt[topic] = latest
	}
}

// RunQueries asks other daemons for changes while the source withholds them from this one,
// until the context ends. It returns nil.
func (r *Relay) RunQueries(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, checkInterval, r.queryRound)
}

// queryRound asks other daemons for changes, if the source withholds some and the next round
// is due.
func (r *Relay) queryRound(now time.Time) {
	if !r.mayBeWithheld(now) {
		return
	}
	r.withdraw(now)
	isPoller := r.isPoller(r.LiveLocal())
	r.mu.Lock()
	topics := r.withheldTopics(now, isPoller)
	r.noteState(topics)
	var queries []query
	if len(topics) > 0 && !now.Before(r.withheld.nextRound) {
		r.withheld.nextRound = now.Add(searchInterval)
		queries = r.nextQueries(now, topics)
	}
	r.withheld.stats.Queries += uint64(len(queries))
	r.mu.Unlock()
	for _, q := range queries {
		// A daemon that the query does not reach is replaced in the next round.
		_ = r.Send(q.to, &peerpb.Envelope{Body: &peerpb.Envelope_SourcePull{SourcePull: q.pull}})
	}
}

// mayBeWithheld reports whether the source does not answer on some topic, or did not at the
// last check.
func (r *Relay) mayBeWithheld(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.withheld.stats.Withheld || r.unanswered(now, catalog.OperatorTopic) || r.unanswered(now, catalog.RegistryTopic)
}

// withheldTopics returns the topics whose changes the source withholds and no poller passes
// on. The caller holds the lock.
func (r *Relay) withheldTopics(now time.Time, isPoller bool) []catalog.Topic {
	announced := r.announcedRecently(now)
	var topics []catalog.Topic
	for topic := range catalog.Topic(topicCount) {
		if !r.unanswered(now, topic) {
			continue
		}
		covered := announced && r.copies[topic].complete && r.announcedRevisions[topic] <= r.completeTo(topic)
		switch {
		case !covered:
			topics = append(topics, topic)
		case !isPoller:
			// The watcher waits for pushes and does not ask the source any more.
			r.withheld.clear(topic)
		}
	}
	return topics
}

// noteState logs the start and the end of the state in which changes are withheld. The caller
// holds the lock.
func (r *Relay) noteState(topics []catalog.Topic) {
	s := &r.withheld
	switch active := len(topics) > 0; {
	case active && !s.stats.Withheld:
		r.Logger.Emit(eventlog.ChangesWithheld, eventlog.Fields{"topic": topics[0].String(), "revision": r.copies[topics[0]].revision})
		s.round, s.candidates, s.holder = 0, nil, ""
	case !active && s.stats.Withheld:
		r.Logger.Emit(eventlog.ChangesResumed, eventlog.Fields{"queries": s.stats.Queries, "taken": s.stats.Taken})
	}
	s.stats.Withheld = len(topics) > 0
}

// query is a message to a daemon that may have changes.
type query struct {
	to   string
	pull *peerpb.SourcePull
}

// nextQueries returns the queries of a round. The holder is asked for all topics. While there
// is none, others are searched; one is also asked in addition to the holder, which may not know
// yet that the source does not answer it. The caller holds the lock.
func (r *Relay) nextQueries(now time.Time, topics []catalog.Topic) []query {
	topics = slices.DeleteFunc(topics, func(t catalog.Topic) bool { return len(r.withheld.relief[t]) > 0 })
	if len(topics) == 0 {
		return nil
	}
	s := &r.withheld
	s.round++
	holder := r.currentHolder(now)
	if holder == "" {
		return r.searchQueries(topics)
	}
	if s.round%followRounds != 0 {
		return nil
	}
	var queries []query
	for _, topic := range topics {
		queries = append(queries, r.newQuery(holder, topic))
	}
	if other := r.nextCandidate(); other != "" && other != holder && s.round%(2*followRounds) == 0 {
		queries = append(queries, r.newQuery(other, topics[0]))
	}
	return queries
}

// searchQueries returns the queries of a round without a holder. The topics take turns: if the
// source answers nobody, no holder is found, but other daemons may have newer rows of each
// topic. The caller holds the lock.
func (r *Relay) searchQueries(topics []catalog.Topic) []query {
	count := searchFanOut
	if r.withheld.round > slowSearchAfter {
		count = 1
	}
	var queries []query
	for i := range count {
		if to := r.nextCandidate(); to != "" {
			queries = append(queries, r.newQuery(to, topics[(r.withheld.round+i)%len(topics)]))
		}
	}
	return queries
}

func (r *Relay) newQuery(to string, topic catalog.Topic) query {
	after := uint64(0)
	if c := r.copies[topic]; c.complete {
		after = c.revision
	}
	return query{to, &peerpb.SourcePull{Topic: uint32(topic), After: after, Withheld: true}}
}

// currentHolder returns the holder, or "" if it did not answer within holderTimeout. The
// caller holds the lock.
func (r *Relay) currentHolder(now time.Time) string {
	if now.Sub(r.withheld.holderAnsweredAt) > holderTimeout {
		return ""
	}
	return r.withheld.holder
}

// nextCandidate returns the next daemon to ask, or "" if this daemon is alone. The caller
// holds the lock.
func (r *Relay) nextCandidate() string {
	s := &r.withheld
	if len(s.candidates) == 0 {
		s.candidates = orderCandidates(r.Self, r.LiveLocal(), r.LiveAll())
	}
	if len(s.candidates) == 0 {
		return ""
	}
	next := s.candidates[0]
	s.candidates = s.candidates[1:]
	return next
}

// orderCandidates returns the other daemons in the order in which they are asked: first
// searchFanOut of the own data centre, then in each round one of it and the rest of others,
// since all of the own data centre may be turned away. At most maxFarCandidates of others are asked,
// always the same ones. The order is random apart from that, so that no daemon is asked by all.
func orderCandidates(self string, local, all []string) []string {
	near := slices.DeleteFunc(slices.Clone(local), func(name string) bool { return name == self })
	far := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == self || slices.Contains(local, name) })
	far = rendezvous.Rank(self, far)[:min(maxFarCandidates, len(far))]
	for _, list := range [][]string{near, far} {
		rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	}
	first := min(searchFanOut, len(near))
	ordered, near := slices.Clone(near[:first]), near[first:]
	for len(near)+len(far) > 0 {
		n, f := min(1, len(near)), min(searchFanOut-1, len(far))
		ordered = append(append(ordered, near[:n]...), far[:f]...)
		near, far = near[n:], far[f:]
	}
	return ordered
}

// withdraw tells the daemons of the data centre that this poller does not follow the source
// any more, so that they need not wait for pollerTimeout.
func (r *Relay) withdraw(now time.Time) {
	r.mu.Lock()
	unanswered := r.unanswered(now, catalog.OperatorTopic) || r.unanswered(now, catalog.RegistryTopic)
	s := &r.withheld
	due := unanswered && !s.withdrawn && now.Sub(s.withdrawnAt) >= withdrawInterval
	r.mu.Unlock()
	if !due || !r.isPoller(r.LiveLocal()) {
		return
	}
	r.mu.Lock()
	s.withdrawnAt, s.withdrawn = now, true
	r.mu.Unlock()
	r.sendToOthers(&peerpb.Envelope{Body: &peerpb.Envelope_SourceRevision{SourceRevision: &peerpb.SourceRevision{Withdrawn: true}}})
}

// answerWithheld answers a daemon from which the source withholds changes: with the rows that
// are newer than what it has, and with the name of a daemon that is up to date.
func (r *Relay) answerWithheld(from string, m *peerpb.SourcePull) {
	topic, now := catalog.Topic(m.Topic), time.Now()
	r.mu.Lock()
	message, err := r.withheldAnswer(now, topic, m.After)
	r.mu.Unlock()
	if err != nil {
		r.Logger.EmitError(eventlog.EntryRefused, fault.Wrap(err, "pollers.pack", ""), eventlog.Fields{"topic": topic.String()})
		return
	}
	// A daemon that gets no answer asks another one.
	_ = r.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_SourceCopy{SourceCopy: message}})
}

// withheldAnswer returns the answer to a daemon that has a topic up to a revision. It names no
// holder if this daemon has to be asked less often. The caller holds the lock.
func (r *Relay) withheldAnswer(now time.Time, topic catalog.Topic, after uint64) (*peerpb.SourceCopy, error) {
	s, c := &r.withheld, r.copies[topic]
	s.refill(now)
	answer := &peerpb.SourceCopy{Topic: uint32(topic), State: peerpb.CopyState_COPY_NONE, Withheld: true}
	if s.answered >= maxAnswersPerSecond {
		s.stats.Declined++
		return answer, nil
	}
	s.answered++
	s.stats.Answers++
	if c.complete && (c.newest > after || after == 0) {
		rows, err := r.newerRows(topic, after)
		if err != nil || !s.mayGive(rows, after) {
			return answer, err
		}
		answer = &peerpb.SourceCopy{Topic: rows.Topic, State: rows.State, Revision: rows.Revision, After: rows.After, Rows: rows.Rows, Withheld: true}
	}
	answer.Holder = r.currentHolder(now)
	if c.complete && r.copyIsCurrent(now, topic) && !r.unanswered(now, topic) {
		answer.Holder = r.Self
	}
	return answer, nil
}

// newerRows returns a message with the changes of a topic after a revision, or with the whole
// topic if the changes are not known. The caller holds the lock.
func (r *Relay) newerRows(topic catalog.Topic, after uint64) (*peerpb.SourceCopy, error) {
	if c := r.copies[topic]; after > 0 && after >= c.since {
		return c.changesAfter(topic, after)
	}
	return r.copies[topic].message(topic)
}

// refill starts a new second of answers if the last one has ended.
func (s *withheld) refill(now time.Time) {
	passed := now.Sub(s.second)
	if passed < time.Second {
		return
	}
	s.second, s.answered, s.wholes = now, 0, 0
	s.rowBytes = int(min(maxRowBytes, float64(s.rowBytes)+passed.Seconds()*rowBytesPerSecond))
}

// mayGive reports whether the rows for a daemon that has a revision may be sent now, and
// charges them if so: topics of daemons that have none to maxWholePerSecond, all others to the
// bytes.
func (s *withheld) mayGive(rows *peerpb.SourceCopy, after uint64) bool {
	first := after == 0
	if first && s.wholes >= maxWholePerSecond || !first && s.rowBytes < len(rows.Rows) {
		s.stats.Declined++
		return false
	}
	s.stats.Rows++
	if first {
		s.wholes++
	} else {
		s.rowBytes -= len(rows.Rows)
	}
	return true
}

// onRelief takes the answer of another daemon: it notes who is up to date, and passes the rows
// on to the watcher.
func (r *Relay) onRelief(from string, m *peerpb.SourceCopy) {
	now, topic := time.Now(), catalog.Topic(m.Topic)
	r.noteHolder(now, from, m.Holder)
	push := catalog.Push{After: m.After, Whole: m.After == 0, Batch: catalog.Batch{Revision: m.Revision}}
	switch {
	case m.State == peerpb.CopyState_COPY_HERE:
		records, err := r.unpack(topic, m.Rows)
		if err != nil {
			r.Logger.EmitError(eventlog.EntryRefused, fault.Wrap(err, "pollers.unpack", from), eventlog.Fields{"topic": topic.String(), "revision": m.Revision})
			return
		}
		push.Records = records
	case m.Holder == from:
		push = catalog.Push{}
	default:
		return
	}
	r.mu.Lock()
	if len(push.Records) > 0 {
		r.withheld.stats.Taken++
	}
	r.mu.Unlock()
	select {
	case r.withheld.relief[topic] <- push:
	default:
		// The rows are asked for again.
	}
}

// noteHolder notes the daemon that an answer names as up to date.
func (r *Relay) noteHolder(now time.Time, from, named string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.withheld
	switch {
	case named == from:
		if r.currentHolder(now) == "" {
			s.holder = from
		}
		if s.holder == from {
			s.holderAnsweredAt = now
		}
	case s.holder == from:
		s.holder = ""
	}
	next := s.candidates[:min(searchFanOut, len(s.candidates))]
	if named != "" && named != from && named != r.Self && r.currentHolder(now) == "" && !slices.Contains(next, named) {
		s.candidates = slices.Insert(s.candidates, 0, named)
	}
}
