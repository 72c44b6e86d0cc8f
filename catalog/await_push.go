package catalog

import (
	"context"
	"errors"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
)

const (
	// coverInterval is how often a daemon that waits for pushes looks at what others
	// told.
	coverInterval = 250 * time.Millisecond
	// behindChecks is the number of checks in a row, 1 s, after which a change that
	// others told is taken as lost on its way.
	behindChecks = 4
)

// errRenew sends a daemon that waits for pushes to the source.
var errRenew = errors.New("the source is asked for changes")

// awaitPush waits for changes that another daemon passes on. It gives up when others
// have seen a change that did not arrive, and when nobody would pass one on.
func (w *Watcher) awaitPush(ctx context.Context, topic Topic, revision uint64) (Batch, error) {
	ticker := time.NewTicker(coverInterval)
	defer ticker.Stop()
	behind := 0
	for {
		select {
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		case push := <-w.Peers.Pushes(topic):
			if push.Revision <= revision {
				continue
			}
			if push.After <= revision {
				return push.Batch, nil
			}
			return Batch{}, w.renew(topic, revision, push.Revision, true)
		case <-ticker.C:
		}
		told := w.Peers.AnnouncedRevision(topic)
		behind++
		if told <= revision {
			behind = 0
		}
		if !w.Peers.HasPoller() {
			return Batch{}, w.renew(topic, revision, told, false)
		}
		if behind >= behindChecks {
			return Batch{}, w.renew(topic, revision, told, true)
		}
	}
}

// renew says why the source is asked.
func (w *Watcher) renew(topic Topic, revision, told uint64, covered bool) error {
	if !covered {
		// No daemon tells revisions: the source may be away for all of them.
		w.mu.Lock()
		w.doubt(time.Now(), topic)
		w.mu.Unlock()
	}
	w.Logger.Emit(eventlog.SourceRenewed, eventlog.Fields{
		"topic": topic.String(), "revision": revision, "told": told, "covered": covered,
	})
	return errRenew
}
