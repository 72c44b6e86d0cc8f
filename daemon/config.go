package daemon

import (
	"context"
	"errors"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/confsync"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/provider"
)

// buildConfigSync creates the parts that publish the configuration and synchronize it with
// peers and the store.
func (d *Daemon) buildConfigSync() {
	d.publisher = confsync.NewPublisher(d.table, d.objects, nil)
	d.configSyncer = confsync.NewSyncer(confsync.Config{
		Self:       d.settings.Name,
		DataCentre: d.settings.DataCentre,
		Sender:     d.mesh,
		LiveLocal:  func() ([]string, uint64) { return d.topologies.liveInDataCentre(d.settings.DataCentre) },
		Table:      d.table,
		Objects:    d.objects,
		Logger:     d.logger,
	})
	d.configSyncer.Subscribe(d.installConfig)
}

// onConfigMessage passes configuration messages, and the generations that pings and pongs
// carry, to the syncer.
func (d *Daemon) onConfigMessage(from string, m *peerpb.Envelope) {
	if generation, ok := generationOf(m); ok {
		d.configSyncer.OnPeerGeneration(from, generation)
	}
	switch m.Body.(type) {
	case *peerpb.Envelope_ConfigAnnounce, *peerpb.Envelope_ConfigPull, *peerpb.Envelope_ConfigData:
		d.configSyncer.OnMessage(from, m)
	}
}

// Generation implements adminapi.Backend. It reads the generation from the store.
func (b backend) Generation(ctx context.Context, generation uint64) (*object.Set, error) {
	set, err := b.daemon.publisher.Read(ctx, generation)
	if errors.Is(err, confsync.ErrNoGeneration) || errors.Is(err, provider.ErrNotFound) {
		return nil, adminapi.ErrNoGeneration
	}
	return set, err
}

// Publish implements adminapi.Backend. It returns the new generation, and
// *adminapi.GenerationConflictError if base is not the current one. An error that wraps
// provider.ErrOutcomeUnknown means that the set may have been published.
func (b backend) Publish(ctx context.Context, base uint64, set *object.Set, operator string) (uint64, error) {
	generation, err := b.daemon.publisher.Publish(ctx, base, set, operator)
	var conflict *confsync.ConflictError
	var unknown *confsync.OutcomeUnknownError
	switch {
	case errors.As(err, &conflict):
		return 0, &adminapi.GenerationConflictError{Current: conflict.Current}
	case errors.As(err, &unknown):
		return 0, fault.Wrap(errors.Join(provider.ErrOutcomeUnknown, err), "config.publish", "")
	case err != nil:
		return 0, err
	}
	b.daemon.logger.Emit(eventlog.ConfigPublished, eventlog.Fields{"generation": generation, "operator": operator})
	b.daemon.configSyncer.PollNow()
	return generation, nil
}
