package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/platform"
)

type unlimitedLink struct{}

func (unlimitedLink) Take(int, int) bool { return true }

type noLimiter struct{}

func (noLimiter) Allow(string, int) time.Duration { return 0 }

// currentRow is the table row that names the configuration in force.
type currentRow struct {
	Generation uint64 `json:"generation"`
	Object     string `json:"object"`
}

func (d *Daemon) pollConfig(ctx context.Context) error {
	for ctx.Err() == nil {
		d.pollOnce(ctx)
		pause(ctx, time.Second)
	}
	return nil
}

func (d *Daemon) pollOnce(ctx context.Context) {
	rows, err := d.table.Get(ctx, "config/current")
	if err != nil || rows[0].Version == 0 {
		return
	}
	var row currentRow
	if json.Unmarshal(rows[0].Value, &row) != nil || row.Generation <= d.generation() {
		return
	}
	data, err := d.objects.Get(ctx, row.Object)
	if err != nil {
		return
	}
	set, err := object.DecodeSet(data)
	if err == nil {
		d.install(row.Generation, set)
	}
}

// Generation implements adminapi.Backend.
func (b backend) Generation(ctx context.Context, generation uint64) (*object.Set, error) {
	data, err := b.daemon.objects.Get(ctx, fmt.Sprintf("sets-%d", generation))
	if err != nil {
		return nil, adminapi.ErrNoGeneration
	}
	return object.DecodeSet(data)
}

// Publish implements adminapi.Backend.
func (b backend) Publish(ctx context.Context, base uint64, set *object.Set, _ string) (uint64, error) {
	rows, err := b.daemon.table.Get(ctx, "config/current")
	if err != nil {
		return 0, err
	}
	var row currentRow
	if rows[0].Version > 0 {
		if err := json.Unmarshal(rows[0].Value, &row); err != nil {
			return 0, err
		}
	}
	if row.Generation != base {
		return 0, &adminapi.GenerationConflict{Current: row.Generation}
	}
	data, err := set.Encode()
	if err != nil {
		return 0, err
	}
	row = currentRow{Generation: base + 1, Object: fmt.Sprintf("sets-%d", base+1)}
	if err := b.daemon.objects.Put(ctx, row.Object, data); err != nil {
		return 0, err
	}
	value, err := json.Marshal(row)
	if err != nil {
		return 0, err
	}
	err = b.daemon.table.Commit(ctx, platform.Write{Key: "config/current", Value: value, IfVersion: rows[0].Version})
	return row.Generation, err
}
