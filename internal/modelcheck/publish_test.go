package modelcheck

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The model of publication: two operators read the current row and write generation
// + 1 if the row's version is still the one that they read. When the answer is lost,
// they read the row again and compare its token with their own.

// currentRow is the row that points to the published generation.
type currentRow struct {
	version, generation int8
	token               int8
}

// operator is the state of one operator. applied is set when its write took effect.
type operator struct {
	step    string // "", "read", "sent", "unknown", "published", "failed"
	readRow currentRow
	applied bool
}

// publication is the state of the whole model.
type publication struct {
	row               currentRow
	operators         [2]operator
	highestGeneration int8
	lossesLeft        int8
	violation         string
}

type removedConditions struct{ noCondition, noToken bool }

func (g removedConditions) steps(s publication, next func(string, publication)) {
	for i := range s.operators {
		for _, t := range g.operatorSteps(s, i) {
			next(letterName(i)+" "+t.operators[i].step, t)
		}
	}
}

func (g removedConditions) operatorSteps(s publication, i int) []publication {
	t := s
	op := &t.operators[i]
	switch op.step {
	case "":
		op.step, op.readRow = "read", s.row
	case "read":
		op.step = "sent"
	case "sent":
		return g.outcomes(s, i)
	case "unknown":
		op.step = "failed"
		if s.row.token == int8(i+1) || (g.noToken && s.row.generation == op.readRow.generation+1) {
			op.step = "published"
		}
	default:
		return nil
	}
	return []publication{t}
}

// outcomes returns the states after the write of operator i: answered, and while
// losses are left, with its answer or its request lost.
func (g removedConditions) outcomes(s publication, i int) []publication {
	applied := s
	op := &applied.operators[i]
	op.step = "failed"
	if g.noCondition || s.row.version == op.readRow.version {
		generation := op.readRow.generation + 1
		applied.row = currentRow{version: s.row.version + 1, generation: generation, token: int8(i + 1)}
		if generation <= s.highestGeneration {
			applied.violation = "a generation did not rise"
		}
		applied.highestGeneration = max(s.highestGeneration, generation)
		op.step, op.applied = "published", true
	}
	out := []publication{applied}
	if s.lossesLeft > 0 {
		lostAnswer, lostRequest := applied, s
		lostAnswer.lossesLeft--
		lostRequest.lossesLeft--
		lostAnswer.operators[i].step, lostRequest.operators[i].step = "unknown", "unknown"
		out = append(out, lostAnswer, lostRequest)
	}
	return out
}

func publicationViolation(s publication) string {
	a, b := &s.operators[0], &s.operators[1]
	for _, op := range []*operator{a, b} {
		if op.step == "published" && !op.applied {
			return "an operator took a lost write for published"
		}
	}
	if a.applied && b.applied && a.readRow == b.readRow {
		return "two racing operators both published"
	}
	return s.violation
}

func explorePublication(g removedConditions) Result {
	return Explore(Model[publication]{
		Initial: publication{row: currentRow{version: 1, generation: 1}, highestGeneration: 1, lossesLeft: 2},
		Steps:   g.steps, Violation: publicationViolation,
	}, 100_000)
}

// Guards against a generation that does not rise and against two racing operators
// that both publish, or of which one takes a lost write for published. Without either
// condition, the model must show a violation.
func TestPublication(t *testing.T) {
	r := explorePublication(removedConditions{})
	t.Logf("%d states, %d steps", r.States, r.Steps)
	assert.Equal(t, r.Violation, "", "%v", r.Trace)
	assert.Assert(t, r.Complete)
	assert.Assert(t, explorePublication(removedConditions{noCondition: true}).Violation != "")
	assert.Assert(t, explorePublication(removedConditions{noToken: true}).Violation != "")
}
