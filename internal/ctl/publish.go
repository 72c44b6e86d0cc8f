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
	// baseCurrent as the base accepts whatever generation is in force.
	baseCurrent = "current"
	// defaultWait covers the 4 s within which a generation is in force
	// everywhere, with room for a busy store.
	defaultWait = 30 * time.Second
	// waitPoll is the time between two looks at the status.
	waitPoll = 500 * time.Millisecond
)

// waitFlags are the flags of commands that publish.
type waitFlags struct {
	wait    bool
	timeout time.Duration
}

func (w *waitFlags) register(c *cobra.Command) {
	c.Flags().BoolVar(&w.wait, "wait", false, "wait until the generation is in force on all reachable daemons")
	c.Flags().DurationVar(&w.timeout, "timeout", defaultWait, "bound of --wait")
}

func (t *tool) publishCommand() *cobra.Command {
	var wait waitFlags
	var base string
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
			client, err := t.client()
			if err != nil {
				return err
			}
			from, err := baseGeneration(c.Context(), client, base, files)
			if err != nil {
				return err
			}
			answer, err := client.Publish(c.Context(), from, set)
			return t.published(c.Context(), client, set, answer, err, wait)
		},
	}
	c.Flags().StringVar(&base, "base", "", "`generation` that the files were made from, or \"current\"")
	wait.register(c)
	return c
}

// baseGeneration returns the generation that a change starts from.
func baseGeneration(ctx context.Context, client *adminapi.Client, flag string, files []object.File) (uint64, error) {
	if flag == baseCurrent {
		status, err := client.Status(ctx)
		return status.Generation, err
	}
	if flag != "" {
		generation, err := strconv.ParseUint(flag, 10, 64)
		if err != nil {
			return 0, usageError(fmt.Sprintf("base %q must be a generation or %q", flag, baseCurrent))
		}
		return generation, nil
	}
	generation, found, err := baseOf(files)
	if err == nil && !found {
		err = usageError("no base: give --base, or start from the output of \"get set\"")
	}
	return generation, err
}

// published reports the result of a publication and waits if asked to.
func (t *tool) published(ctx context.Context, client *adminapi.Client, set *object.Set,
	answer adminapi.PublishResponse, err error, wait waitFlags) error {
	var refused *adminapi.Error
	if errors.As(err, &refused) && refused.Code == adminapi.CodeProblems {
		return t.reportProblems(set.Locate(refused.Problems))
	}
	if !errors.Is(err, adminapi.ErrOutcomeUnknown) && errors.As(err, &refused) && refused.Code == adminapi.CodeConflict {
		return t.reportConflict(refused)
	}
	if err != nil {
		return err
	}
	err = t.print(answer, formatTable, func() *table {
		out := &table{header: []string{"GENERATION", "DIGEST", "RESULT"}}
		out.add(answer.Generation, answer.Digest, resultOf(answer))
		return out
	})
	if err != nil || !wait.wait {
		return err
	}
	return t.waitInForce(ctx, client, answer.Generation, wait.timeout)
}

func resultOf(answer adminapi.PublishResponse) string {
	if answer.Unchanged {
		return "unchanged"
	}
	return "published"
}

func (t *tool) reportConflict(refused *adminapi.Error) error {
	if conflict := refused.Conflict; conflict != nil {
		err := t.print(conflict, formatTable, func() *table { return changesTable(conflict.Changes) })
		if err != nil {
			return err
		}
		if conflict.Unknown {
			t.note("the changes since generation %d could not be read", conflict.Base)
		}
	}
	return &exitError{ExitConflict, refused}
}

// waitInForce waits and names the daemons without the generation.
func (t *tool) waitInForce(ctx context.Context, client *adminapi.Client, generation uint64, timeout time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	status, err := client.WaitInForce(bounded, generation, waitPoll)
	if len(status.Unreachable) > 0 {
		t.note("not reached: %s", strings.Join(status.Unreachable, ", "))
	}
	if err == nil {
		t.note("generation %d is in force on all %d reachable daemons after %v",
			generation, len(status.Daemons)-len(status.Unreachable), time.Since(start).Round(time.Millisecond))
		return nil
	}
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	late := "unknown daemons, since no server answered"
	if len(status.Behind) > 0 {
		late = strings.Join(status.Behind, ", ")
	}
	return &exitError{ExitNotInForce, fmt.Errorf("generation %d is not in force after %v on %s", generation, timeout, late)}
}

func (t *tool) revertCommand() *cobra.Command {
	var wait waitFlags
	var base string
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
			client, err := t.client()
			if err != nil {
				return err
			}
			from, err := baseGeneration(c.Context(), client, base, nil)
			if err != nil {
				return err
			}
			answer, err := client.Revert(c.Context(), from, generation)
			return t.published(c.Context(), client, &object.Set{}, answer, err, wait)
		},
	}
	c.Flags().StringVar(&base, "base", baseCurrent, "`generation` that must be current, or \"current\" for any")
	wait.register(c)
	return c
}

func (t *tool) drainCommand() *cobra.Command {
	return t.targetCommand("drain", "Stop new work for a target; requests in flight finish", (*adminapi.Client).Drain)
}

func (t *tool) undrainCommand() *cobra.Command {
	return t.targetCommand("undrain", "Permit new work for a target again", (*adminapi.Client).Undrain)
}

// targetCommand returns a command that changes the mark of one target.
func (t *tool) targetCommand(name, short string,
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
			client, err := t.client()
			if err != nil {
				return err
			}
			answer, err := change(client, c.Context(), args[0])
			return t.published(c.Context(), client, &object.Set{}, answer, err, wait)
		},
	}
	wait.register(c)
	return c
}
