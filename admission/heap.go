package admission

// indexedHeap is a binary min-heap that stores the position of each item in the
// item itself, so that any item can be moved or removed in logarithmic time.
// indexField returns the field of an item that holds this position.
type indexedHeap[T any] struct {
	items      []T
	less       func(a, b T) bool
	indexField func(item T) *int
}

// push adds an item.
func (h *indexedHeap[T]) push(item T) {
	h.items = append(h.items, item)
	last := len(h.items) - 1
	*h.indexField(item) = last
	h.siftUp(last)
}

// remove removes an item, wherever it is in the heap, and sets its position to -1.
func (h *indexedHeap[T]) remove(item T) {
	i := *h.indexField(item)
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.indexField(item) = -1
	if i < last {
		h.fixAt(i)
	}
}

// fix restores the heap order after the sort key of an item has changed.
func (h *indexedHeap[T]) fix(item T) {
	h.fixAt(*h.indexField(item))
}

func (h *indexedHeap[T]) fixAt(i int) {
	if !h.siftDown(i) {
		h.siftUp(i)
	}
}

func (h *indexedHeap[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// siftDown reports whether the item at position i moved.
func (h *indexedHeap[T]) siftDown(i int) bool {
	moved := false
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return moved
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return moved
		}
		h.swap(i, child)
		i = child
		moved = true
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.indexField(h.items[i]) = i
	*h.indexField(h.items[j]) = j
}
