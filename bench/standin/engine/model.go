package engine

import (
	"container/list"
	"sync"
	"time"
)

// Speed describes the capacity of one hardware generation in the engine model.
type Speed struct {
	// PrefillTokensPerSecond is the prompt processing rate of the whole engine.
	PrefillTokensPerSecond float64
	// DecodeBase is the fixed part of the time of a decode step.
	DecodeBase time.Duration
	// DecodePerSequence is added to a decode step for each sequence that decodes.
	DecodePerSequence time.Duration
	// MaxBatch is the number of sequences that run at once.
	MaxBatch int
	// KVTokens is the size of the KV cache; running sequences and cached
	// prefixes share it.
	KVTokens int
}

// prefillChunkTokens is the number of prompt tokens that one step processes at most,
// so that a long prompt does not stop all decoding (chunked prefill).
const prefillChunkTokens = 512

// sequence is one request inside the engine.
type sequence struct {
	id              string
	version         string
	promptTokens    int
	blocks          []uint64
	cachedTokens    int
	prefilledTokens int
	// resumeFrom is the index of the first token to emit; 0 for a new request.
	resumeFrom   int
	emitted      int
	answerTokens int
	// tokens receives the index of each token and is closed at the end. It has room
	// for the whole answer, so that sending never blocks the step loop.
	tokens   chan int
	canceled bool
	// stepCredit grows by less than 1 per step for a sequence of a slow version. The
	// sequence is processed in a step, and active is true, when it reaches 1.
	stepCredit float64
	active     bool
}

// prefillRemaining returns the number of tokens still to be processed of the prompt and
// of the part of the answer before resumeFrom.
func (s *sequence) prefillRemaining() int {
	return s.promptTokens + s.resumeFrom - s.prefilledTokens
}

// kvTokens returns the number of KV cache tokens that the sequence needs at its end.
func (s *sequence) kvTokens() int {
	return s.promptTokens + s.answerTokens
}

// batcher does continuous batching: it admits sequences in order of arrival, and each
// step processes one chunk of prompts and one token per decoding sequence.
type batcher struct {
	speed Speed
	// slowdown is the factor on the duration of all steps; versionSlowdown is that on
	// the work of one version and does not slow the other versions.
	slowdown        func() float64
	versionSlowdown func(version string, running int) float64

	mu sync.Mutex
	// wake ends the wait of an idle step loop.
	wake    chan struct{}
	waiting []*sequence
	running []*sequence
	cache   *prefixCache

	// prefilledTokens and wastedTokens are totals; see Server.PrefillTokens.
	prefilledTokens int64
	wastedTokens    int64
}

func newBatcher(speed Speed, slowdown func() float64, versionSlowdown func(string, int) float64, onCacheChange func(op string, block uint64)) *batcher {
	return &batcher{
		speed:           speed,
		slowdown:        slowdown,
		versionSlowdown: versionSlowdown,
		wake:            make(chan struct{}, 1),
		cache:           newPrefixCache(speed.KVTokens/blockTokens, onCacheChange),
	}
}

// add appends a sequence to the waiting ones.
func (b *batcher) add(s *sequence) {
	b.mu.Lock()
	b.waiting = append(b.waiting, s)
	b.mu.Unlock()
	b.signal()
}

// signal wakes the step loop if it is idle.
func (b *batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// cancel marks a sequence as canceled; the step loop then removes it. It has no effect
// on a sequence that has ended.
func (b *batcher) cancel(s *sequence) {
	b.mu.Lock()
	s.canceled = true
	b.mu.Unlock()
	b.signal()
}

// counts returns the numbers of running and waiting sequences and of KV tokens in use.
func (b *batcher) counts() (running, waiting, kv int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), len(b.waiting), b.kvInUse()
}

// kvInUse returns the KV cache tokens that the running sequences reserve. The caller
// holds the lock.
func (b *batcher) kvInUse() int {
	sum := 0
	for _, s := range b.running {
		sum += s.kvTokens()
	}
	return sum
}

// run executes steps until done is closed.
func (b *batcher) run(done <-chan struct{}) {
	for {
		duration, busy := b.startStep()
		if !busy {
			select {
			case <-done:
				return
			case <-b.wake:
			}
			continue
		}
		timer := time.NewTimer(duration)
		select {
		case <-done:
			timer.Stop()
			return
		case <-timer.C:
		}
		b.finishStep()
	}
}

