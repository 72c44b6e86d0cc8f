// Package modelcheck explores all states of a state machine, breadth first, and
// reports the shortest way to a state that breaks an invariant. Models bound
// themselves: they stop offering steps when a clock or a number of faults has
// reached its bound.
package modelcheck

import (
	"hash/maphash"
	"slices"
)

// Model is a state machine. The state is a value that is compared with ==.
type Model[S comparable] struct {
	Initial S
	// Steps calls next for every state that can follow s, with the step's name.
	Steps func(s S, next func(step string, to S))
	// Violation returns the invariant that s breaks, or "".
	Violation func(s S) string
}

// Result is what an exploration found.
type Result struct {
	// States is the number of distinct states and Steps that of steps taken.
	States, Steps int
	// Depth is the length of the longest shortest way.
	Depth int
	// Violation is the first broken invariant, "" when none is, and Trace the steps
	// that lead to it.
	Violation string
	Trace     []string
	// Complete is false when the limit was reached before all states were seen.
	Complete bool
}

// visited is how a state was first reached.
type visited struct {
	parent int32
	step   string
}

type node[S comparable] struct {
	state S
	index int32
}

// Explore visits all states, at most limit of them.
func Explore[S comparable](m Model[S], limit int) Result {
	// States are known by 64 bits of hash, so that they need not be kept. Among a
	// million states, two share a hash with a probability below 1e-7.
	seed := maphash.MakeSeed()
	seen := make(map[uint64]struct{})
	var history []visited
	result := Result{Complete: true}
	var level, next []node[S]
	visit := func(parent int32, step string, s S) {
		k := maphash.Comparable(seed, s)
		if _, ok := seen[k]; ok || result.Violation != "" {
			return
		}
		seen[k] = struct{}{}
		history = append(history, visited{parent: parent, step: step})
		index := int32(len(history) - 1)
		next = append(next, node[S]{state: s, index: index})
		if broken := m.Violation(s); broken != "" {
			result.Violation = broken
			result.Trace = trace(history, index)
		}
	}
	visit(-1, "", m.Initial)
	for len(next) > 0 && result.Violation == "" {
		if len(history) > limit {
			result.Complete = false
			break
		}
		level, next = next, level[:0]
		for _, n := range level {
			m.Steps(n.state, func(step string, to S) {
				result.Steps++
				visit(n.index, step, to)
			})
		}
		if len(next) > 0 {
			result.Depth++
		}
	}
	result.States = len(history)
	return result
}

func trace(history []visited, index int32) []string {
	var steps []string
	for ; history[index].parent >= 0; index = history[index].parent {
		steps = append(steps, history[index].step)
	}
	slices.Reverse(steps)
	return steps
}
