package modelcheck

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The model of publication: two operators read the current row, write generation
// + 1 if the row's version is still the one that they read, and read back when the
// answer was lost, comparing the token.

type current struct {
	version, generation int8
	token               int8
}

type operator struct {
	step   string // "", "read", "sent", "unknown", "published", "failed"
	read   current
	landed bool
}

type publication struct {
	row     current
	ops     [2]operator
	highest int8
	lost    int8
	broken  string
}

type publishGuards struct{ noCondition, noToken bool }

func (g publishGuards) steps(s publication, next func(string, publication)) {
	for i := range s.ops {
		for _, t := range g.operatorSteps(s, i) {
			next(name(i)+" "+t.ops[i].step, t)
		}
	}
}

func (g publishGuards) operatorSteps(s publication, i int) []publication {
	t := s
	op := &t.ops[i]
	switch op.step {
	case "":
		op.step, op.read = "read", s.row
	case "read":
		op.step = "sent"
	case "sent":
		return g.outcomes(s, i)
	case "unknown":
		op.step = "failed"
		if s.row.token == int8(i+1) || (g.noToken && s.row.generation == op.read.generation+1) {
			op.step = "published"
		}
	default:
		return nil
	}
	return []publication{t}
}

// outcomes applies the write and lets the answer arrive or not.
func (g publishGuards) outcomes(s publication, i int) []publication {
	applied := s
	op := &applied.ops[i]
	op.step = "failed"
	if g.noCondition || s.row.version == op.read.version {
		generation := op.read.generation + 1
		applied.row = current{version: s.row.version + 1, generation: generation, token: int8(i + 1)}
		if generation <= s.highest {
			applied.broken = "a generation did not rise"
		}
		applied.highest = max(s.highest, generation)
		op.step, op.landed = "published", true
	}
	out := []publication{applied}
	if s.lost > 0 {
		lostAnswer, lostRequest := applied, s
		lostAnswer.lost--
		lostRequest.lost--
		lostAnswer.ops[i].step, lostRequest.ops[i].step = "unknown", "unknown"
		out = append(out, lostAnswer, lostRequest)
	}
	return out
}

func publicationBroken(s publication) string {
	a, b := &s.ops[0], &s.ops[1]
	for _, op := range []*operator{a, b} {
		if op.step == "published" && !op.landed {
			return "an operator was told that a lost write was published"
		}
	}
	if a.landed && b.landed && a.read == b.read {
		return "two racing operators both published"
	}
	return s.broken
}

func explorePublication(g publishGuards) Result {
	return Explore(Model[publication]{
		Initial: publication{row: current{version: 1, generation: 1}, highest: 1, lost: 2},
		Steps:   g.steps, Violation: publicationBroken,
	}, 100_000)
}

// Guards against a generation that falls and against two racing operators that
// both publish, or believe so; and shows that each condition is needed.
func TestPublication(t *testing.T) {
	r := explorePublication(publishGuards{})
	t.Logf("%d states, %d steps", r.States, r.Steps)
	assert.Equal(t, r.Violation, "", "%v", r.Trace)
	assert.Assert(t, r.Complete)
	assert.Assert(t, explorePublication(publishGuards{noCondition: true}).Violation != "")
	assert.Assert(t, explorePublication(publishGuards{noToken: true}).Violation != "")
}
