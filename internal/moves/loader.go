package moves

import (
	"context"
	"slices"

	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// Loader sends load commands to targets. It implements rollout.Loader.
type Loader struct {
	Engines *engine.Client
	// Model returns the model name by which engines know a version.
	Model func(version string) string
}

// actionLoad is the action of a command that loads a version.
const actionLoad = "load"

// Load implements rollout.Loader. It sends a load command unless the target has the
// version loaded already, in which case it returns true. The context's deadline is
// the end of the lease; it bounds the connection too.
func (l Loader) Load(ctx context.Context, command rollout.LoadVersion) (bool, error) {
	target := command.Target
	model := l.Model(command.Version)
	health, err := l.Engines.Probe(ctx, target.Name, target.Address)
	if err != nil {
		return false, err
	}
	if slices.Contains(health.Versions, model) {
		return true, nil
	}
	return false, l.Engines.SendCommand(ctx, target.Name, target.Address, engine.Command{
		Action:  actionLoad,
		Version: model,
		Fence:   command.Fence,
	})
}
