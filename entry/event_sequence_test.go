package entry

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/eventstream"
	"github.com/marjoramflow/marjoramflow/object"
)

// renumber replaces the number of one event of a text.
func renumber(text, from, to string) string {
	return strings.Replace(text, "id: "+from+"\n", "id: "+to+"\n", 1)
}

// Guards against an event with a wrong number that is dropped as one that the caller has, while
// the stream ends as complete without it.
func TestEventWithAWrongNumberBreaksTheStream(t *testing.T) {
	whole := eventRange(1, 12)
	for name, text := range map[string]string{
		"last event, lower":   renumber(whole, "12", "2"),
		"middle event, lower": renumber(whole, "7", "1"),
		"event twice":         renumber(whole, "12", "11"),
		"first event, higher": renumber(whole, "1", "91"),
	} {
		c := newForwardCase(scriptedReply{status: http.StatusOK, body: text})
		assert.Assert(t, c.run(t.Context(), object.RepeatNever, true) != nil, "%s: the stream ended as complete", name)
		assert.Assert(t, strings.HasPrefix(text, c.sink.body.String()), name)
	}
}

// Guards against a stream that is continued at a wrong place or ends as complete, when a number
// is wrong in the answer that is continued or in the one that continues it.
func TestStreamIsContinuedInSpiteOfAWrongNumber(t *testing.T) {
	whole := eventRange(1, 12)
	for name, replies := range map[string][]scriptedReply{
		"first answer":           {{body: renumber(whole, "12", "2")}, {body: eventRange(12, 12)}},
		"last event of the next": {{body: eventRange(1, 11), err: errCut}, {body: renumber(eventRange(12, 12), "12", "2")}, {body: eventRange(12, 12)}},
		"repeated events":        {{body: eventRange(1, 9), err: errCut}, {body: renumber(eventRange(4, 12), "6", "16")}, {body: eventRange(10, 12)}},
		"as the one before":      {{body: eventRange(1, 11), err: errCut}, {body: renumber(eventRange(12, 12), "12", "11")}, {body: eventRange(12, 12)}},
		"first of the next, low": {{body: eventRange(1, 9), err: errCut}, {body: renumber(eventRange(10, 12), "10", "1")}, {body: eventRange(10, 12)}},
		"first of the next, up":  {{body: eventRange(1, 9), err: errCut}, {body: renumber(eventRange(10, 12), "10", "30")}, {body: eventRange(10, 12)}},
	} {
		for i := range replies {
			replies[i].status = http.StatusOK
		}
		c := newForwardCase(replies...)
		c.attempts = 3
		assert.NilError(t, c.run(t.Context(), object.RepeatResume, true), name)
		assert.Equal(t, c.sink.body.String(), whole, name)
		assert.Equal(t, len(c.forwarder.attempts), len(replies), name)
	}

	c := newForwardCase(scriptedReply{status: http.StatusOK, body: renumber(whole, "1", "91")}, scriptedReply{status: http.StatusOK})
	assert.Assert(t, c.run(t.Context(), object.RepeatResume, true) != nil, "the stream was continued at an event of unknown number")
}

// Guards against an event that callers get twice, first without its number and then from the
// target that continues the stream.
func TestStreamIsNotContinuedBehindAnEventThatLostItsNumber(t *testing.T) {
	broken := strings.Replace(eventRange(1, 6), "id: 5\n", "id: 5x\n", 1)
	for name, first := range map[string]scriptedReply{
		"gap": {status: http.StatusOK, body: broken},
		"cut": {status: http.StatusOK, body: strings.TrimSuffix(broken, eventRange(6, 6)), err: errCut},
	} {
		c := newForwardCase(first, scriptedReply{status: http.StatusOK, body: eventRange(5, 9)})
		assert.Assert(t, c.run(t.Context(), object.RepeatResume, true) != nil, name)
		assert.Equal(t, strings.Count(c.sink.body.String(), "data: 5\n"), 1, name)
	}
}

// Guards against a whole stream that looks cut to its caller, who was told a length that
// includes events which were left out.
func TestContinuedStreamStatesNoLength(t *testing.T) {
	for _, test := range []struct {
		repeat      object.Repeat
		resumeAfter int64
		want        int64
	}{{object.RepeatNever, NoEvent, 17}, {object.RepeatResume, NoEvent, unknownLength}, {object.RepeatNever, 4, unknownLength}} {
		f := &forwardRun{request: &ForwardRequest{Ingress: &object.Ingress{Repeat: test.repeat}, ResumeAfter: test.resumeAfter}}
		assert.Equal(t, f.streamLength(&Reply{Length: 17}), test.want)
	}
}

// Guards against a stream that a caller resumes and that ends as complete with nothing but an
// event that seems to be the caller's last one.
func TestResumedStreamDoesNotEndWithARepeatedEvent(t *testing.T) {
	s := newEventSequence(11, 0)
	repeated, err := s.accept(eventstream.Event{ID: 11, HasID: true})
	assert.NilError(t, err)
	assert.Assert(t, repeated)
	assert.ErrorIs(t, s.end(), errReplayEnded)
	_, err = s.accept(eventstream.Event{ID: 12, HasID: true})
	assert.NilError(t, err)
	assert.NilError(t, s.end())
}
