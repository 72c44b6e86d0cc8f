// Package modelcheck explores all reachable states of a state machine, breadth
// first, and reports the shortest sequence of steps to a state that violates an
// invariant. Models must be finite: they offer no further steps when the clock or a
// number of faults has reached its bound.
package modelcheck

import (
	"hash/maphash"
	"slices"
)

// Model describes a state machine. States are compared with ==.
type Model[S comparable] struct {
	Initial S
	// Steps calls next for every state that can follow s, with the step's name.
	Steps func(s S, next func(step string, to S))
	// Violation describes the invariant that s violates, or returns "".
	Violation func(s S) string
}

// Result holds the outcome of an exploration.
type Result struct {
	// States is the number of distinct states and Steps the number of steps taken.
	States, Steps int
	// Depth is the number of steps to the state that is farthest from the initial
	// one.
	Depth int
	// Violation is the first violated invariant, "" if there is none, and Trace the
	// steps that lead to it.
	Violation string
	Trace     []string
	// Complete is false when the limit was reached before all states were seen.
	Complete bool
}

// predecessor records the step by which a state was first reached, and from which state.
type predecessor struct {
	parent int32
	step   string
}

type queuedState[S comparable] struct {
	state S
	index int32
}

// Explore visits the states of m until it has seen all, found a violation or visited
// more than limit. The limit is checked after each breadth-first level.
func Explore[S comparable](m Model[S], limit int) Result {
	// States that were seen are recorded as 64-bit hashes, so that they need not be
	// kept. Among a million states, two share a hash with a probability below 1e-7.
	seed := maphash.MakeSeed()
	seen := make(map[uint64]struct{})
	var predecessors []predecessor
	result := Result{Complete: true}
	var current, next []queuedState[S]
	visit := func(parent int32, step string, s S) {
		k := maphash.Comparable(seed, s)
		if _, ok := seen[k]; ok || result.Violation != "" {
			return
		}
		seen[k] = struct{}{}
		predecessors = append(predecessors, predecessor{parent: parent, step: step})
		index := int32(len(predecessors) - 1)
		next = append(next, queuedState[S]{state: s, index: index})
		if violation := m.Violation(s); violation != "" {
			result.Violation = violation
			result.Trace = traceTo(predecessors, index)
		}
	}
	visit(-1, "", m.Initial)
	for len(next) > 0 && result.Violation == "" {
		if len(predecessors) > limit {
			result.Complete = false
			break
		}
		current, next = next, current[:0]
		for _, n := range current {
			m.Steps(n.state, func(step string, to S) {
				result.Steps++
				visit(n.index, step, to)
			})
		}
		if len(next) > 0 {
			result.Depth++
		}
	}
	result.States = len(predecessors)
	return result
}

// traceTo returns the steps from the initial state to the state with an index.
func traceTo(predecessors []predecessor, index int32) []string {
	var steps []string
	for ; predecessors[index].parent >= 0; index = predecessors[index].parent {
		steps = append(steps, predecessors[index].step)
	}
	slices.Reverse(steps)
	return steps
}
