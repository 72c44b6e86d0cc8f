// Package ctl implements the commands of marjoramctl. Commands use the standard
// streams, environment variables and the network through Environment, so that
// tests can run them in the same process.
package ctl
