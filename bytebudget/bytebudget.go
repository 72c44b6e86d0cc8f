// Package bytebudget bounds the memory that a daemon uses for received messages: answers
// of targets and request bodies of callers.
//
// A message may grow as long as it holds no more bytes than remain free in the budget
// afterwards. A single large message thus gets at most half of the budget. Of many
// messages that grow without end, each gets an equal part, and a part of the same size
// stays free for new messages (the dynamic thresholds of shared switch buffers, Choudhury
// and Hahne, 1998). A message that needs more than its part is refused the memory.
//
// All types are safe for concurrent use, but each Allocation belongs to one message and
// is meant for its one reader.
package bytebudget

import (
	"errors"
	"io"
	"sync"
)

// ErrExceeded is returned when a message needs more memory than its part of the budget.
var ErrExceeded = errors.New("message exceeds its part of the memory for messages")

// Budget is the memory shared by all messages of one kind. It is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	total, used int64
}

// New returns a budget of total bytes.
func New(total int64) *Budget {
	return &Budget{total: total}
}

// Used returns the number of bytes held by all allocations.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// NewAllocation returns an empty allocation for one message. Release must be called when
// the message is no longer needed. An allocation from a nil budget is unbounded.
func (b *Budget) NewAllocation() *Allocation {
	return &Allocation{budget: b}
}

// Allocation is the memory held for one message. It belongs to one reader; its methods are
// safe for concurrent use.
type Allocation struct {
	budget *Budget
	held   int64
}

// Grow adds bytes to the allocation, or returns ErrExceeded and adds none.
func (a *Allocation) Grow(bytes int64) error {
	if a.budget == nil {
		return nil
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.held+bytes > a.budget.total-a.budget.used-bytes {
		return ErrExceeded
	}
	a.held += bytes
	a.budget.used += bytes
	return nil
}

// Release returns all bytes of the allocation to the budget. It may be called more than
// once.
func (a *Allocation) Release() {
	if a.budget == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.used -= a.held
	a.held = 0
}

const (
	// initialBufferBytes is the first size of the buffer when the length is unknown.
	initialBufferBytes = 4 << 10
	// maxInitialBufferBytes bounds the first size of the buffer when the length is
	// stated. Most messages fit, and stating a large length alone takes little of the
	// budget.
	maxInitialBufferBytes = 16 << 10
)

// ReadAll reads r to its end like io.ReadAll, and calls Grow before it allocates memory.
// expected is the length in bytes, or negative if unknown; a wrong length does no harm.
// On an error of Grow or r, ReadAll returns the bytes read so far with it.
func (a *Allocation) ReadAll(r io.Reader, expected int64) ([]byte, error) {
	size := int64(initialBufferBytes)
	if expected >= 0 {
		// One extra byte lets Read report the end before the buffer must grow.
		size = min(expected+1, maxInitialBufferBytes)
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			if err := a.Grow(size); err != nil {
				return data, err
			}
			grown := make([]byte, len(data), int64(cap(data))+size)
			copy(grown, data)
			data = grown
			size = int64(cap(data))
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}
