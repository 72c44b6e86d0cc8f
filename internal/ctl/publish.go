package ctl

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/object"
)

const (
	// baseCurrent as the value of --base means the newest generation, whichever
	// it is.
	baseCurrent = "current"
	// defaultWaitTimeout is longer than the 4 s within which a generation is in
	// force everywhere, to allow for a busy store.
	defaultWaitTimeout = 30 * time.Second
	// statusPollInterval is the time between two requests for the status.
	statusPollInterval = 500 * time.Millisecond
)

// waitFlags holds the flags --wait and --timeout of commands that publish.
type waitFlags struct {
	wait    bool
	timeout time.Duration
}

// addTo defines the flags on a command.
func (w *waitFlags) addTo(c *cobra.Command) {
	c.Flags().BoolVar(&w.wait, "wait", false, "wait until the generation is in force on all reachable daemons")
	c.Flags().DurationVar(&w.timeout, "timeout", defaultWaitTimeout, "maximum time that --wait waits")
}

func (t *tool) publishCommand() *cobra.Command {
	var wait waitFlags
	var baseFlag string
	c := &cobra.Command{
		Use:   "publish FILE|DIRECTORY|- ...",
		Short: "Check objects and publish them as the next generation",
		Long: `Checks the objects of all files together and publishes them as the whole
configuration: objects in none of the files are removed.

The base is the generation that the files were made from. "get set" writes it
into the first line of its output; otherwise give --base. When another generation
is current by then, nothing is published and the difference is printed.

Marks set by "drain" stay; only "undrain" clears them.

` + exitHelp,
		Example: `  marjoramctl get set > current.yaml
  marjoramctl publish --wait current.yaml
  marjoramctl publish --base 41 --wait --timeout 10s objects/
  marjoramctl publish --base current -o json - < objects.yaml`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			set, files, err := t.readSet(args)
			if err != nil {
				return err
			}
			client, err := t.newClient()
			if err != nil {
				return err
			}
			baseGen, err := baseGeneration(c.Context(), client, baseFlag, files)
			if err != nil {
				return err
			}
			response, err := client.Publish(c.Context(), baseGen, set)
			return t.reportPublication(c.Context(), client, set, response, err, wait)
		},
	}
	c.Flags().StringVar(&baseFlag, "base", "", "`generation` that the files were made from, or \"current\"")
	wait.addTo(c)
	return c
}

// baseGeneration returns the base generation of a change: the value of the --base
// flag or, if it is empty, the generation that the files state.
func baseGeneration(ctx context.Context, client *adminapi.Client, baseFlag string, files []object.File) (uint64, error) {
	if baseFlag == baseCurrent {
		status, err := client.Status(ctx)
		return status.Generation, err
	}
	if baseFlag != "" {
		generation, err := strconv.ParseUint(baseFlag, 10, 64)
		if err != nil {
			return 0, usageError(fmt.Sprintf("base %q must be a generation or %q", baseFlag, baseCurrent))
		}
		return generation, nil
	}
	generation, found, err := baseFromFiles(files)
	if err == nil && !found {
		err = usageError("no base: give --base, or start from the output of \"get set\"")
	}
	return generation, err
}

// reportPublication prints the result of a publication, given as the response or
// the error of the client. If the wait flag is set, it then waits until the
// generation is in force. set gives the positions of problems in files.
func (t *tool) reportPublication(ctx context.Context, client *adminapi.Client, set *object.Set,
	response adminapi.PublishResponse, err error, wait waitFlags) error {
	var apiErr *adminapi.Error
	if errors.As(err, &apiErr) && apiErr.Code == adminapi.CodeProblems {
		return t.reportProblems(set.Locate(apiErr.Problems))
	}
	if !errors.Is(err, adminapi.ErrOutcomeUnknown) && errors.As(err, &apiErr) && apiErr.Code == adminapi.CodeConflict {
		return t.reportConflict(apiErr)
	}
	if err != nil {
		return err
	}
	err = t.printValue(response, formatTable, func() *table {
		out := &table{header: []string{"GENERATION", "DIGEST", "RESULT"}}
		out.addRow(response.Generation, response.Digest, publishResult(response))
		return out
	})
	if err != nil || !wait.wait {
		return err
	}
	return t.waitInForce(ctx, client, response.Generation, wait.timeout)
}

