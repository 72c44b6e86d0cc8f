package cli

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/bench/standin/engine"
	"github.com/marjoramflow/marjoramflow/bench/standin/plain"
	"github.com/marjoramflow/marjoramflow/bench/standin/platformserver"
)

// readHeaderTimeout bounds the time to read a request's headers.
const readHeaderTimeout = 10 * time.Second

func standinCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run one stand-in server"}
	cmd.AddCommand(platformCommand(), engineCommand(), plainCommand())
	return cmd
}

func platformCommand() *cobra.Command {
	var listen string
	var weightRate float64
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run the platform: table service, object store, weight store and VM list",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, platformserver.New(weightRate).Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "address to listen on")
	cmd.Flags().Float64Var(&weightRate, "weight-rate", 10e9, "bytes per second of the weight store")
	return cmd
}

func engineCommand() *cobra.Command {
	var listen string
	config := engine.Config{CrashTime: 2 * time.Second}
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine with continuous batching",
		RunE: func(cmd *cobra.Command, _ []string) error {
			server := engine.New(config)
			defer server.Close()
			return serve(cmd.Context(), listen, server.Handler())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:9100", "address to listen on")
	flags.StringVar(&config.Name, "name", "engine", "name of the engine")
	flags.StringSliceVar(&config.Versions, "versions", []string{"m1"}, "models that are loaded at start")
	flags.Float64Var(&config.Speed.PrefillTokensPerSecond, "prefill", 20000, "prompt tokens per second")
	flags.DurationVar(&config.Speed.DecodeBase, "decode-base", 8*time.Millisecond, "time of a decode step")
	flags.DurationVar(&config.Speed.DecodePerSequence, "decode-sequence", 200*time.Microsecond, "time added to a decode step per sequence")
	flags.IntVar(&config.Speed.MaxBatch, "batch", 16, "sequences that run at once")
	flags.IntVar(&config.Speed.KVTokens, "kv-tokens", 64000, "size of the KV cache in tokens")
	flags.DurationVar(&config.Lag, "lag", 2*time.Second, "delay of load reports and cache events")
	flags.Float64Var(&config.EventLoss, "event-loss", 0.02, "share of cache events that are lost")
	flags.BoolVar(&config.Stamp, "stamp", false, "write the times of receipt and emission into each token")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the event loss")
	return cmd
}

func plainCommand() *cobra.Command {
	var listen string
	server := &plain.Server{}
	cmd := &cobra.Command{
		Use:   "plain",
		Short: "Run a plain service that logs every execution",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, server.Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9200", "address to listen on")
	cmd.Flags().DurationVar(&server.ServiceTime, "service-time", 5*time.Millisecond, "processing time of one call")
	cmd.Flags().StringSliceVar(&server.Versions, "versions", []string{"v1"}, "versions that the server reports in its health answer")
	return cmd
}

// serve runs an HTTP server until SIGTERM or SIGINT; open connections are then
// closed at once.
func serve(ctx context.Context, listen string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
