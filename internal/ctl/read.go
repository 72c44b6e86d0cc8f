package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/object"
)

func (t *tool) checkCommand() *cobra.Command {
	var local bool
	c := &cobra.Command{
		Use:   "check FILE|DIRECTORY|- ...",
		Short: "List all problems of objects",
		Long: `Checks the objects of all files together and lists all problems with file, line,
object and field. When a server is given, the daemon checks them too, against the
generation in force and the time; --local leaves that out.

` + exitHelp,
		Example: `  marjoramctl check --local objects/
  marjoramctl check -o json services.yaml targets.yaml`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			set, _, err := t.readSet(args)
			if err != nil {
				return err
			}
			if !local && len(t.serverList()) > 0 {
				if err := t.checkByDaemon(c, set); err != nil {
					return err
				}
			}
			return t.printValue(object.Problems{}, formatTable, func() *table {
				out := &table{}
				out.addRow("no problems")
				return out
			})
		},
	}
	c.Flags().BoolVar(&local, "local", false, "check without asking a daemon")
	return c
}

// checkByDaemon lets a daemon check the set. If there are problems, it prints them
// and returns an error.
func (t *tool) checkByDaemon(c *cobra.Command, set *object.Set) error {
	client, err := t.newClient()
	if err != nil {
		return err
	}
	problems, err := client.Check(c.Context(), set)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return t.reportProblems(set.Locate(problems))
	}
	return nil
}

func (t *tool) diffCommand() *cobra.Command {
	var from, to uint64
	c := &cobra.Command{
		Use:   "diff [FILE|DIRECTORY|- ...]",
		Short: "Show what differs from the generation in force, or between generations",
		Example: `  marjoramctl diff objects/
  marjoramctl diff --from 41
  marjoramctl diff --from 40 --to 41 -o json`,
		RunE: func(c *cobra.Command, args []string) error {
			byGeneration := c.Flags().Changed("from")
			if byGeneration == (len(args) > 0) {
				return usageError("give either files or --from")
			}
			if c.Flags().Changed("to") && !byGeneration {
				return usageError("--to needs --from")
			}
			diff, err := t.fetchDiff(c, args, from, to)
			if err != nil {
				return err
			}
			return t.printValue(diff, formatTable, func() *table { return changesTable(diff.Changes) })
		},
	}
	c.Flags().Uint64Var(&from, "from", 0, "first `generation`")
	c.Flags().Uint64Var(&to, "to", 0, "second `generation`; without it the one in force")
	return c
}

// fetchDiff returns the changes to the set in the files args or, without files,
// the changes between two generations.
func (t *tool) fetchDiff(c *cobra.Command, args []string, from, to uint64) (adminapi.DiffResponse, error) {
	var zero adminapi.DiffResponse
	if len(args) > 0 {
		set, _, err := t.readSet(args)
		if err != nil {
			return zero, err
		}
		client, err := t.newClient()
		if err != nil {
			return zero, err
		}
		return client.Diff(c.Context(), set)
	}
	client, err := t.newClient()
	if err != nil {
		return zero, err
	}
	if !c.Flags().Changed("to") {
		config, err := client.Current(c.Context())
		if err != nil {
			return zero, err
		}
		to = config.Generation
	}
	return client.DiffGenerations(c.Context(), from, to)
}

// parseKind returns the kind with a name, which may be singular or plural.
func parseKind(text string) (object.Kind, bool) {
	for _, kind := range object.Kinds() {
		if strings.EqualFold(text, string(kind)) || strings.EqualFold(text, string(kind)+"s") {
			return kind, true
		}
	}
	if text == "account" || text == "accounts" {
		return object.KindClientAccount, true
	}
	return "", false
}

