// Package metrics counts requests and records their durations. The daemon
// publishes the result as JSON through expvar, at /debug/vars of the
// administration address.
//
// Requests are counted by tier, client account, service and outcome. Durations
// are kept in HDR histograms with a relative error of 1%, separately by tier, by
// client account and by service: one histogram for each combination of the three
// would need 400 MB for 800 accounts and 5 services. The number of label values is
// bounded; values beyond the bound are counted under "other".
//
// Quantiles cover the current and the previous interval between calls of
// Registry.Rotate, which the daemon calls once a minute; counts and sums cover
// the life of the process.
package metrics
