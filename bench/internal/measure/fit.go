package measure

import (
	"fmt"
	"io"
)

// line is a straight line fitted by least squares.
type line struct {
	slope, intercept, r2 float64
}

// fit returns the line through points and the part of the variance that it
// explains. It needs two different x.
func fit(x, y []float64) line {
	n := float64(len(x))
	var sx, sy, sxx, sxy, syy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
		syy += y[i] * y[i]
	}
	vx, vy, cov := sxx-sx*sx/n, syy-sy*sy/n, sxy-sx*sy/n
	if vx == 0 {
		return line{intercept: sy / n}
	}
	l := line{slope: cov / vx, r2: 1}
	l.intercept = (sy - l.slope*sx) / n
	if vy > 0 {
		l.r2 = cov * cov / vx / vy
	}
	return l
}

func (l line) at(x float64) float64 {
	return l.intercept + l.slope*x
}

// printLines fits the columns over the number of daemons.
func printLines(out io.Writer, rows []daemonsRow) {
	columns := []struct {
		name  string
		value func(daemonsRow) float64
	}{
		{"idle CPU, % of a core", func(r daemonsRow) float64 { return r.idle.cpu }},
		{"resident MB", func(r daemonsRow) float64 { return r.idle.resident }},
		{"idle bytes/s sent", func(r daemonsRow) float64 { return r.idle.bytes }},
		{"idle messages/s sent", func(r daemonsRow) float64 { return r.idle.messages }},
		{"reads/s of all daemons", func(r daemonsRow) float64 { return r.reads }},
		{"slowest publication, ms", func(r daemonsRow) float64 { return float64(r.inForce[len(r.inForce)-1].Milliseconds()) }},
		{"busy CPU, % of a core", func(r daemonsRow) float64 { return r.busy.cpu }},
		{"busy bytes/s sent", func(r daemonsRow) float64 { return r.busy.bytes }},
	}
	fmt.Fprintf(out, "| value | slope per daemon | intercept | R2 | at %d daemons |\n|---|---|---|---|---|\n", plannedDaemons)
	for _, c := range columns {
		var x, y []float64
		for _, r := range rows {
			x = append(x, float64(r.daemons))
			y = append(y, c.value(r))
		}
		l := fit(x, y)
		fmt.Fprintf(out, "| %s | %.4g | %.4g | %.3f | %.4g |\n", c.name, l.slope, l.intercept, l.r2, l.at(plannedDaemons))
	}
}
