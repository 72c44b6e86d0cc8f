package cli

import (
	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/internal/demo"
)

func demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run a deployment through faults and moves and report whether its promises held",
		RunE: func(cmd *cobra.Command, _ []string) error {
			programs, err := cluster.FindPrograms()
			if err != nil {
				return err
			}
			return demo.Run(cmd.Context(), programs, cmd.OutOrStdout())
		},
	}
}
