// Package outlier takes single targets out of use that are slow or fail, on the
// evidence of the requests that they served.
//
// A sample is the observed time divided by the estimate for that request and
// hardware generation, so that requests of different length compare. A target is
// slow when its mean lies well above the median of its peers of the same
// hardware generation, and failing when its share of failures does. What hits all
// targets alike moves the median too, and nobody is ejected.
//
// At most 30% of a pool, rounded down, is ejected at once, the worst first. Pools
// of three targets or fewer are therefore never reduced. An ejected target gets
// probe requests after 5 s; failed probes double the delay up to 5 minutes, and
// three good ones in a row readmit it. A target is ejected after two bad
// evaluations in a row, and a probe must be clearly better than what ejects, so
// that a target near the limit does not flap.
//
// The package is pure. A Detector is safe for concurrent use.
package outlier
