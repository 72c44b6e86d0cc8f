package ctl

import (
	"errors"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/object"
)

// Exit codes. They are stable; scripts depend on them.
const (
	// ExitOK: the command did what was asked.
	ExitOK = 0
	// ExitFailure: any failure without a code of its own.
	ExitFailure = 1
	// ExitUsage: unknown commands, flags or arguments.
	ExitUsage = 2
	// ExitProblems: the objects have problems; nothing was published.
	ExitProblems = 3
	// ExitConflict: another generation is current; nothing was published.
	ExitConflict = 4
	// ExitNotInForce: published, but not in force on all reachable daemons in time.
	ExitNotInForce = 5
)

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

// usageError marks an error as wrong usage.
func usageError(message string) error {
	return &exitError{ExitUsage, errors.New(message)}
}

// exitCode returns the exit code of an error that a command returned. Errors
// that cobra returns before it runs a command are wrong usage.
func exitCode(err error, started bool) int {
	var coded *exitError
	var answer *adminapi.Error
	var problems *object.ProblemsError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		return coded.code
	case !started:
		return ExitUsage
	case errors.Is(err, adminapi.ErrOutcomeUnknown):
		return ExitFailure
	case errors.As(err, &problems):
		return ExitProblems
	case errors.As(err, &answer) && answer.Code == adminapi.CodeProblems:
		return ExitProblems
	case errors.As(err, &answer) && answer.Code == adminapi.CodeConflict:
		return ExitConflict
	}
	return ExitFailure
}
