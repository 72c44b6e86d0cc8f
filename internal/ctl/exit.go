package ctl

import (
	"errors"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/object"
)

// Exit codes. They are stable; scripts depend on them.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailure: any failure that has no code of its own.
	ExitFailure = 1
	// ExitUsage: unknown or invalid commands, flags, arguments or environment
	// variables.
	ExitUsage = 2
	// ExitProblems: the objects have problems; nothing was published.
	ExitProblems = 3
	// ExitConflict: another generation is current; nothing was published.
	ExitConflict = 4
	// ExitNotInForce: the generation was published, but was not in force on all
	// reachable daemons within the timeout.
	ExitNotInForce = 5
)

// exitHelp is the part of the help texts that lists the exit codes.
const exitHelp = `Exit codes:
  0  done
  1  failure
  2  wrong usage
  3  the objects have problems; nothing was published
  4  conflict: another generation is current; nothing was published
  5  published, but not in force on all reachable daemons in time`

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// usageError returns an error with ExitUsage.
func usageError(message string) error {
	return &exitError{ExitUsage, errors.New(message)}
}

// exitCode returns the exit code for the error of a command line. argsAccepted
// is false when cobra returned the error before it ran a command; that is wrong
// usage.
func exitCode(err error, argsAccepted bool) int {
	var exitErr *exitError
	var apiErr *adminapi.Error
	var problems *object.ProblemsError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exitErr):
		return exitErr.code
	case !argsAccepted:
		return ExitUsage
	case errors.Is(err, adminapi.ErrOutcomeUnknown):
		return ExitFailure
	case errors.As(err, &problems):
		return ExitProblems
	case errors.As(err, &apiErr) && apiErr.Code == adminapi.CodeProblems:
		return ExitProblems
	case errors.As(err, &apiErr) && apiErr.Code == adminapi.CodeConflict:
		return ExitConflict
	}
	return ExitFailure
}
