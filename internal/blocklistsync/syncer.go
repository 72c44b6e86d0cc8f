// Package blocklistsync shares what a daemon knows about parts of prompts that crash
// targets, see package blocklist, with its peers and with the table service.
//
// The owner of a lost target gathers the attempts that the daemons lost on it and tells all
// daemons in one message, so that each of them has the evidence. Accusations, blocked sets
// and answers that contradict them are told in the same way. A daemon tells the blocked sets
// to each peer with which a session starts, since that peer may have started or been cut
// off. The table service keeps them in one row for the case that all daemons restart.
package blocklistsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramflow/marjoramflow/blocklist"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// tickInterval is the time between two calls of Tracker.Tick, and the precision of
	// gatherTime.
	tickInterval = 250 * time.Millisecond
	// gatherTime is how long the attempts lost on a target are gathered after it is found
	// down. The daemons notice their broken connections within a round trip.
	gatherTime = 200 * time.Millisecond
	// lostAttemptTime is how long a lost attempt is kept until its target is found down or replaced.
	// One that starts again within the round trip of a check is noticed by the next request to it.
	lostAttemptTime = 5 * time.Second
	// maxTargets bounds the targets with lost attempts.
	maxTargets = 256
	// maxVetoDelay spreads the vetoes of the daemons, so that most of them hear of another
	// one before they send their own. It is short compared with the veto window.
	maxVetoDelay = 150 * time.Millisecond
	// minAccuseDelay and maxAccuseDelay bound the delay after which a daemon accuses a part
	// instead of the owner that reported the last loss.
	minAccuseDelay = 300 * time.Millisecond
	maxAccuseDelay = 1300 * time.Millisecond
)

// Config holds the dependencies of a Syncer. All are required, but Table only for RunTable.
type Config struct {
	Self string
	// Broadcast sends a message to every daemon with a session, Send to one of them.
	Broadcast func(m *peerpb.Envelope)
	Send      func(to string, m *peerpb.Envelope) error
	// IsKeeper reports whether this daemon is the one of all live daemons that lets the
	// trials of a set through.
	IsKeeper func(key string) bool
	// OnExplained is called with the targets whose loss a blocked set explains.
	OnExplained func(target string)
	Table       provider.Table
	Logger      *eventlog.Logger
}

// Syncer keeps the blocklist of a daemon in sync with its peers and the table. Its methods
// are safe for concurrent use.
type Syncer struct {
	Config
	tracker *blocklist.Tracker
	// unsaved has an element while the blocked sets have to be written to the table.
	unsaved chan struct{}

	mu sync.Mutex
	// lost holds the attempts that were lost on each target, and downSince when targets were
	// found down whose loss is not reported yet.
	lost      map[string]*lostAttempts
	downSince map[string]time.Time
	// reportedAt holds when this daemon reported the loss of a target that it owns, until it has
	// reported what others added to it.
	reportedAt map[string]time.Time
	// finished are the answers that ended and do not count yet, oldest first.
	finished []finishedAnswer
	// toldAnswered holds, by part, when a peer last told that it was answered.
	toldAnswered map[uint64]time.Time
}

// lostAttempts are the attempts lost on one target.
type lostAttempts struct {
	lastAt   time.Time
	attempts []blocklist.Attempt
}

// New returns a Syncer with an empty blocklist.
func New(config Config) *Syncer {
	spread := time.Duration(xxhash.Sum64String(config.Self) % uint64(maxAccuseDelay-minAccuseDelay))
	return &Syncer{
		Config:       config,
		tracker:      blocklist.New(blocklist.Options{AccuseDelay: minAccuseDelay + spread}),
		unsaved:      make(chan struct{}, 1),
		lost:         make(map[string]*lostAttempts),
		downSince:    make(map[string]time.Time),
		reportedAt:   make(map[string]time.Time),
		toldAnswered: make(map[uint64]time.Time),
	}
}

// Stats returns figures for the metrics.
func (s *Syncer) Stats() blocklist.Stats {
	return s.tracker.Stats()
}

// Check implements entry.Blocklist.
func (s *Syncer) Check(parts []uint64) blocklist.Verdict {
	verdict := s.tracker.Check(time.Now(), parts)
	verdict.TrialDue = verdict.TrialDue && s.IsKeeper(blocklist.Key(verdict.Parts))
	return verdict
}

// StartTrial implements entry.Blocklist.
func (s *Syncer) StartTrial(parts []uint64) bool {
	return s.tracker.StartTrial(time.Now(), parts)
}

// Answered records that a target answered a request with these parts to its end.
func (s *Syncer) Answered(parts []uint64) {
	answer, changed := s.tracker.Answered(time.Now(), parts)
	if changed {
		s.publishAnswered(answer)
	}
}

// AttemptLost records that an attempt was lost on a target.
func (s *Syncer) AttemptLost(target string, attempt blocklist.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lost[target]
	if l == nil {
		if len(s.lost) >= maxTargets {
			return
		}
		l = &lostAttempts{}
		s.lost[target] = l
	}
	l.lastAt = time.Now()
	if len(l.attempts) < blocklist.MaxAttempts {
		l.attempts = append(l.attempts, attempt)
	}
}

// TargetDown records that a target was found down or replaced. The attempts lost on it are reported
// after gatherTime.
func (s *Syncer) TargetDown(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downSince[target] = time.Now()
}

// Run reports losses and advances the time of the blocklist until the context ends.
func (s *Syncer) Run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, tickInterval, func(now time.Time) {
		for _, loss := range s.dueLosses(now) {
			s.reportLoss(now, loss)
		}
		s.confirmFinished(now)
		s.publishBlocks(s.tracker.Tick(now))
	})
}

