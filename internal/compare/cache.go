package compare

import "container/list"

// blockCache is an LRU prefix cache of at most maxCachedBlocks blocks.
type blockCache struct {
	elements map[uint64]*list.Element
	// recency holds the blocks, the most recently used in front.
	recency *list.List
}

func newBlockCache() *blockCache {
	return &blockCache{elements: make(map[uint64]*list.Element), recency: list.New()}
}

// matchPrefix returns how many blocks from the start are cached, and marks these as
// recently used.
func (c *blockCache) matchPrefix(blocks []uint64) int {
	for i, block := range blocks {
		element := c.elements[block]
		if element == nil {
			return i
		}
		c.recency.MoveToFront(element)
	}
	return len(blocks)
}

// store adds blocks to the cache and returns the blocks that were added and those
// that were evicted.
func (c *blockCache) store(blocks []uint64) (added, evicted []uint64) {
	for _, block := range blocks {
		if element := c.elements[block]; element != nil {
			c.recency.MoveToFront(element)
			continue
		}
		c.elements[block] = c.recency.PushFront(block)
		added = append(added, block)
	}
	for c.recency.Len() > maxCachedBlocks {
		oldest := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.elements, oldest)
		evicted = append(evicted, oldest)
	}
	return added, evicted
}
