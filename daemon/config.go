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

// buildConfig builds the parts that publish and spread the configuration.
func (d *Daemon) buildConfig() {
	d.publisher = confsync.NewPublisher(d.table, d.objects, nil)
	d.config = confsync.NewSyncer(confsync.Config{
		Self:       d.settings.Name,
		DataCentre: d.settings.DataCentre,
		Sender:     d.mesh,
		LiveLocal:  func() ([]string, uint64) { return d.places.liveIn(d.settings.DataCentre) },
		Table:      d.table,
		Objects:    d.objects,
		Logger:     d.logger,
	})
	d.config.Subscribe(d.install)
}

// onConfigMessage hands a frame to the syncer. Pings tell the peer's generation.
func (d *Daemon) onConfigMessage(from string, m *peerpb.Envelope) {
	if generation, ok := generationOf(m); ok {
		d.config.OnPeerGeneration(from, generation)
	}
	switch m.Body.(type) {
	case *peerpb.Envelope_ConfigAnnounce, *peerpb.Envelope_ConfigPull, *peerpb.Envelope_ConfigData:
		d.config.OnMessage(from, m)
	}
}

// Generation implements adminapi.Backend.
func (b backend) Generation(ctx context.Context, generation uint64) (*object.Set, error) {
	set, err := b.daemon.publisher.Read(ctx, generation)
	if errors.Is(err, confsync.ErrNoGeneration) || errors.Is(err, provider.ErrNotFound) {
		return nil, adminapi.ErrNoGeneration
	}
	return set, err
}

// Publish implements adminapi.Backend.
func (b backend) Publish(ctx context.Context, base uint64, set *object.Set, operator string) (uint64, error) {
	generation, err := b.daemon.publisher.Publish(ctx, base, set, operator)
	var conflict *confsync.ConflictError
	var unknown *confsync.UnknownError
	switch {
	case errors.As(err, &conflict):
		return 0, &adminapi.GenerationConflict{Current: conflict.Current}
	case errors.As(err, &unknown):
		return 0, fault.Wrap(errors.Join(provider.ErrUnknown, err), "config.publish", "")
	case err != nil:
		return 0, err
	}
	b.daemon.logger.Emit(eventlog.ConfigPublished, eventlog.Fields{"generation": generation, "operator": operator})
	b.daemon.config.PollNow()
	return generation, nil
}
