// Package bytebudget bounds the memory that a daemon holds for messages of others:
// answers of targets and bodies of callers.
//
// One message may take as much as is still free when it has taken that: a single large
// one gets half of the budget, and of many that grow without end each gets an equal
// part, while the same part stays free for newcomers (the dynamic thresholds of shared
// switch buffers, Choudhury and Hahne, 1998). A message that exceeds its part is cut.
//
// The package is pure. All types are safe for concurrent use, but a Holding belongs to
// one reader.
package bytebudget

import (
	"errors"
	"io"
	"sync"
)

// ErrExceeded is returned to a message that takes more than its part.
var ErrExceeded = errors.New("message exceeds its part of the memory for messages")

// Budget is shared by all messages of one kind.
type Budget struct {
	mu          sync.Mutex
	total, used int64
}

// New returns a budget of so many bytes.
func New(total int64) *Budget {
	return &Budget{total: total}
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// NewAllocation starts a message. Release must be called at its end. A nil budget has no bound.
func (b *Budget) NewAllocation() *Allocation {
	return &Allocation{budget: b}
}

// Allocation is what one message has taken.
type Allocation struct {
	budget *Budget
	bytes  int64
}

// Grow takes more bytes, or returns ErrExceeded and takes none.
func (h *Allocation) Grow(bytes int64) error {
	if h.budget == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.bytes+bytes > h.budget.total-h.budget.used-bytes {
		return ErrExceeded
	}
	h.bytes += bytes
	h.budget.used += bytes
	return nil
}

// Release gives everything back. It may be called more than once.
func (h *Allocation) Release() {
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.used -= h.bytes
	h.bytes = 0
}

const (
	// firstRead is the first size of a buffer whose length is not known, in bytes.
	firstRead = 4 << 10
	// knownRead bounds the first size of one whose length is stated: most messages fit,
	// and a stated length alone takes little of the budget.
	knownRead = 16 << 10
)

// ReadAll reads to the end like io.ReadAll, and takes the memory before it allocates
// it. Expected is the length if it is known, else negative; a wrong one is no fault.
// What was read before an error is returned with it.
func (h *Allocation) ReadAll(r io.Reader, expected int64) ([]byte, error) {
	size := int64(firstRead)
	if expected >= 0 {
		// One byte more, so that the end is found without growing.
		size = min(expected+1, knownRead)
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			if err := h.Grow(size); err != nil {
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
