package measure

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a wrong fitted line, from which the tables extrapolate to the planned
// number of daemons.
func TestFit(t *testing.T) {
	l := fitLine([]float64{4, 8, 16}, []float64{9, 17, 33})
	assert.Assert(t, math.Abs(l.slope-2) < 1e-9 && math.Abs(l.intercept-1) < 1e-9 && math.Abs(l.r2-1) < 1e-9, "%+v", l)
	assert.Assert(t, math.Abs(l.valueAt(162)-325) < 1e-6)
	l = fitLine([]float64{1, 2, 3, 4}, []float64{1, 3, 1, 3})
	assert.Assert(t, math.Abs(l.slope-0.4) < 1e-9 && math.Abs(l.r2-0.2) < 1e-9, "%+v", l)
}
