package compare

import "container/list"

// blockCache is a prefix cache that drops the block that was used least recently.
type blockCache struct {
	places map[uint64]*list.Element
	// order holds the blocks, the one used last in front.
	order *list.List
}

func newBlockCache() *blockCache {
	return &blockCache{places: make(map[uint64]*list.Element), order: list.New()}
}

// match returns how many blocks from the start are cached, and uses them.
func (c *blockCache) match(blocks []uint64) int {
	for i, block := range blocks {
		place := c.places[block]
		if place == nil {
			return i
		}
		c.order.MoveToFront(place)
	}
	return len(blocks)
}

// store puts blocks into the cache and returns what was added and dropped.
func (c *blockCache) store(blocks []uint64) (added, dropped []uint64) {
	for _, block := range blocks {
		if place := c.places[block]; place != nil {
			c.order.MoveToFront(place)
			continue
		}
		c.places[block] = c.order.PushFront(block)
		added = append(added, block)
	}
	for c.order.Len() > cachedPerEngine {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.places, oldest)
		dropped = append(dropped, oldest)
	}
	return added, dropped
}
