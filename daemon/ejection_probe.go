package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
)

// ejectionProbeTimeout bounds one probe of an ejected target.
const ejectionProbeTimeout = 10 * time.Second

// ejectionProbeBody is a minimal chat completion request.
var ejectionProbeBody = map[string]json.RawMessage{
	"messages":   json.RawMessage(`[{"role":"user","content":"ping"}]`),
	"max_tokens": json.RawMessage("1"),
}

// probeEjected sends a minimal request to an ejected target and returns an error if it
// fails. A target of a plain service is only asked for its health, since calls of plain
// services may have side effects.
func (d *Daemon) probeEjected(t *object.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), ejectionProbeTimeout)
	defer cancel()
	index := d.topologies.Index()
	if index == nil {
		return fault.New("daemon.trial", t.Name, "no configuration is in force")
	}
	service := index.Service(t.Service)
	if service == nil || service.Kind != object.ModelService {
		_, err := d.engines.Probe(ctx, t.Name, t.Address)
		return err
	}
	stream, err := d.engines.Stream(ctx, &engine.Call{
		ID:                "trial-" + d.settings.Name + "-" + t.Name,
		Target:            t.Name,
		Address:           t.Address,
		Model:             d.engineModel(service.Version),
		Body:              ejectionProbeBody,
		FirstFrameTimeout: ejectionProbeTimeout,
		FrameGapTimeout:   ejectionProbeTimeout,
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		frame, err := stream.Next()
		if frame == nil {
			return err
		}
	}
}
