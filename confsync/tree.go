package confsync

import (
	"slices"

	"github.com/marjoramflow/marjoramflow/rendezvous"
)

const (
	// fanOut is the number of children of a daemon in the push tree. With 162
	// daemons the tree has 4 levels below its root.
	fanOut = 4
	// pollers is the number of daemons of a data centre that read the row once
	// a second.
	pollers = 2
)

// place is the position of a daemon in the rendezvous order of its data centre.
// The order is the same on all daemons with the same live list.
type place struct {
	version uint64
	valid   bool
	rank    int
	count   int
	// neighbours are the parent and the children in the push tree.
	neighbours []string
}

// newPlace computes the position. The pollers are the first in the order, and
// the first one is the root of the tree. A daemon that is not in the list ranks
// last and has no neighbours.
func newPlace(dataCentre, self string, live []string) place {
	order := rendezvous.Rank("config/"+dataCentre, live)
	rank := slices.Index(order, self)
	if rank < 0 {
		return place{rank: len(order), count: len(order) + 1}
	}
	p := place{rank: rank, count: len(order)}
	if rank > 0 {
		p.neighbours = append(p.neighbours, order[(rank-1)/fanOut])
	}
	first := rank*fanOut + 1
	for i := first; i < first+fanOut && i < len(order); i++ {
		p.neighbours = append(p.neighbours, order[i])
	}
	return p
}