// dueLosses returns the losses of targets that were found down gatherTime ago, and forgets
// attempts whose target was not found down.
func (s *Syncer) dueLosses(now time.Time) []blocklist.Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []blocklist.Loss
	for target, since := range s.downSince {
		if now.Sub(since) < gatherTime {
			continue
		}
		delete(s.downSince, target)
		loss := blocklist.Loss{Target: target}
		if l := s.lost[target]; l != nil {
			loss.Attempts = l.attempts
			delete(s.lost, target)
		}
		due = append(due, loss)
	}
	for target, l := range s.lost {
		if _, down := s.downSince[target]; !down && now.Sub(l.lastAt) > lostAttemptTime {
			delete(s.lost, target)
		}
	}
	for target, at := range s.reportedAt {
		if now.Sub(at) > lateAttemptTime {
			delete(s.reportedAt, target)
		}
	}
	for part, at := range s.toldAnswered {
		if now.Sub(at) > maxVetoDelay {
			delete(s.toldAnswered, part)
		}
	}
	return due
}

// reportLoss records a loss that this daemon saw as owner of the target, and tells the
// others.
func (s *Syncer) reportLoss(now time.Time, loss blocklist.Loss) {
	loss.Attempts = append(loss.Attempts, s.takeFinished(loss.Target)...)
	if len(loss.Attempts) == 0 {
		return
	}
	s.mu.Lock()
	if _, isAddition := s.reportedAt[loss.Target]; isAddition {
		// Two daemons that both regard themselves as the owner would add to one another endlessly.
		delete(s.reportedAt, loss.Target)
	} else {
		s.reportedAt[loss.Target] = now
	}
	s.mu.Unlock()
	s.Broadcast(encodeLoss(loss))
	notices, explained := s.tracker.RecordLoss(now, loss, true)
	if explained {
		s.OnExplained(loss.Target)
	}
	s.publishBlocks(notices)
}

// OnMessage handles a notice of a peer. It reports whether the message was one.
func (s *Syncer) OnMessage(from string, m *peerpb.Envelope) bool {
	now := time.Now()
	switch body := m.Body.(type) {
	case *peerpb.Envelope_PartLoss:
		s.onLoss(now, from, decodeLoss(body.PartLoss))
	case *peerpb.Envelope_PartBlock:
		if vetoes := s.tracker.Merge(now, decodeBlock(now, body.PartBlock)); len(vetoes) > 0 {
			time.AfterFunc(s.vetoDelay(from, vetoes), func() { s.veto(vetoes) })
		}
	case *peerpb.Envelope_PartAnswered:
		s.mergeAnswered(now, decodeAnswered(now, body.PartAnswered))
	default:
		return false
	}
	return true
}

// vetoDelay returns the time for which a veto waits for those of other daemons.
func (s *Syncer) vetoDelay(from string, vetoes []blocklist.Answer) time.Duration {
	return time.Duration(xxhash.Sum64String(s.Self+from+blocklist.Key(vetoes[0].Parts)) % uint64(maxVetoDelay))
}

// veto tells the other daemons which parts of an accused or blocked set were answered here,
// unless another daemon told them meanwhile.
func (s *Syncer) veto(vetoes []blocklist.Answer) {
	s.mu.Lock()
	vetoes = slices.DeleteFunc(vetoes, func(b blocklist.Answer) bool {
		_, told := s.toldAnswered[b.Parts[0]]
		return told
	})
	s.mu.Unlock()
	for _, answer := range vetoes {
		s.publishAnswered(answer)
	}
}

func (s *Syncer) mergeAnswered(now time.Time, answer blocklist.Answer) {
	s.mu.Lock()
	for _, part := range answer.Parts {
		if len(s.toldAnswered) < blocklist.DefaultMaxParts {
			s.toldAnswered[part] = now
		}
	}
	s.mu.Unlock()
	s.tracker.MergeAnswer(answer)
}

// SessionUp tells a peer the blocked sets.
func (s *Syncer) SessionUp(peer string) {
	for _, block := range s.tracker.Snapshot() {
		// A peer that cannot be reached is told when its next session starts.
		_ = s.Send(peer, encodeBlock(time.Now(), block))
	}
}

// publishBlocks tells the other daemons about sets that this daemon accused or blocked.
func (s *Syncer) publishBlocks(blocks []blocklist.Block) {
	for _, b := range blocks {
		s.Broadcast(encodeBlock(time.Now(), b))
		fields := eventlog.Fields{"parts": formatParts(b.Parts), "targets": b.Targets, "failedTrials": b.FailedTrials}
		if b.State != blocklist.Blocked {
			s.Logger.Emit(eventlog.PartsAccused, fields)
			continue
		}
		s.Logger.Emit(eventlog.PartsBlocked, fields)
		s.markUnsaved()
		for _, target := range b.Targets {
			s.OnExplained(target)
		}
	}
}

// publishAnswered tells the other daemons that parts were answered.
func (s *Syncer) publishAnswered(answer blocklist.Answer) {
	s.Broadcast(encodeAnswered(time.Now(), answer))
	s.markUnsaved()
	s.Logger.Emit(eventlog.PartsAnswered, eventlog.Fields{"parts": formatParts(answer.Parts)})
}

// markUnsaved makes RunTable write the blocked sets.
func (s *Syncer) markUnsaved() {
	select {
	case s.unsaved <- struct{}{}:
	default:
	}
}
