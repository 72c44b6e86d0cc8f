// Package estimate predicts how long requests take and corrects its estimates by
// observed requests. It keeps, for each version and hardware generation, the
// prefill rate and the decode time per token by batch size, and for each
// service and client account the expected output length.
//
// Each correction is limited in size, so a few extreme observations move an
// estimate only a little. Before the first observation, defaults apply.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package estimate
