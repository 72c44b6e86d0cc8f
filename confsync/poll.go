package confsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

const (
	// pollInterval is the mean time between two reads of the row by a poller.
	pollInterval = time.Second
	// pollTimeout bounds one poll: the read of the row and of the sets.
	pollTimeout = 2 * time.Second
	// bootstrapDelay is the shortest time that a daemon that is not a poller
	// waits for its peers before it reads the store itself. When all daemons
	// start at once, this keeps all but the pollers from reading the whole set.
	bootstrapDelay = 1500 * time.Millisecond
	// maxCatchUpGenerations is the largest number of missing generations that a
	// poll reads one by one. If more are missing, it reads the newest only.
	maxCatchUpGenerations = 8
	// isolationLimit is the time without a message from any peer after which a
	// daemon reads the row as often as a poller.
	isolationLimit = 2 * time.Second
	// backupReadsPerSecond is the number of reads a second that the daemons that
	// are not pollers make in total. They find a change when both pollers have
	// died and the list of live daemons does not show it yet.
	backupReadsPerSecond = 2
)

// pollLoop reads the row until ctx ends: once a second on a poller, less often on
// the other daemons, and after PollNow.
func (s *Syncer) pollLoop(ctx context.Context) {
	timer := time.NewTimer(s.firstPollDelay())
	defer timer.Stop()
	due := true
	var lastPoll time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pollNow:
			due = true
		case <-timer.C:
		}
		if due {
			lastPoll = time.Now()
			s.poll(ctx)
		}
		var wait time.Duration
		wait, due = s.nextPoll(lastPoll)
		timer.Reset(wait)
	}
}

// firstPollDelay returns the time until the first read of the row. It is random,
// to spread the reads of daemons that start together.
func (s *Syncer) firstPollDelay() time.Duration {
	if s.treePosition().rank < pollerCount {
		return rand.N(pollInterval / 4)
	}
	return bootstrapDelay + rand.N(bootstrapDelay)
}

// nextPoll returns how long the poll loop waits, and whether it reads the row
// then or only calls nextPoll again. Pollers and isolated daemons read once a
// second, with a jitter of 10 percent. The other daemons take turns by rank, so
// that their reads are spread evenly as far as their clocks agree. A daemon
// without a configuration reads after bootstrapDelay or up to twice that.
func (s *Syncer) nextPoll(lastPoll time.Time) (wait time.Duration, due bool) {
	wait = pollInterval*9/10 + rand.N(pollInterval/5)
	p := s.treePosition()
	if p.rank < pollerCount || s.isolated() {
		return wait, true
	}
	if s.Generation() == 0 {
		return bootstrapDelay + rand.N(bootstrapDelay), true
	}
	nonPollers := time.Duration(p.count - pollerCount)
	period := max(nonPollers*time.Second/backupReadsPerSecond, pollInterval)
	turnOffset := period * time.Duration(p.rank-pollerCount) / nonPollers
	now := time.Now()
	untilTurn := (turnOffset - time.Duration(now.UnixNano())%period + period) % period
	if now.Add(untilTurn).Sub(lastPoll) < pollInterval/4 {
		// A read shortly before the turn counts as the read of this turn.
		untilTurn += period
	}
	if untilTurn <= wait {
		return untilTurn, true
	}
	return wait, false
}

// isolated reports whether no message from a peer arrived within isolationLimit.
func (s *Syncer) isolated() bool {
	return time.Since(time.Unix(0, s.lastMessageNanos.Load())) > isolationLimit
}

func (s *Syncer) treePosition() treePosition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.treePositionLocked()
}

// poll reads the row, and the set if the row names a newer generation. Of
// consecutive failures, only the first is logged.
func (s *Syncer) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	err := s.readStore(ctx)
	failedBefore := s.storeFailed.Swap(err != nil)
	if err != nil && !failedBefore {
		s.config.Logger.EmitError(eventlog.ConfigReadFailed, err, nil)
	}
}

// readStore reads the row and installs the generations that are missing here. It
// skips an earlier generation that cannot be read and returns an error if the
// newest one cannot be read. It writes the row again if a restored table has an earlier one.
func (s *Syncer) readStore(ctx context.Context) error {
	s.countRead(&s.stats.RowReads)
	row, version, err := readRow(ctx, s.config.Table)
	if err != nil {
		return err
	}
	if err := s.writeAgain(ctx, row, version); err != nil {
		return err
	}
	s.noteRow(row)
	for _, generation := range missingGenerations(s.Generation(), row) {
		generationRow, ok := row.atGeneration(generation)
		if !ok || generation <= s.Generation() {
			continue
		}
		if err := s.readGeneration(ctx, generationRow); err != nil && generation == row.Generation {
			return err
		}
	}
	s.rowRead.Store(true)
	return nil
}

// missingGenerations returns the generations to read, in order. Several that were
// published between two polls are read one by one, so that all daemons hold
// deltas between consecutive generations and can serve one another.
func missingGenerations(inForce uint64, row *currentRow) []uint64 {
	if row.Generation <= inForce {
		return nil
	}
	first := row.Generation
	if inForce > 0 && row.Generation-inForce <= maxCatchUpGenerations {
		first = inForce + 1
	}
	var generations []uint64
	for g := first; g <= row.Generation; g++ {
		generations = append(generations, g)
	}
	return generations
}

// readGeneration reads the set that row names from the object store and installs
// it.
func (s *Syncer) readGeneration(ctx context.Context, row *currentRow) error {
	s.countRead(&s.stats.ObjectReads)
	set, err := readSet(ctx, s.config.Objects, s.codec, row)
	if err != nil {
		return err
	}
	next := &installedSet{generation: row.Generation, set: set, digest: row.Digest}
	s.install("", next, &peerpb.ConfigData{Generation: row.Generation, Digest: row.Digest})
	return nil
}

func (s *Syncer) countRead(counter *uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
}
