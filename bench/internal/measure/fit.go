package measure

import (
	"fmt"
	"io"
)

// fittedLine is a straight line fitted by least squares; r2 is the coefficient of
// determination.
type fittedLine struct {
	slope, intercept, r2 float64
}

// fitLine returns the least-squares line through the points and, as r2, the share of
// the variance that it explains. If all x are equal, slope and r2 are 0 and the
// intercept is the mean of y.
func fitLine(x, y []float64) fittedLine {
	n := float64(len(x))
	var sx, sy, sxx, sxy, syy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
		syy += y[i] * y[i]
	}
	varX, varY, cov := sxx-sx*sx/n, syy-sy*sy/n, sxy-sx*sy/n
	if varX == 0 {
		return fittedLine{intercept: sy / n}
	}
	l := fittedLine{slope: cov / varX, r2: 1}
	l.intercept = (sy - l.slope*sx) / n
	if varY > 0 {
		l.r2 = cov * cov / varX / varY
	}
	return l
}

func (l fittedLine) valueAt(x float64) float64 {
	return l.intercept + l.slope*x
}

// printFittedLines fits a line to each result as a function of the number of daemons
// and prints the lines and their values at plannedDaemons.
func printFittedLines(out io.Writer, rows []daemonsRow) {
	columns := []struct {
		name  string
		value func(daemonsRow) float64
	}{
		{"idle CPU, % of a core", func(r daemonsRow) float64 { return r.idle.cpu }},
		{"resident MB", func(r daemonsRow) float64 { return r.idle.resident }},
		{"idle bytes/s sent", func(r daemonsRow) float64 { return r.idle.bytes }},
		{"idle messages/s sent", func(r daemonsRow) float64 { return r.idle.messages }},
		{"reads/s of all daemons", func(r daemonsRow) float64 { return r.readRate }},
		{"slowest publication, ms", func(r daemonsRow) float64 { return float64(r.publishTimes[len(r.publishTimes)-1].Milliseconds()) }},
		{"busy CPU, % of a core", func(r daemonsRow) float64 { return r.busy.cpu }},
		{"busy bytes/s sent", func(r daemonsRow) float64 { return r.busy.bytes }},
	}
	fmt.Fprintf(out, "| value | slope per daemon | intercept | R2 | at %d daemons |\n|---|---|---|---|---|\n", plannedDaemons)
	for _, c := range columns {
		var x, y []float64
		for _, r := range rows {
			x = append(x, float64(r.daemonCount))
			y = append(y, c.value(r))
		}
		l := fitLine(x, y)
		fmt.Fprintf(out, "| %s | %.4g | %.4g | %.3f | %.4g |\n", c.name, l.slope, l.intercept, l.r2, l.valueAt(plannedDaemons))
	}
}
