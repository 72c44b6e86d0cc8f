package confsync

import (
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

const (
	// historyLength and historyBytes bound the deltas that are kept to serve
	// daemons that are behind. One that is further behind gets the whole set.
	historyLength = 64
	historyBytes  = 1 << 20
)

// history is a chain of deltas up to the generation in force. Each link starts
// where the one before ends.
type history struct {
	links []*peerpb.ConfigData
	bytes int
}

// add appends a link. A link that does not continue the chain starts a new one.
func (h *history) add(link *peerpb.ConfigData) {
	if n := len(h.links); n > 0 && h.links[n-1].Generation != link.Base {
		h.clear()
	}
	h.links = append(h.links, link)
	h.bytes += len(link.Data)
	for len(h.links) > historyLength || h.bytes > historyBytes {
		h.bytes -= len(h.links[0].Data)
		h.links = h.links[1:]
	}
}

func (h *history) clear() {
	h.links, h.bytes = nil, 0
}

// from returns the links that lead from a generation to the newest one, or nil.
func (h *history) from(generation uint64) []*peerpb.ConfigData {
	for i, link := range h.links {
		if link.Base == generation {
			return h.links[i:]
		}
	}
	return nil
}
