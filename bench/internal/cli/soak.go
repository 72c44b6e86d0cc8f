package cli

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/internal/soak"
)

var errBroken = errors.New("promises were broken")

// soakCommand runs seeded faults against real daemons.
func soakCommand() *cobra.Command {
	config := soak.Config{}
	seeds := 1
	c := &cobra.Command{
		Use:   "soak",
		Short: "Inject seeded faults into daemons and check what callers and targets see",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			programs, err := cluster.FindPrograms()
			if err != nil {
				return err
			}
			config.Program = programs.Daemon
			base := config.Dir
			if base == "" {
				if base, err = os.MkdirTemp("", "marjoramflow-soak-"); err != nil {
					return err
				}
			}
			broken := false
			first := config.Seed
			for n := range seeds {
				config.Seed = first + uint64(n)
				config.Dir = filepath.Join(base, fmt.Sprint("seed-", config.Seed))
				if err := os.MkdirAll(config.Dir, 0o755); err != nil {
					return err
				}
				report, err := soak.Run(cmd.Context(), config)
				if err != nil {
					return err
				}
				fmt.Fprint(cmd.OutOrStdout(), report)
				if len(report.Violations) > 0 {
					broken = true
					fmt.Fprintln(cmd.OutOrStdout(), "  logs:", config.Dir)
				}
			}
			if broken {
				return errBroken
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&config.Seed, "seed", 1, "first seed")
	c.Flags().IntVar(&seeds, "seeds", seeds, "number of seeds")
	c.Flags().DurationVar(&config.Duration, "length", 30*time.Second, "time with faults of each seed")
	c.Flags().IntVar(&config.Daemons, "daemons", 4, "number of daemons")
	c.Flags().IntVar(&config.Callers, "callers", 12, "number of callers")
	c.Flags().StringVar(&config.Dir, "dir", "", "directory for settings and logs; a temporary one by default")
	return c
}
