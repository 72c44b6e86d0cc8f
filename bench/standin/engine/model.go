package engine

import (
	"container/list"
	"sync"
	"time"
)

// Speed describes one hardware generation of the engine model.
type Speed struct {
	// PrefillTokensPerSecond is the prompt processing rate of the whole engine.
	PrefillTokensPerSecond float64
	// DecodeBase is the time of one decode step with an empty batch.
	DecodeBase time.Duration
	// DecodePerSequence is added for each sequence in the batch.
	DecodePerSequence time.Duration
	// MaxBatch is the number of sequences that run at once.
	MaxBatch int
	// KVTokens is the size of the KV cache; running sequences and cached
	// prefixes share it.
	KVTokens int
}

// prefillChunk is the number of prompt tokens that one step processes at most,
// so that a long prompt does not stop all decoding.
const prefillChunk = 512

// sequence is one request inside the engine.
type sequence struct {
	id        string
	version   string
	prompt    int
	blocks    []uint64
	cached    int
	prefilled int
	from      int
	emitted   int
	total     int
	// out receives the index of each token; it is closed at the end. Its
	// capacity is the whole answer, so the step loop never blocks.
	out      chan int
	canceled bool
	// progress gathers the parts of steps that a sequence of a slow version gets;
	// it takes part in a step when it reaches 1.
	progress float64
	active   bool
}

// prefillLeft counts the prompt and resumed tokens that are not yet processed.
func (s *sequence) prefillLeft() int {
	return s.prompt + s.from - s.prefilled
}

// kv is the cache space that the sequence needs at its end.
func (s *sequence) kv() int {
	return s.prompt + s.total
}

// batch is the continuous batching loop: it admits in order of arrival, and each
// step processes one chunk of prompts and one token per decoding sequence.
type batch struct {
	speed Speed
	// slow stretches all steps; versionSlow stretches the work of one version, as
	// if it ran on a back end of its own beside the others.
	slow        func() float64
	versionSlow func(version string, running int) float64

	mu      sync.Mutex
	wake    chan struct{}
	waiting []*sequence
	running []*sequence
	cache   *prefixCache

	prefilledTotal int64
	wastedTotal    int64
}

func newBatch(speed Speed, slow func() float64, versionSlow func(string, int) float64, onCache func(op string, block uint64)) *batch {
	return &batch{
		speed:       speed,
		slow:        slow,
		versionSlow: versionSlow,
		wake:        make(chan struct{}, 1),
		cache:       newPrefixCache(speed.KVTokens/blockTokens, onCache),
	}
}

// add queues a sequence.
func (b *batch) add(s *sequence) {
	b.mu.Lock()
	b.waiting = append(b.waiting, s)
	b.mu.Unlock()
	b.signal()
}

func (b *batch) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// cancel stops a sequence.
func (b *batch) cancel(s *sequence) {
	b.mu.Lock()
	s.canceled = true
	b.mu.Unlock()
	b.signal()
}

// counts returns running and waiting sequences and the KV tokens in use.
func (b *batch) counts() (running, waiting, kv int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), len(b.waiting), b.kvInUse()
}

func (b *batch) kvInUse() int {
	sum := 0
	for _, s := range b.running {
		sum += s.kv()
	}
	return sum
}

// run is the step loop; it ends when done is closed.
func (b *batch) run(done <-chan struct{}) {
	for {
		duration, busy := b.plan()
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

// plan admits waiting sequences and returns the duration of the next step.
func (b *batch) plan() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropCanceled()
	b.admit()
	if len(b.running) == 0 {
		return 0, false
	}
	budget := prefillChunk
	decoding := 0
	for _, s := range b.running {
		if !s.takesPart(b.versionSlow(s.version, len(b.running))) {
			continue
		}
		left := s.prefillLeft()
		if left <= 0 {
			decoding++
			continue
		}
		part := min(left, budget)
		s.prefilled += part
		budget -= part
		b.prefilledTotal += int64(part)
		if s.from > 0 {
			b.wastedTotal += int64(part)
		}
	}
	seconds := float64(prefillChunk-budget) / b.speed.PrefillTokensPerSecond
	step := time.Duration(seconds * float64(time.Second))
	if decoding > 0 {
		step += b.speed.DecodeBase + time.Duration(decoding)*b.speed.DecodePerSequence
	}
	if step == 0 {
		step = b.speed.DecodeBase
	}
	return time.Duration(float64(step) * b.slow()), true
}

// takesPart says whether the sequence is processed in this step.
func (s *sequence) takesPart(slow float64) bool {
	s.progress += 1 / slow
	s.active = s.progress >= 1
	if s.active {
		s.progress--
	}
	return s.active
}

func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.speed.MaxBatch {
		s := b.waiting[0]
		if len(b.running) > 0 && b.kvInUse()+s.kv() > b.speed.KVTokens {
			return
		}
		b.waiting = b.waiting[1:]
		s.cached = min(b.cache.match(s.blocks)*blockTokens, max(0, s.prompt-1))
		s.prefilled = s.cached
		b.running = append(b.running, s)
	}
}

// finishStep emits one token for every sequence whose prompt is processed.
func (b *batch) finishStep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.running[:0]
	for _, s := range b.running {
		if s.canceled {
			b.drop(s)
			continue
		}
		if !s.active || s.prefillLeft() > 0 {
			kept = append(kept, s)
			continue
		}
		if s.emitted == 0 {
			b.cache.store(s.blocks)
		}
		s.out <- s.from + s.emitted
		s.emitted++
		if s.from+s.emitted >= s.total {
			close(s.out)
			continue
		}
		kept = append(kept, s)
	}
	b.running = kept
}

func (b *batch) dropCanceled() {
	waiting := b.waiting[:0]
	for _, s := range b.waiting {
		if s.canceled {
			close(s.out)
			continue
		}
		waiting = append(waiting, s)
	}
	b.waiting = waiting
	running := b.running[:0]
	for _, s := range b.running {
		if s.canceled {
			b.drop(s)
			continue
		}
		running = append(running, s)
	}
	b.running = running
}

// drop ends a canceled sequence. Prompt work before the first token is lost;
// later the prompt is in the cache, and what a resumed request has to process
// again is counted when it does.
func (b *batch) drop(s *sequence) {
	if s.emitted == 0 && s.from == 0 {
		b.wastedTotal += int64(max(0, s.prefilled-s.cached))
	}
	close(s.out)
}

// prefixCache is a least recently used set of prefix blocks.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	onChange func(op string, block uint64)
}

func newPrefixCache(capacity int, onChange func(string, uint64)) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element), onChange: onChange}
}

// match returns the number of leading blocks in the cache.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		e, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(blocks)
}

// store adds blocks and evicts the least recently used ones.
func (c *prefixCache) store(blocks []uint64) {
	for _, block := range blocks {
		if e, ok := c.blocks[block]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.onChange("stored", block)
	}
	for len(c.blocks) > c.capacity {
		last := c.order.Back()
		block := last.Value.(uint64)
		c.order.Remove(last)
		delete(c.blocks, block)
		c.onChange("evicted", block)
	}
}
