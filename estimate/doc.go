// Package estimate predicts how long requests take and corrects itself from
// what was observed. It keeps, for each version and hardware generation, the
// prefill rate and the decode time per token by batch size, and for each
// service and client account the expected output length.
//
// Each correction is limited in size, so a few extreme observations move an
// estimate only a little. Before the first observation, defaults apply.
//
// The package is pure and not safe for concurrent use.
package estimate