func publishResult(response adminapi.PublishResponse) string {
	if response.Unchanged {
		return "unchanged"
	}
	return "published"
}

// reportConflict prints the changes since the base and returns an error with
// ExitConflict.
func (t *tool) reportConflict(apiErr *adminapi.Error) error {
	if conflict := apiErr.Conflict; conflict != nil {
		err := t.printValue(conflict, formatTable, func() *table { return changesTable(conflict.Changes) })
		if err != nil {
			return err
		}
		if conflict.Unknown {
			t.printNotice("the changes since generation %d could not be read", conflict.Base)
		}
	}
	return &exitError{ExitConflict, apiErr}
}

// waitInForce waits until the generation is in force on all reachable daemons.
// After the timeout it returns an error with ExitNotInForce that names the
// daemons where it is not.
func (t *tool) waitInForce(ctx context.Context, client *adminapi.Client, generation uint64, timeout time.Duration) error {
	waitCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	status, err := client.WaitInForce(waitCtx, generation, statusPollInterval)
	if len(status.Unreachable) > 0 {
		t.printNotice("not reached: %s", strings.Join(status.Unreachable, ", "))
	}
	if err == nil {
		t.printNotice("generation %d is in force on all %d reachable daemons after %v",
			generation, len(status.Daemons)-len(status.Unreachable), time.Since(start).Round(time.Millisecond))
		return nil
	}
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	missing := "unknown daemons, since no server answered"
	if len(status.Behind) > 0 {
		missing = strings.Join(status.Behind, ", ")
	}
	return &exitError{ExitNotInForce, fmt.Errorf("generation %d is not in force after %v on %s", generation, timeout, missing)}
}

func (t *tool) revertCommand() *cobra.Command {
	var wait waitFlags
	var baseFlag string
	c := &cobra.Command{
		Use:   "revert GENERATION",
		Short: "Publish the content of an older generation as the next one",
		Long: `Publishes the content of an older generation as a new generation. The generation
in force never falls. Attempts of moves keep the higher number, so that a
reversed attempt does not start again.

` + exitHelp,
		Example: `  marjoramctl diff --from 41
  marjoramctl revert 41 --base current --wait`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			generation, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usageError(fmt.Sprintf("%q is not a generation", args[0]))
			}
			client, err := t.newClient()
			if err != nil {
				return err
			}
			baseGen, err := baseGeneration(c.Context(), client, baseFlag, nil)
			if err != nil {
				return err
			}
			response, err := client.Revert(c.Context(), baseGen, generation)
			return t.reportPublication(c.Context(), client, &object.Set{}, response, err, wait)
		},
	}
	c.Flags().StringVar(&baseFlag, "base", baseCurrent, "`generation` that must be current, or \"current\" for any")
	wait.addTo(c)
	return c
}

func (t *tool) drainCommand() *cobra.Command {
	return t.drainMarkCommand("drain", "Stop new work for a target; requests in flight finish", (*adminapi.Client).Drain)
}

func (t *tool) undrainCommand() *cobra.Command {
	return t.drainMarkCommand("undrain", "Permit new work for a target again", (*adminapi.Client).Undrain)
}

// drainMarkCommand returns a command that sets or clears the drain mark of one
// target by calling change.
func (t *tool) drainMarkCommand(name, short string,
	change func(*adminapi.Client, context.Context, string) (adminapi.PublishResponse, error)) *cobra.Command {
	var wait waitFlags
	c := &cobra.Command{
		Use:   name + " TARGET",
		Short: short,
		Long: short + `.

The mark is part of the configuration: it is published as a new generation and
stays until it is changed by this tool.

` + exitHelp,
		Example: "  marjoramctl " + name + " llm-3 --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := t.newClient()
			if err != nil {
				return err
			}
			response, err := change(client, c.Context(), args[0])
			return t.reportPublication(c.Context(), client, &object.Set{}, response, err, wait)
		},
	}
	wait.addTo(c)
	return c
}
