package admission

// indexedHeap is a binary min-heap whose elements know their position, so that
// an element in the middle can be moved or removed in logarithmic time.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(item T) *int
}

func (h *indexedHeap[T]) push(item T) {
	h.items = append(h.items, item)
	last := len(h.items) - 1
	*h.index(item) = last
	h.up(last)
}

func (h *indexedHeap[T]) remove(item T) {
	at := *h.index(item)
	last := len(h.items) - 1
	h.swap(at, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(item) = -1
	if at < last {
		h.restore(at)
	}
}

func (h *indexedHeap[T]) fix(item T) {
	h.restore(*h.index(item))
}

func (h *indexedHeap[T]) restore(at int) {
	if !h.down(at) {
		h.up(at)
	}
}

func (h *indexedHeap[T]) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !h.less(h.items[at], h.items[parent]) {
			return
		}
		h.swap(at, parent)
		at = parent
	}
}

func (h *indexedHeap[T]) down(at int) bool {
	moved := false
	for {
		child := 2*at + 1
		if child >= len(h.items) {
			return moved
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[at]) {
			return moved
		}
		h.swap(at, child)
		at = child
		moved = true
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}
