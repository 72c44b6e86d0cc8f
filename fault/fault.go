// Package fault builds errors that carry the step and the peer at which they
// arose. The step names what was being done, such as "table.commit"; the peer
// names the other side by address or daemon name and may be empty.
package fault

import (
	"github.com/samber/oops"
)

const (
	stepKey = "step"
	peerKey = "peer"
)

// New returns an error with a step, a peer and a message.
func New(step, peer, message string) error {
	return builder(step, peer).New(step + " " + peer + ": " + message)
}

// Wrap adds a step and a peer to err. It returns nil when err is nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return builder(step, peer).Wrapf(err, "%s %s", step, peer)
}

// Step returns the step of the innermost error made by this package, or "".
func Step(err error) string {
	return attribute(err, stepKey)
}

// Peer returns the peer of the innermost error made by this package, or "".
func Peer(err error) string {
	return attribute(err, peerKey)
}

func builder(step, peer string) oops.OopsErrorBuilder {
	return oops.With(stepKey, step, peerKey, peer)
}

func attribute(err error, key string) string {
	e, ok := oops.AsOops(err)
	if !ok {
		return ""
	}
	value, _ := e.Context()[key].(string)
	return value
}