// startStep admits waiting sequences, counts the prompt tokens of the next step as
// processed and returns the step's duration. It returns false if no sequence runs.
func (b *batcher) startStep() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeCanceled()
	b.admit()
	if len(b.running) == 0 {
		return 0, false
	}
	budget := prefillChunkTokens
	decoding := 0
	for _, s := range b.running {
		if !s.advance(b.versionSlowdown(s.version, len(b.running))) {
			continue
		}
		remaining := s.prefillRemaining()
		if remaining <= 0 {
			decoding++
			continue
		}
		chunkTokens := min(remaining, budget)
		s.prefilledTokens += chunkTokens
		budget -= chunkTokens
		b.prefilledTokens += int64(chunkTokens)
		if s.resumeFrom > 0 {
			b.wastedTokens += int64(chunkTokens)
		}
	}
	seconds := float64(prefillChunkTokens-budget) / b.speed.PrefillTokensPerSecond
	step := time.Duration(seconds * float64(time.Second))
	if decoding > 0 {
		step += b.speed.DecodeBase + time.Duration(decoding)*b.speed.DecodePerSequence
	}
	if step == 0 {
		// No sequence is active, as all belong to slowed versions.
		step = b.speed.DecodeBase
	}
	return time.Duration(float64(step) * b.slowdown()), true
}

// advance adds the credit of one step and reports whether the sequence is processed in
// this step.
func (s *sequence) advance(slowdown float64) bool {
	s.stepCredit += 1 / slowdown
	s.active = s.stepCredit >= 1
	if s.active {
		s.stepCredit--
	}
	return s.active
}

// admit starts waiting sequences while the batch and the KV cache have room. A sequence
// that is alone is always admitted. The caller holds the lock.
func (b *batcher) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.speed.MaxBatch {
		s := b.waiting[0]
		if len(b.running) > 0 && b.kvInUse()+s.kvTokens() > b.speed.KVTokens {
			return
		}
		b.waiting = b.waiting[1:]
		s.cachedTokens = min(b.cache.matchPrefix(s.blocks)*blockTokens, max(0, s.promptTokens-1))
		s.prefilledTokens = s.cachedTokens
		b.running = append(b.running, s)
	}
}

// finishStep emits one token for every active sequence whose prompt is processed, and
// removes sequences that are complete or canceled.
func (b *batcher) finishStep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.running[:0]
	for _, s := range b.running {
		if s.canceled {
			b.endCanceled(s)
			continue
		}
		if !s.active || s.prefillRemaining() > 0 {
			remaining = append(remaining, s)
			continue
		}
		if s.emitted == 0 {
			b.cache.store(s.blocks)
		}
		s.tokens <- s.resumeFrom + s.emitted
		s.emitted++
		if s.resumeFrom+s.emitted >= s.answerTokens {
			close(s.tokens)
			continue
		}
		remaining = append(remaining, s)
	}
	b.running = remaining
}

// removeCanceled removes canceled sequences from the waiting and running ones. The
// caller holds the lock.
func (b *batcher) removeCanceled() {
	waiting := b.waiting[:0]
	for _, s := range b.waiting {
		if s.canceled {
			close(s.tokens)
			continue
		}
		waiting = append(waiting, s)
	}
	b.waiting = waiting
	running := b.running[:0]
	for _, s := range b.running {
		if s.canceled {
			b.endCanceled(s)
			continue
		}
		running = append(running, s)
	}
	b.running = running
}

// endCanceled ends a canceled sequence. Before the first token, its processed prompt
// tokens count as wasted. After it, the prompt is in the cache, and startStep counts
// the tokens that a resumed request has to process again.
func (b *batcher) endCanceled(s *sequence) {
	if s.emitted == 0 && s.resumeFrom == 0 {
		b.wastedTokens += int64(max(0, s.prefilledTokens-s.cachedTokens))
	}
	close(s.tokens)
}

// prefixCache is an LRU cache of prefix blocks.
type prefixCache struct {
	capacity int
	recency  *list.List
	blocks   map[uint64]*list.Element
	onChange func(op string, block uint64)
}

func newPrefixCache(capacity int, onChange func(string, uint64)) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), blocks: make(map[uint64]*list.Element), onChange: onChange}
}

// matchPrefix returns the number of leading blocks that are in the cache and marks them
// as recently used.
func (c *prefixCache) matchPrefix(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.recency.MoveToFront(element)
	}
	return len(blocks)
}

// store adds blocks and evicts the least recently used ones.
func (c *prefixCache) store(blocks []uint64) {
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recency.PushFront(block)
		c.onChange("stored", block)
	}
	for len(c.blocks) > c.capacity {
		oldest := c.recency.Back()
		block := oldest.Value.(uint64)
		c.recency.Remove(oldest)
		delete(c.blocks, block)
		c.onChange("evicted", block)
	}
}
