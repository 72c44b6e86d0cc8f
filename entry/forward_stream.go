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

// relayStream passes whole events on as they arrive.
func (f *forwardRun) relayStream(reply *Reply, target string, report *Report, started time.Time, unresponsiveTimer *time.Timer) error {
	memory := f.runner.AnswerMemory.NewAllocation()
	defer memory.Release()
	events := eventstream.NewReader(reply.Body, memory.Grow)
	unnumbered := 0
	reply.Body.SetReadDeadline(f.firstByteBy(started))
	for {
		event, err := events.Next()
		if err == io.EOF {
			f.runner.Quarantine.RequestFinished(f.request.Fingerprint)
			return f.endStream(reply)
		}
		if err != nil {
			return attemptError(readFailureKind(context.Background(), err), target, reply.Status, err)
		}
		if unnumbered = countUnnumbered(unnumbered, event); unnumbered > maxUnnumberedBytes {
			return attemptError(attempt.Cut, target, reply.Status, errNoEvents)
		}
		if report.FirstToken == 0 {
			report.FirstToken = time.Since(started)
			unresponsiveTimer.Stop()
		}
		if err := f.sendEvent(reply, target, event); err != nil {
			return err
		}
		reply.Body.SetReadDeadline(f.nextEventBy())
	}
}

// countUnnumbered counts the bytes since the last event with a number.
func countUnnumbered(count int, event eventstream.Event) int {
	if event.HasID {
		return 0
	}
	return count + len(event.Raw)
}

// endStream ends an answer. A stream without any event is passed on as it is.
func (f *forwardRun) endStream(reply *Reply) error {
	if f.answerStarted {
		return nil
	}
	if err := f.sink.Start(reply.Status, reply.Header, reply.Length); err != nil {
		return f.callerDisconnected(err)
	}
	f.answerStarted = true
	return nil
}

// sendEvent passes one event on. A resumed run must go on right behind the last
// event that the caller has.
func (f *forwardRun) sendEvent(reply *Reply, target string, event eventstream.Event) error {
	if event.HasID && f.lastEvent != NoEvent {
		if event.ID <= f.lastEvent {
			return nil
		}
		if event.ID > f.lastEvent+1 {
			return attemptError(attempt.Cut, target, reply.Status, errEventGap)
		}
	}
	if !f.answerStarted {
		if err := f.sink.Start(reply.Status, reply.Header, reply.Length); err != nil {
			return f.callerDisconnected(err)
		}
		f.answerStarted = true
	}
	if err := f.sink.Write(event.Raw); err != nil {
		return f.callerDisconnected(err)
	}
	f.recordEventSent()
	if event.HasID {
		f.lastEvent = event.ID
	}
	return nil
}

// recordEventSent records that an event went to the caller.
func (f *forwardRun) recordEventSent() {
	now := time.Now()
	if f.eventsSent > 0 {
		f.trace.MaxGap = max(f.trace.MaxGap, now.Sub(f.lastEventAt))
	}
	f.lastEventAt = now
	f.eventsSent++
}

// nextEventBy bounds the pause after an event. A stream that cannot go on
// elsewhere is followed to its deadline: silence is no reason to end it sooner.
func (f *forwardRun) nextEventBy() time.Time {
	r := f.request
	if r.Ingress.Repeat != object.RepeatResume || len(f.mayHaveRunOn)+1 >= r.Ingress.Attempts {
		return r.Deadline
	}
	return earliest(r.Deadline, time.Now().Add(maxEventGap))
}
