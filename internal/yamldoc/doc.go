// Package yamldoc decodes YAML into structs strictly and reports every issue
// with its position. Decoders that stop at the first error force operators to
// fix a file one line at a time.
//
// The package does no I/O and keeps no state. It rejects anchors, aliases, merge
// keys and tags, so that the size of the result is bounded by the size of the
// input.
package yamldoc
