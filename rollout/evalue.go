package rollout

import "math"

// prior is a beta distribution that spreads a likelihood over the rates it
// expects. A bad choice costs evidence, never correctness.
type prior struct{ alpha, beta float64 }

// bound is the line rate = offset + slope*old that separates two hypotheses about
// the rate of the new version, given the rate of the old one.
type bound struct{ offset, slope float64 }

// trials are answers and how many of them had the fault in question.
type trials struct{ n, k float64 }

func (t trials) rate() float64 {
	if t.n == 0 {
		return 0
	}
	return t.k / t.n
}

// logRatio returns the logarithm of the likelihood ratio of the observed counts
// between a mixture over all rates and the best pair of rates on the bound.
//
// When the new version's observed rate lies beyond the bound, this is a lower
// limit of the ratio against every pair of rates on the near side. The old
// version's rate is not taken from an estimate: the denominator may choose the
// rate that excuses the new version best, so few old answers make the test slow
// and not wrong. By Ville's inequality the ratio exceeds 1/alpha at any time of
// the sequence with a probability of at most alpha if the rates are on the near
// side.
func logRatio(old, fresh trials, b bound, oldPrior, newPrior prior) float64 {
	return mixture(old, oldPrior) + mixture(fresh, newPrior) - best(old, fresh, b)
}

// mixture is the log likelihood of the counts, averaged over the prior.
func mixture(t trials, p prior) float64 {
	return logBeta(t.k+p.alpha, t.n-t.k+p.beta) - logBeta(p.alpha, p.beta)
}

func logBeta(a, b float64) float64 {
	x, _ := math.Lgamma(a)
	y, _ := math.Lgamma(b)
	z, _ := math.Lgamma(a + b)
	return x + y - z
}

// bisections of the derivative locate the maximum to 1e-9, far below the least
// rate that matters.
const bisections = 30

// best is the maximum of the log likelihood over pairs of rates on the bound. The
// log likelihood is concave in the old rate, so the root of the derivative is the
// maximum.
func best(old, fresh trials, b bound) float64 {
	low, high := 0.0, math.Min(1, (1-b.offset)/b.slope)
	for range bisections {
		p := (low + high) / 2
		q := b.offset + b.slope*p
		slope := derivative(old, p) + b.slope*derivative(fresh, q)
		if slope > 0 {
			low = p
		} else {
			high = p
		}
	}
	p := (low + high) / 2
	return logLikelihood(old, p) + logLikelihood(fresh, b.offset+b.slope*p)
}

func derivative(t trials, p float64) float64 {
	return t.k/p - (t.n-t.k)/(1-p)
}

func logLikelihood(t trials, p float64) float64 {
	sum := 0.0
	if t.k > 0 {
		sum += t.k * math.Log(p)
	}
	if t.n > t.k {
		sum += (t.n - t.k) * math.Log1p(-p)
	}
	return sum
}
