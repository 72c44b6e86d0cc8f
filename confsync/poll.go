package confsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

const (
	// pollInterval is the time between two reads of the row by a poller.
	pollInterval = time.Second
	// pollTimeout bounds one read of the row and of the set.
	pollTimeout = 2 * time.Second
	// bootstrapDelay is how long a daemon that is not a poller waits for its
	// peers before it reads the store itself. When all daemons start at once,
	// this keeps all but the pollers from reading the whole set.
	bootstrapDelay = 1500 * time.Millisecond
	// catchUp is the largest number of generations that a poll reads one by one.
	catchUp = 8
	// isolationLimit is the time without a message from any peer after which a
	// daemon reads like a poller.
	isolationLimit = 2 * time.Second
	// backupReads is the number of reads a second that the daemons that are not
	// pollers make together. They find a change when both pollers died and the
	// live list does not show it yet.
	backupReads = 2
)

// pollLoop reads the row: once a second on a poller, rarely on other daemons.
func (s *Syncer) pollLoop(ctx context.Context) {
	timer := time.NewTimer(s.firstPoll())
	defer timer.Stop()
	due := true
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pollNow:
			due = true
		case <-timer.C:
		}
		if due {
			last = time.Now()
			s.poll(ctx)
		}
		var wait time.Duration
		wait, due = s.nextPoll(last)
		timer.Reset(wait)
	}
}

// firstPoll spreads the reads of daemons that start together.
func (s *Syncer) firstPoll() time.Duration {
	if s.rank().rank < pollers {
		return rand.N(pollInterval / 4)
	}
	return bootstrapDelay + rand.N(bootstrapDelay)
}

// nextPoll returns the time until the next look, and whether the row is read
// then. Pollers read once a second. The others take turns by their rank, so that
// their reads are spread evenly as far as their clocks agree. A daemon that
// hears no peer reads like a poller.
func (s *Syncer) nextPoll(last time.Time) (wait time.Duration, due bool) {
	wait = pollInterval*9/10 + rand.N(pollInterval/5)
	p := s.rank()
	if p.rank < pollers || s.isolated() {
		return wait, true
	}
	if s.Generation() == 0 {
		return bootstrapDelay + rand.N(bootstrapDelay), true
	}
	others := time.Duration(p.count - pollers)
	period := max(others*time.Second/backupReads, pollInterval)
	turn := period * time.Duration(p.rank-pollers) / others
	now := time.Now()
	untilTurn := (turn - time.Duration(now.UnixNano())%period + period) % period
	if now.Add(untilTurn).Sub(last) < pollInterval/4 {
		// This turn was taken a moment ago.
		untilTurn += period
	}
	if untilTurn <= wait {
		return untilTurn, true
	}
	return wait, false
}

// isolated tells whether no peer was heard lately.
func (s *Syncer) isolated() bool {
	return time.Since(time.Unix(0, s.heard.Load())) > isolationLimit
}

func (s *Syncer) rank() place {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placeLocked()
}

// poll reads the row, and the set when the row names a newer generation.
func (s *Syncer) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	err := s.readStore(ctx)
	failedBefore := s.storeFailed.Swap(err != nil)
	if err != nil && !failedBefore {
		s.config.Logger.EmitError(eventlog.ConfigReadFailed, err, nil)
	}
}

func (s *Syncer) readStore(ctx context.Context) error {
	s.countRead(&s.stats.RowReads)
	row, _, err := readRow(ctx, s.config.Table)
	if err != nil {
		return err
	}
	for _, generation := range missing(s.Generation(), row) {
		then, ok := row.at(generation)
		if !ok || generation <= s.Generation() {
			continue
		}
		if err := s.readGeneration(ctx, then); err != nil && generation == row.Generation {
			return err
		}
	}
	s.rowRead.Store(true)
	return nil
}

// missing returns the generations to read. Several that were published between
// two polls are read one by one, so that all daemons hold deltas between
// neighbouring generations and can serve one another.
func missing(have uint64, row *currentRow) []uint64 {
	if row.Generation <= have {
		return nil
	}
	first := row.Generation
	if have > 0 && row.Generation-have <= catchUp {
		first = have + 1
	}
	var generations []uint64
	for g := first; g <= row.Generation; g++ {
		generations = append(generations, g)
	}
	return generations
}

func (s *Syncer) readGeneration(ctx context.Context, row *currentRow) error {
	s.countRead(&s.stats.ObjectReads)
	set, err := readSet(ctx, s.config.Objects, s.codec, row)
	if err != nil {
		return err
	}
	next := &inForce{generation: row.Generation, set: set, digest: row.Digest}
	s.install("", next, &peerpb.ConfigData{Generation: row.Generation, Digest: row.Digest})
	return nil
}

func (s *Syncer) countRead(counter *uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
}
