// Package yamldoc decodes YAML into structs strictly and reports every issue
// with its position. Decoders that stop at the first error force operators to
// mend a file one line at a time.
//
// The package is pure. It accepts neither anchors, aliases, merge keys nor tags,
// so that the size of the result is bounded by the size of the input.
package yamldoc
