package catalog

import (
	"context"
	"errors"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/pause"
)

const (
	// guardInterval is how often a long call is compared with what others told.
	guardInterval = 250 * time.Millisecond
	// behindChecks is the number of checks in a row, 1.5 s, after which a change that
	// others saw is taken as missed. A large manifest that goes to all daemons of a
	// region at once takes a second and more, and each call that is given up sends it
	// once more over the same link.
	behindChecks = 6
)

// errRenew ends a call that has missed a change, or that nobody covers any more.
var errRenew = errors.New("the call for changes is made anew")

// coveredChanges waits long for changes. The connection may have gone silent
// meanwhile, so the call is given up when another daemon has seen a change that it
// has not brought, or when no daemon would tell.
func (w *Watcher) coveredChanges(ctx context.Context, topic Topic, revision uint64) (Batch, error) {
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go w.guard(call, cancel, topic, revision)
	batch, err := w.changes(call, topic, revision, coveredWait)
	if err != nil && errors.Is(context.Cause(call), errRenew) {
		return Batch{}, errRenew
	}
	return batch, err
}

// guard cancels a long call that has to be made anew. It ends with the call.
func (w *Watcher) guard(ctx context.Context, cancel context.CancelCauseFunc, topic Topic, revision uint64) {
	started := time.Now()
	behind := 0
	for pause.For(ctx, guardInterval) {
		told, covered := w.Peers.Told(topic), w.Peers.Covered()
		behind++
		if told <= revision {
			behind = 0
		}
		alone := !covered && time.Since(started) > changesWait+callSlack
		if behind < behindChecks && !alone {
			continue
		}
		if !covered {
			// No daemon tells revisions: the source may be away for all of them.
			w.mu.Lock()
			w.doubt(time.Now(), topic)
			w.mu.Unlock()
		}
		w.Logger.Emit(eventlog.SourceRenewed, eventlog.Fields{
			"topic": topic.String(), "revision": revision, "told": told, "covered": covered,
		})
		cancel(errRenew)
		return
	}
}
