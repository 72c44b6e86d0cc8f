// Package outlier ejects single targets that are slow or fail, based on the
// requests that they served.
//
// The ratio of a request's observed time to the estimate for that request and
// hardware generation makes requests of different length comparable. A target is
// slow when the mean of its ratios is well above the median of its peers of the
// same hardware generation, and failing when its share of failed requests is well
// above the median share of these peers. A cause that affects all targets alike
// moves the median too, so that no target is ejected for it.
//
// At most 30% of a pool, rounded down, is ejected at once, the worst targets
// first. Pools of three targets or fewer are therefore never reduced. An ejected
// target gets probe requests after 5 s; failed probes double the delay up to 5
// minutes, and three good probes in a row readmit the target.
//
// Two rules keep a target near the limit from flapping: it takes two bad
// evaluations in a row to eject a target, and a probe must be clearly better than
// the limit for ejection.
//
// The package does no I/O and reads no clock; the caller passes the time. A
// Detector is safe for concurrent use.
package outlier
