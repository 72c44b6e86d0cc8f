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
			return t.print(object.Problems{}, formatTable, func() *table {
				out := &table{}
				out.add("no problems")
				return out
			})
		},
	}
	c.Flags().BoolVar(&local, "local", false, "ask no daemon")
	return c
}

func (t *tool) checkByDaemon(c *cobra.Command, set *object.Set) error {
	client, err := t.client()
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
			diff, err := t.diff(c, args, from, to)
			if err != nil {
				return err
			}
			return t.print(diff, formatTable, func() *table { return changesTable(diff.Changes) })
		},
	}
	c.Flags().Uint64Var(&from, "from", 0, "first `generation`")
	c.Flags().Uint64Var(&to, "to", 0, "second `generation`; without it the one in force")
	return c
}

func (t *tool) diff(c *cobra.Command, args []string, from, to uint64) (adminapi.DiffResponse, error) {
	var none adminapi.DiffResponse
	if len(args) > 0 {
		set, _, err := t.readSet(args)
		if err != nil {
			return none, err
		}
		client, err := t.client()
		if err != nil {
			return none, err
		}
		return client.Diff(c.Context(), set)
	}
	client, err := t.client()
	if err != nil {
		return none, err
	}
	if !c.Flags().Changed("to") {
		config, err := client.Current(c.Context())
		if err != nil {
			return none, err
		}
		to = config.Generation
	}
	return client.DiffGenerations(c.Context(), from, to)
}

// kindOf returns a kind by its name in the singular or the plural.
func kindOf(text string) (object.Kind, bool) {
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
				return t.getSet(c, generation)
			}
			kind, ok := kindOf(args[0])
			if !ok {
				return usageError(fmt.Sprintf("%q is not \"set\" or a kind of object", args[0]))
			}
			if c.Flags().Changed("generation") {
				return usageError("--generation goes with \"get set\"")
			}
			return t.getObjects(c, kind, args[1:])
		},
	}
	c.Flags().Uint64Var(&generation, "generation", 0, "`generation` to print instead of the one in force")
	return c
}

func (t *tool) getSet(c *cobra.Command, generation uint64) error {
	client, err := t.client()
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
	if t.output == "" || t.output == formatYAML {
		text, err := config.Set.FormatYAML()
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(t.env.Stdout, "%s%d\n%s", baseComment, config.Generation, text)
		return err
	}
	return t.print(config.Set, formatTable, func() *table {
		out := &table{header: []string{"GENERATION", "SERVICES", "TARGETS", "VERSIONS", "TIERS", "ACCOUNTS", "MOVES", "DIGEST"}}
		s := config.Set
		out.add(config.Generation, len(s.Services), len(s.Targets), len(s.Versions), len(s.Tiers), len(s.ClientAccounts), len(s.Moves), config.Digest)
		return out
	})
}

func (t *tool) getObjects(c *cobra.Command, kind object.Kind, names []string) error {
	client, err := t.client()
	if err != nil {
		return err
	}
	if len(names) == 1 {
		one, err := client.Object(c.Context(), kind, names[0])
		if err != nil {
			return err
		}
		return t.print(one, formatYAML, func() *table { return objectTable(kind, []json.RawMessage{one}) })
	}
	all, err := client.Objects(c.Context(), kind)
	if err != nil {
		return err
	}
	var list []json.RawMessage
	if err := json.Unmarshal(all, &list); err != nil {
		return err
	}
	return t.print(all, formatTable, func() *table { return objectTable(kind, list) })
}

// versionOf returns the version of the running binary.
func versionOf() string {
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
			versions := map[string]string{"marjoramctl": versionOf()}
			if len(t.serverList()) > 0 {
				client, err := t.client()
				if err != nil {
					return err
				}
				daemon, err := client.Version(c.Context())
				if err != nil {
					return err
				}
				versions[daemon.Daemon] = daemon.Version
			}
			return t.print(versions, formatTable, func() *table { return mapTable(versions) })
		},
	}
}

// compact returns JSON on one line, without quotes around text.
func compact(value json.RawMessage) string {
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
