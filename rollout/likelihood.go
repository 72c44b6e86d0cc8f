package rollout

import "math"

// betaPrior is a beta distribution over the rates at which faults are expected. The
// likelihood of the alternative is averaged over it. With a badly chosen prior the
// test needs more answers, but its error probability stays within the bound.
type betaPrior struct{ alpha, beta float64 }

// bound is the line newRate = offset + slope*oldRate that separates two hypotheses
// about the fault rate of the new version, given that of the old one.
type bound struct{ offset, slope float64 }

// trials holds the number n of answers and the number k of those with a fault: an
// error or a slow answer, depending on the metric.
type trials struct{ n, k float64 }

// rate returns the fault rate, or 0 without answers.
func (t trials) rate() float64 {
	if t.n == 0 {
		return 0
	}
	return t.k / t.n
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio of the observed
// counts between a mixture over all rates (the alternative) and the most likely pair
// of rates on the bound (the null hypothesis).
//
// When the new version's observed rate lies beyond the bound, the result is a lower
// limit of the ratio against every pair of rates on the null hypothesis's side of
// the bound. The old version's rate is not estimated beforehand: the denominator
// uses the old rate with which a new rate on the bound explains the counts best.
// Few old answers therefore make the test slower but do not raise its error
// probability. If the null hypothesis is true, Ville's inequality bounds the
// probability that the ratio ever exceeds 1/alpha in the course of the sequence by
// alpha.
func logLikelihoodRatio(oldTrials, newTrials trials, b bound, oldPrior, newPrior betaPrior) float64 {
	return mixtureLogLikelihood(oldTrials, oldPrior) + mixtureLogLikelihood(newTrials, newPrior) - maxLogLikelihood(oldTrials, newTrials, b)
}

// mixtureLogLikelihood returns the logarithm of the likelihood of the counts, averaged
// over the prior.
func mixtureLogLikelihood(t trials, p betaPrior) float64 {
	return logBeta(t.k+p.alpha, t.n-t.k+p.beta) - logBeta(p.alpha, p.beta)
}

// logBeta returns the logarithm of the beta function.
func logBeta(a, b float64) float64 {
	x, _ := math.Lgamma(a)
	y, _ := math.Lgamma(b)
	z, _ := math.Lgamma(a + b)
	return x + y - z
}

// bisectionSteps locate the root of the derivative to 1e-9, far below the smallest
// rate that matters.
const bisectionSteps = 30

// maxLogLikelihood returns the maximum of the log likelihood over the pairs of rates
// on the bound. The log likelihood is concave in the old rate, so the maximum is at
// the root of the derivative.
func maxLogLikelihood(oldTrials, newTrials trials, b bound) float64 {
	low, high := 0.0, math.Min(1, (1-b.offset)/b.slope)
	for range bisectionSteps {
		p := (low + high) / 2
		q := b.offset + b.slope*p
		slope := logLikelihoodDerivative(oldTrials, p) + b.slope*logLikelihoodDerivative(newTrials, q)
		if slope > 0 {
			low = p
		} else {
			high = p
		}
	}
	p := (low + high) / 2
	return logLikelihood(oldTrials, p) + logLikelihood(newTrials, b.offset+b.slope*p)
}

// logLikelihoodDerivative returns the derivative of logLikelihood at the rate p.
func logLikelihoodDerivative(t trials, p float64) float64 {
	return t.k/p - (t.n-t.k)/(1-p)
}

// logLikelihood returns the log likelihood of the counts at the rate p, without the
// binomial coefficient.
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
