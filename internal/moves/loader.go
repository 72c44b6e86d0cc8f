package moves

import (
	"context"
	"slices"

	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// Loader sends orders to targets. It implements rollout.Orders.
type Loader struct {
	Engines *engine.Client
	// Model returns the engine's name of a version.
	Model func(version string) string
}

// actionLoad is the order to load a version.
const actionLoad = "load"

// Load implements rollout.Orders. The context's deadline is the end of the
// lease; it bounds the connection too.
func (o Loader) Load(ctx context.Context, order rollout.LoadVersion) (bool, error) {
	target := order.Target
	model := o.Model(order.Version)
	health, err := o.Engines.Probe(ctx, target.Name, target.Address)
	if err != nil {
		return false, err
	}
	if slices.Contains(health.Versions, model) {
		return true, nil
	}
	return false, o.Engines.SendCommand(ctx, target.Name, target.Address, engine.Command{
		Action:  actionLoad,
		Version: model,
		Fence:   order.Fence,
	})
}
