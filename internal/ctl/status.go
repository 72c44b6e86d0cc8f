package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/adminapi"
)

func (t *tool) statusCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "status [daemons|moves|targets|tiers|accounts]",
		Short: "Show the runtime state",
		Long: `Shows which generation each daemon has (without an argument, or with "daemons"),
the progress of moves, the state of targets, the load of tiers, or the use of the
limits of client accounts. Targets, tiers and accounts are shown as the daemon
that answers sees them.`,
		Example: `  marjoramctl status
  marjoramctl status moves
  marjoramctl --server 10.0.0.2:8081 status targets -o json`,
		Args:      cobra.MatchAll(cobra.MaximumNArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"daemons", "moves", "targets", "tiers", "accounts"},
		RunE: func(c *cobra.Command, args []string) error {
			client, err := t.newClient()
			if err != nil {
				return err
			}
			topic := "daemons"
			if len(args) == 1 {
				topic = args[0]
			}
			return t.printStatus(c.Context(), client, topic)
		},
	}
	return c
}

func (t *tool) printStatus(ctx context.Context, client *adminapi.Client, topic string) error {
	switch topic {
	case "moves":
		return printList(ctx, t, client.Moves, movesTable)
	case "targets":
		return printList(ctx, t, client.Targets, targetsTable)
	case "tiers":
		return printList(ctx, t, client.Tiers, tiersTable)
	case "accounts":
		return printList(ctx, t, client.Accounts, accountsTable)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return t.printValue(status, formatTable, func() *table { return daemonsTable(status) })
}

func printList[T any](ctx context.Context, t *tool, fetch func(context.Context) ([]T, error), toTable func([]T) *table) error {
	items, err := fetch(ctx)
	if err != nil {
		return err
	}
	return t.printValue(items, formatTable, func() *table { return toTable(items) })
}

func daemonsTable(status adminapi.Status) *table {
	out := &table{header: []string{"DAEMON", "DATACENTRE", "ADDRESS", "GENERATION", "STATE", "LASTHEARD"}}
	for _, d := range status.Daemons {
		state := "in force"
		switch {
		case !d.Reachable:
			state = "not reached"
		case d.Generation < status.Generation:
			state = "behind"
		}
		out.addRow(d.Name, d.DataCentre, d.Address, d.Generation, state, formatTime(d.LastHeard))
	}
	return out
}

func movesTable(moves []adminapi.MoveStatus) *table {
	out := &table{header: []string{"MOVE", "SERVICE", "FROM", "TO", "PHASE", "SHARE", "ATTEMPT", "DEADLINE", "HOLDER", "REASON"}}
	for _, m := range moves {
		out.addRow(m.Name, m.Service, m.From, m.To, m.Phase, fmt.Sprintf("%g%%", m.SharePercent), m.Attempt,
			formatTime(m.Deadline), m.Holder, m.Reason)
	}
	return out
}

func targetsTable(targets []adminapi.TargetStatus) *table {
	out := &table{header: []string{"TARGET", "SERVICE", "DATACENTRE", "STATE", "VERSION", "INFLIGHT", "SLOTS", "OWNER", "REASON"}}
	for _, s := range targets {
		out.addRow(s.Name, s.Service, s.DataCentre, s.State, s.Version, s.InFlight, s.Slots, s.Owner, s.Reason)
	}
	return out
}

func tiersTable(tiers []adminapi.TierStatus) *table {
	out := &table{header: []string{"TIER", "RANK", "WAITING", "RUNNING", "DONE", "SHED"}}
	for _, s := range tiers {
		out.addRow(s.Name, s.Rank, s.Waiting, s.Running, s.Done, s.Shed)
	}
	return out
}

func accountsTable(accounts []adminapi.AccountStatus) *table {
	out := &table{header: []string{"ACCOUNT", "TIER", "REQUESTS/S", "TOKENS/S", "PORTION", "DONE", "LIMITED"}}
	for _, s := range accounts {
		out.addRow(s.Name, s.Tier, formatLimit(s.RequestsPerSecond), formatLimit(s.TokensPerSecond), s.Portion, s.Done, s.Limited)
	}
	return out
}

func formatLimit(limit float64) string {
	if limit == 0 {
		return "none"
	}
	return fmt.Sprintf("%g", limit)
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return at.UTC().Format(time.RFC3339)
}
