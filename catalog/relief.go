package catalog

import (
	"context"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
)

// update is a batch with its origin.
type update struct {
	Batch
	// pushed is set if the batch comes from another daemon, relief if it also arrived while
	// the source was asked.
	pushed, relief bool
	// snapshot is set if the batch is a complete snapshot of the topic.
	snapshot bool
}

// readFunc reads a batch. A source call that it makes ends with the context.
type readFunc func(ctx context.Context) (update, error)

// readResult is the result of a readFunc.
type readResult struct {
	update
	err error
}

// readUnlessRelieved pauses and then reads. If another daemon sends newer rows first, it
// cancels the read, whose late result would be older than these, and returns them. Pushes
// wait during the read of a snapshot, since they apply only to what it returns.
func (w *Watcher) readUnlessRelieved(ctx context.Context, topic Topic, revision uint64, haveSnapshot bool, pause time.Duration, read readFunc) (update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan readResult, 1)
	go func() {
		if !ctxtime.Sleep(ctx, pause) {
			results <- readResult{err: ctx.Err()}
			return
		}
		next, err := read(ctx)
		results <- readResult{next, err}
	}()
	pushes := w.Peers.Pushes(topic)
	if !haveSnapshot {
		pushes = nil
	}
	for {
		var push Push
		select {
		case result := <-results:
			return result.update, result.err
		case push = <-pushes:
		case push = <-w.Peers.Relief(topic):
		}
		if len(push.Records) == 0 && !push.Whole {
			w.confirm(time.Now(), topic)
			continue
		}
		if next, ok := reliefUpdate(push, revision, haveSnapshot); ok {
			return next, nil
		}
	}
}

// reliefUpdate returns the rows of another daemon, and false if they are not newer than the
// revision or if changes before them are missing.
func reliefUpdate(push Push, revision uint64, haveSnapshot bool) (update, bool) {
	fits := push.Whole || haveSnapshot && push.After <= revision
	return update{Batch: push.Batch, pushed: true, relief: true, snapshot: push.Whole}, fits && push.Revision > revision
}

// confirm records that another daemon follows the source and has nothing newer. What is
// missing there was deleted, so targets that are due are removed.
func (w *Watcher) confirm(now time.Time, topic Topic) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastAnswer[topic], w.unavailableSince[topic] = now, time.Time{}
	if topic == RegistryTopic && w.removeExpired(now) {
		w.install()
	}
}
