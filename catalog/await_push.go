package catalog

import (
	"context"
	"errors"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// peerCheckInterval is how often a daemon that waits for pushes checks the revisions
	// that other daemons announced.
	peerCheckInterval = 250 * time.Millisecond
	// maxChecksBehind is the number of consecutive checks, 1 s in total, after which a
	// change that others announced and that did not arrive is regarded as lost.
	maxChecksBehind = 4
	// maxChecksRestored is the same after the source was restored. No pushes come across this
	// point, so it only spreads the reads of the daemons.
	maxChecksRestored = 2
)

// errAskSource is returned by awaitPush when changes have to be read from the source.
var errAskSource = errors.New("changes have to be read from the source")

// awaitPush waits for changes after a revision that another daemon pushes. It returns
// errAskSource when a push was missed, when a change that others announced does not arrive,
// or when no daemon pushes changes to this one.
func (w *Watcher) awaitPush(ctx context.Context, topic Topic, revision uint64) (update, error) {
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	checksBehind := 0
	for {
		select {
		case <-ctx.Done():
			return update{}, ctx.Err()
		case push := <-w.Peers.Pushes(topic):
			if push.Revision <= revision {
				continue
			}
			batch, err := w.mergePushes(topic, revision, push)
			return update{Batch: batch, pushed: true}, err
		case push := <-w.Peers.Relief(topic):
			if next, ok := reliefUpdate(push, revision, true); ok {
				return next, nil
			}
			continue
		case <-ticker.C:
		}
		announced := w.Peers.AnnouncedRevision(topic)
		checksBehind++
		if announced <= revision {
			checksBehind = 0
		}
		if !w.Peers.HasPoller() {
			return update{}, w.fallBackToSource(topic, revision, announced, false)
		}
		restored := provider.Era(announced) > provider.Era(revision)
		if checksBehind >= maxChecksBehind || restored && checksBehind >= maxChecksRestored {
			return update{}, w.fallBackToSource(topic, revision, announced, true)
		}
	}
}

// mergePushes returns the changes of a push and of all others that wait behind it as one
// batch. Several pollers push slices that overlap, each more often than batches are
// installed, so applying one push at a time would fall further and further behind. It
// returns errAskSource when changes are missing between two of them.
func (w *Watcher) mergePushes(topic Topic, revision uint64, first Push) (Batch, error) {
	merged := Batch{Revision: revision}
	for push := first; ; {
		if push.After > merged.Revision {
			return Batch{}, w.fallBackToSource(topic, revision, push.Revision, true)
		}
		if push.Revision > merged.Revision {
			merged.Records = append(merged.Records, push.Records...)
			merged.Revision = push.Revision
			merged.AfterOutage = merged.AfterOutage || push.AfterOutage
		}
		select {
		case push = <-w.Peers.Pushes(topic):
		default:
			return merged, nil
		}
	}
}

// fallBackToSource logs why the source is read instead of waiting for pushes, and returns
// errAskSource.
func (w *Watcher) fallBackToSource(topic Topic, revision, announced uint64, hasPoller bool) error {
	if !hasPoller {
		// No daemon announces revisions, possibly because the source is unavailable to
		// all of them.
		w.mu.Lock()
		w.markUnavailable(time.Now(), topic)
		w.mu.Unlock()
	}
	w.Logger.Emit(eventlog.SourceRenewed, eventlog.Fields{
		"topic": topic.String(), "revision": revision, "told": announced, "covered": hasPoller,
	})
	return errAskSource
}
