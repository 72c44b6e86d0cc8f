// Package ctl holds the commands of marjoramctl. Commands read files and the
// environment through Environment, so that tests run them in the process.
package ctl
