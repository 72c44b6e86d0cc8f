package confsync

import (
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

const (
	// maxHistoryDeltas and maxHistoryBytes bound the deltas that are kept for
	// daemons that are behind. A daemon that is further behind gets the whole
	// set.
	maxHistoryDeltas = 64
	maxHistoryBytes  = 1 << 20
)

// history is a chain of deltas up to the generation in force. The base of each
// delta is the generation of the one before.
type history struct {
	deltas []*peerpb.ConfigData
	bytes  int
}

// add appends a delta. A delta that does not continue the chain starts a new one.
// The oldest deltas are removed while the history exceeds its bounds.
func (h *history) add(delta *peerpb.ConfigData) {
	if n := len(h.deltas); n > 0 && h.deltas[n-1].Generation != delta.Base {
		h.clear()
	}
	h.deltas = append(h.deltas, delta)
	h.bytes += len(delta.Data)
	for len(h.deltas) > maxHistoryDeltas || h.bytes > maxHistoryBytes {
		h.bytes -= len(h.deltas[0].Data)
		h.deltas = h.deltas[1:]
	}
}

func (h *history) clear() {
	h.deltas, h.bytes = nil, 0
}

// since returns the deltas that lead from a generation to the newest one, or nil
// if the history does not hold them all.
func (h *history) since(generation uint64) []*peerpb.ConfigData {
	for i, delta := range h.deltas {
		if delta.Base == generation {
			return h.deltas[i:]
		}
	}
	return nil
}
