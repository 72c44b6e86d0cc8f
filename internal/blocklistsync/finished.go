package blocklistsync

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/blocklist"
)

const (
	// confirmTime is how long an answer that ended waits for the loss of its target. A target that
	// crashes with the end of its answer is found down, and its loss is told, within this time.
	confirmTime = time.Second
	// maxFinished bounds the answers that wait. Further ones do not count.
	maxFinished = 4096
	// lateAttemptTime is the time after the report of a loss in which its owner takes attempts that
	// other daemons add to it.
	lateAttemptTime = 2 * time.Second
)

// finishedAnswer is an answer that ended and whose target may still be lost to it.
type finishedAnswer struct {
	target  string
	at      time.Time
	attempt blocklist.Attempt
}

// Begun implements entry.Blocklist.
func (s *Syncer) Begun(parts []uint64) {
	if answer, changed := s.tracker.Begun(time.Now(), parts); changed {
		s.publishAnswered(answer)
	}
}

// Finished implements entry.Blocklist. The answer counts after confirmTime: an answer that ends with
// its connection looks whole although its target crashed.
func (s *Syncer) Finished(target string, fingerprint uint64, parts []uint64) {
	if len(parts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.finished) < maxFinished {
		s.finished = append(s.finished, finishedAnswer{target, time.Now(), blocklist.Attempt{Fingerprint: fingerprint, Parts: parts, Begun: true}})
	}
}

// Suspects implements entry.Blocklist.
func (s *Syncer) Suspects(fingerprint uint64, parts []uint64) []uint64 {
	return s.tracker.Suspects(time.Now(), fingerprint, parts)
}

// confirmFinished counts the answers whose targets were not lost within confirmTime.
func (s *Syncer) confirmFinished(now time.Time) {
	s.mu.Lock()
	due := 0
	for due < len(s.finished) && now.Sub(s.finished[due].at) >= confirmTime {
		due++
	}
	confirmed := slices.Clone(s.finished[:due])
	s.finished = slices.Delete(s.finished, 0, due)
	s.mu.Unlock()
	for _, f := range confirmed {
		if answer, changed := s.tracker.Answered(f.at, f.attempt.Parts); changed {
			s.publishAnswered(answer)
		}
	}
}

// takeFinished returns the attempts whose answers ended just before their target was lost. These
// answers do not count.
func (s *Syncer) takeFinished(target string) []blocklist.Attempt {
	s.mu.Lock()
	var attempts []blocklist.Attempt
	s.finished = slices.DeleteFunc(s.finished, func(f finishedAnswer) bool {
		if f.target == target {
			attempts = append(attempts, f.attempt)
		}
		return f.target == target
	})
	s.mu.Unlock()
	for i := range attempts {
		attempts[i].Parts = s.Suspects(attempts[i].Fingerprint, attempts[i].Parts)
	}
	return slices.DeleteFunc(attempts, func(a blocklist.Attempt) bool { return len(a.Parts) == 0 })
}

// onLoss handles the report of a loss by another daemon. If this daemon has reported the loss itself,
// the attempts are to be added to it, and are told to all others after gatherTime. Otherwise this
// daemon adds the attempts that the owner does not know.
func (s *Syncer) onLoss(now time.Time, from string, loss blocklist.Loss) {
	s.mu.Lock()
	reportedAt, isOwner := s.reportedAt[loss.Target]
	s.mu.Unlock()
	if isOwner && now.Sub(reportedAt) < lateAttemptTime {
		for _, attempt := range loss.Attempts {
			s.AttemptLost(loss.Target, attempt)
		}
		s.TargetDown(loss.Target)
		return
	}
	notices, _ := s.tracker.RecordLoss(now, loss, false)
	s.publishBlocks(notices)
	if attempts := s.takeFinished(loss.Target); len(attempts) > 0 {
		// Without a session to the owner the loss counts without these attempts.
		_ = s.Send(from, encodeLoss(blocklist.Loss{Target: loss.Target, Attempts: attempts}))
	}
}