func (t *tool) getCommand() *cobra.Command {
	var generation uint64
	c := &cobra.Command{
		Use:   "get set | get KIND [NAME]",
		Short: "Print the configuration in force or its objects",
		Long: `Prints the whole set, as a file that "publish" accepts, or the objects of a kind:
services, targets, versions, tiers, clientAccounts (or accounts) and moves.`,
		Example: `  marjoramctl get set > current.yaml
  marjoramctl get set --generation 41
  marjoramctl get targets
  marjoramctl get move assistant-to-2 -o json`,
		Args:      cobra.RangeArgs(1, 2),
		ValidArgs: []string{"set", "services", "targets", "versions", "tiers", "accounts", "moves"},
		RunE: func(c *cobra.Command, args []string) error {
			if args[0] == "set" && len(args) == 1 {
				return t.printSet(c, generation)
			}
			kind, ok := parseKind(args[0])
			if !ok {
				return usageError(fmt.Sprintf("%q is not \"set\" or a kind of object", args[0]))
			}
			if c.Flags().Changed("generation") {
				return usageError("--generation goes with \"get set\"")
			}
			return t.printObjects(c, kind, args[1:])
		},
	}
	c.Flags().Uint64Var(&generation, "generation", 0, "`generation` to print instead of the one in force")
	return c
}

// printSet prints the set in force or, with the --generation flag, that of the
// generation. YAML output starts with the base comment that publish reads.
func (t *tool) printSet(c *cobra.Command, generation uint64) error {
	client, err := t.newClient()
	if err != nil {
		return err
	}
	var config adminapi.Config
	if c.Flags().Changed("generation") {
		config, err = client.Generation(c.Context(), generation)
	} else {
		config, err = client.Current(c.Context())
	}
	if err != nil {
		return err
	}
	if t.outputFormat == "" || t.outputFormat == formatYAML {
		text, err := config.Set.FormatYAML()
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(t.env.Stdout, "%s%d\n%s", baseCommentPrefix, config.Generation, text)
		return err
	}
	return t.printValue(config.Set, formatTable, func() *table {
		out := &table{header: []string{"GENERATION", "SERVICES", "TARGETS", "VERSIONS", "TIERS", "ACCOUNTS", "MOVES", "DIGEST"}}
		s := config.Set
		out.addRow(config.Generation, len(s.Services), len(s.Targets), len(s.Versions), len(s.Tiers), len(s.ClientAccounts), len(s.Moves), config.Digest)
		return out
	})
}

// printObjects prints the named object of a kind or, without a name, all objects
// of the kind.
func (t *tool) printObjects(c *cobra.Command, kind object.Kind, names []string) error {
	client, err := t.newClient()
	if err != nil {
		return err
	}
	if len(names) == 1 {
		data, err := client.Object(c.Context(), kind, names[0])
		if err != nil {
			return err
		}
		return t.printValue(data, formatYAML, func() *table { return objectTable(kind, []json.RawMessage{data}) })
	}
	data, err := client.Objects(c.Context(), kind)
	if err != nil {
		return err
	}
	var objects []json.RawMessage
	if err := json.Unmarshal(data, &objects); err != nil {
		return err
	}
	return t.printValue(data, formatTable, func() *table { return objectTable(kind, objects) })
}

// buildVersion returns the version of the running binary.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}

func (t *tool) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this tool and, when a server is given, of its daemon",
		Example: "  marjoramctl version -o json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			versions := map[string]string{"marjoramctl": buildVersion()}
			if len(t.serverList()) > 0 {
				client, err := t.newClient()
				if err != nil {
					return err
				}
				daemon, err := client.Version(c.Context())
				if err != nil {
					return err
				}
				versions[daemon.Daemon] = daemon.Version
			}
			return t.printValue(versions, formatTable, func() *table { return mapTable(versions) })
		},
	}
}

// compactJSON returns a JSON value on one line. A string is returned without its
// quotes.
func compactJSON(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	var out bytes.Buffer
	if json.Compact(&out, value) != nil {
		return string(value)
	}
	return out.String()
}
