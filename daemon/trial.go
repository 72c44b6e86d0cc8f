package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
)

// trialTimeout bounds a trial request to an ejected target.
const trialTimeout = 10 * time.Second

// trialBody is the smallest chat completion.
var trialBody = map[string]json.RawMessage{
	"messages":   json.RawMessage(`[{"role":"user","content":"ping"}]`),
	"max_tokens": json.RawMessage("1"),
}

// trial sends a small request to an ejected target. Plain services are only
// probed, since their calls may have effects.
func (d *Daemon) trial(t *object.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	index := d.places.Index()
	if index == nil {
		return fault.New("daemon.trial", t.Name, "no configuration is in force")
	}
	service := index.Service(t.Service)
	if service == nil || service.Kind != object.ModelService {
		_, err := d.engines.Probe(ctx, t.Name, t.Address)
		return err
	}
	stream, err := d.engines.Stream(ctx, &engine.Call{
		ID:           "trial-" + d.settings.Name + "-" + t.Name,
		Target:       t.Name,
		Address:      t.Address,
		Model:        d.model(service.Version),
		Body:         trialBody,
		FirstTimeout: trialTimeout,
		GapTimeout:   trialTimeout,
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
