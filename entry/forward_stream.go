package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/marjoramflow/marjoramflow/attempt"
	"github.com/marjoramflow/marjoramflow/eventstream"
	"github.com/marjoramflow/marjoramflow/object"
)

var (
	errTargetRefused = errors.New("the target did not run the request")
	errTargetFailed  = errors.New("the target answered with a failure")
	errEventGap      = errors.New("events of the stream are missing")
	errNoEvents      = errors.New("the stream brings bytes without a numbered event")
)

// stream passes whole events on as they arrive.
func (f *forward) stream(reply *Reply, target string, report *Report, started time.Time, doubt *time.Timer) error {
	holding := f.entry.AnswerMemory.NewAllocation()
	defer holding.Release()
	events := eventstream.NewReader(reply.Body, holding.Grow)
	unnumbered := 0
	reply.Body.SetReadDeadline(f.firstByteBy(started))
	for {
		event, err := events.Next()
		if err == io.EOF {
			f.entry.Quarantine.RequestFinished(f.request.Fingerprint)
			return f.endStream(reply)
		}
		if err != nil {
			return fail(readFailure(context.Background(), err), target, reply.Status, err)
		}
		if unnumbered = countUnnumbered(unnumbered, event); unnumbered > maxUnnumberedBytes {
			return fail(attempt.Cut, target, reply.Status, errNoEvents)
		}
		if report.FirstToken == 0 {
			report.FirstToken = time.Since(started)
			doubt.Stop()
		}
		if err := f.passEvent(reply, target, event); err != nil {
			return err
		}
		reply.Body.SetReadDeadline(f.nextEventBy())
	}
}

// countUnnumbered counts the bytes since the last event with a number.
func countUnnumbered(bytes int, event eventstream.Event) int {
	if event.HasID {
		return 0
	}
	return bytes + len(event.Raw)
}

// endStream ends an answer. A stream without any event is passed on as it is.
func (f *forward) endStream(reply *Reply) error {
	if f.started {
		return nil
	}
	if err := f.sink.Start(reply.Status, reply.Header, reply.Length); err != nil {
		return f.left(err)
	}
	f.started = true
	return nil
}

// passEvent passes one event on. A resumed run must go on right behind the last
// event that the caller has.
func (f *forward) passEvent(reply *Reply, target string, event eventstream.Event) error {
	if event.HasID && f.lastEvent != NoEvent {
		if event.ID <= f.lastEvent {
			return nil
		}
		if event.ID > f.lastEvent+1 {
			return fail(attempt.Cut, target, reply.Status, errEventGap)
		}
	}
	if !f.started {
		if err := f.sink.Start(reply.Status, reply.Header, reply.Length); err != nil {
			return f.left(err)
		}
		f.started = true
	}
	if err := f.sink.Write(event.Raw); err != nil {
		return f.left(err)
	}
	f.notePassed()
	if event.HasID {
		f.lastEvent = event.ID
	}
	return nil
}

// notePassed records that an event went to the caller.
func (f *forward) notePassed() {
	now := time.Now()
	if f.events > 0 {
		f.trace.MaxGap = max(f.trace.MaxGap, now.Sub(f.lastPassed))
	}
	f.lastPassed = now
	f.events++
}

// nextEventBy bounds the pause after an event. A stream that cannot go on
// elsewhere is followed to its deadline: silence is no reason to end it sooner.
func (f *forward) nextEventBy() time.Time {
	r := f.request
	if r.Ingress.Repeat != object.RepeatResume || len(f.ran)+1 >= r.Ingress.Attempts {
		return r.Deadline
	}
	return earliest(r.Deadline, time.Now().Add(eventGapWait))
}
