package blocklist

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Tracker holds what one daemon knows about parts of prompts. It is safe for concurrent
// use.
type Tracker struct {
	options Options

	// blockCount is len(blocks), for requests to be checked without the lock while nothing
	// is blocked.
	blockCount atomic.Int32

	mu sync.Mutex
	// answered holds, by part, when a target last answered a request with it.
	answered *simplelru.LRU[uint64, answerTimes]
	// records holds, by part, the losses that count against it.
	records *simplelru.LRU[uint64, *record]
	// recentLosses are those of the last DuplicateLossWindow, oldest first.
	recentLosses []*loss
	// unexplained are the last losses that no blocked set explains, oldest first.
	unexplained []*loss
	blocks      []*block
	// ready holds the parts that may be accused, and since when.
	ready map[uint64]time.Time
}

// answerTimes are the times at which a target last answered a request with a part.
type answerTimes struct {
	// begun is the time of the last answer, whole that of the last one that was whole.
	begun, whole time.Time
}

// at returns the time of the last answer that counts against an accusation.
func (a answerTimes) at(onlyWhole bool) time.Time {
	if onlyWhole {
		return a.whole
	}
	return a.begun
}

// loss is the loss of one target.
type loss struct {
	target string
	at     time.Time
	// explained is set when a blocked set was among the attempts.
	explained bool
	attempts  []Attempt
}

// record is the evidence against one part: the attempts with it that were lost, oldest
// first.
type record struct {
	evidence []lostAttempt
}

type lostAttempt struct {
	loss    *loss
	attempt Attempt
}

// block is an accused or blocked set.
type block struct {
	Block
	// decidesHere is set in the daemon that accused the set; it decides at accusedUntil. The
	// others drop the accusation then.
	decidesHere  bool
	accusedUntil time.Time
	// trialUntil is when the present trial is given up.
	trialUntil time.Time
}

// New returns an empty tracker.
func New(options Options) *Tracker {
	options = options.withDefaults()
	t := &Tracker{options: options, ready: make(map[uint64]time.Time)}
	t.answered = newLRU[answerTimes](options.MaxParts, nil)
	t.records = newLRU(options.MaxParts, func(part uint64, _ *record) { delete(t.ready, part) })
	return t
}

// newLRU returns a map that forgets the entry used longest ago beyond a size.
func newLRU[V any](size int, onEvict func(uint64, V)) *simplelru.LRU[uint64, V] {
	lru, err := simplelru.NewLRU(size, onEvict)
	if err != nil {
		// The only possible error is a size that is not positive.
		panic(err)
	}
	return lru
}

// Stats are figures for the metrics.
type Stats struct {
	Parts, Answered, Accused, Blocked int
}

// Stats returns the numbers of parts and sets that the tracker remembers.
func (t *Tracker) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Stats{Parts: t.records.Len(), Answered: t.answered.Len()}
	for _, b := range t.blocks {
		if b.State == Blocked {
			s.Blocked++
		} else {
			s.Accused++
		}
	}
	return s
}

// Check returns how a request with these parts is treated.
func (t *Tracker) Check(now time.Time, parts []uint64) Verdict {
	if t.blockCount.Load() == 0 || len(parts) == 0 {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := Verdict{}
	for _, b := range t.blocks {
		if b.State <= verdict.State || !containsAll(parts, b.Parts) {
			continue
		}
		verdict = Verdict{State: b.State, Parts: b.Parts}
		if b.State == Blocked {
			due := t.trialDue(b)
			verdict.TrialDue = !now.Before(due) && !now.Before(b.trialUntil)
			verdict.RetryAfter = max(0, due.Sub(now))
		}
	}
	return verdict
}

// trialDue returns when the next trial of a blocked set is due.
func (t *Tracker) trialDue(b *block) time.Time {
	delay := t.options.TrialDelay
	for range min(b.FailedTrials, maxTrialExponent) {
		delay *= DefaultTrialBackoff
	}
	return b.LastLoss.Add(delay)
}

// StartTrial lets one request of a blocked set through if a trial is due, and reports
// whether it did.
func (t *Tracker) StartTrial(now time.Time, set []uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.findBlock(set)
	if b == nil || b.State != Blocked || now.Before(t.trialDue(b)) || now.Before(b.trialUntil) {
		return false
	}
	b.trialUntil = now.Add(t.options.TrialTimeout)
	return true
}

// Snapshot returns the blocked sets, for a daemon that may not know them.
func (t *Tracker) Snapshot() []Block {
	if t.blockCount.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Block
	for _, b := range t.blocks {
		if b.State == Blocked {
			out = append(out, b.Block)
		}
	}
	return out
}

func (t *Tracker) findBlock(set []uint64) *block {
	for _, b := range t.blocks {
		if slices.Equal(b.Parts, set) {
			return b
		}
	}
	return nil
}

// addBlock adds a set. A full tracker forgets the set whose last loss is the oldest.
func (t *Tracker) addBlock(b *block) {
	if len(t.blocks) >= t.options.MaxBlocks {
		oldest := slices.MinFunc(t.blocks, func(x, y *block) int { return x.LastLoss.Compare(y.LastLoss) })
		t.removeBlocks(func(other *block) bool { return other == oldest })
	}
	t.blocks = append(t.blocks, b)
	t.blockCount.Store(int32(len(t.blocks)))
}

func (t *Tracker) removeBlocks(remove func(*block) bool) {
	t.blocks = slices.DeleteFunc(t.blocks, remove)
	t.blockCount.Store(int32(len(t.blocks)))
}
