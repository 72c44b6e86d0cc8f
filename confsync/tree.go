package confsync

import (
	"slices"

	"github.com/marjoramflow/marjoramflow/rendezvous"
)

const (
	// fanOut is the number of children of a daemon in the push tree. With 162
	// daemons the tree has 4 levels below its root.
	fanOut = 4
	// pollerCount is the number of daemons of a data centre, called pollers, that
	// read the row once a second.
	pollerCount = 2
)

// treePosition is the position of a daemon in the rendezvous order of its data
// centre, from which the push tree is built. The order is the same on all
// daemons with the same list of live daemons.
type treePosition struct {
	liveVersion uint64
	valid       bool
	rank        int
	count       int
	// neighbours are the parent and the children in the push tree.
	neighbours []string
}

// newTreePosition computes the position of daemon self among the live daemons of
// its data centre. The pollers are the first pollerCount daemons in the order,
// and the first one is the root of the tree. A daemon that is not in the list
// ranks last and has no neighbours.
func newTreePosition(dataCentre, self string, live []string) treePosition {
	order := rendezvous.Rank("config/"+dataCentre, live)
	rank := slices.Index(order, self)
	if rank < 0 {
		return treePosition{rank: len(order), count: len(order) + 1}
	}
	p := treePosition{rank: rank, count: len(order)}
	if rank > 0 {
		p.neighbours = append(p.neighbours, order[(rank-1)/fanOut])
	}
	first := rank*fanOut + 1
	for i := first; i < first+fanOut && i < len(order); i++ {
		p.neighbours = append(p.neighbours, order[i])
	}
	return p
}
