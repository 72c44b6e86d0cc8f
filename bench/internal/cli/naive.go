package cli

import (
	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/bench/naive"
)

func naiveCommand() *cobra.Command {
	var listen string
	var engines []string
	cmd := &cobra.Command{
		Use:   "naive",
		Short: "Run the naive scheduler, the baseline of the measurements",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, naive.New(engines))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9300", "address to listen on")
	cmd.Flags().StringSliceVar(&engines, "engines", nil, "addresses of the engines")
	return cmd
}
