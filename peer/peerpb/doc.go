// Package peerpb holds the messages that daemons exchange and the drpc service
// that carries them. The Go files are generated from peer.proto and committed,
// so that a build needs no generator.
package peerpb
