package entry

import (
	"errors"
	"hash/maphash"

	"github.com/marjoramflow/marjoramflow/eventstream"
)

var (
	errEventGap     = errors.New("events of the stream are missing")
	errEventOrder   = errors.New("the numbers of the events do not rise by one")
	errReplayEnded  = errors.New("the stream ended while it repeated events that the caller has")
	errNotContinued = errors.New("the target did not continue the stream")
)

// eventSequence checks the numbers of the events in one answer: each follows the one before
// it, and the first follows the last event that the caller had when the answer began. A
// target that continues a stream may repeat events that the caller has. It is not safe for
// concurrent use.
type eventSequence struct {
	// delivered is the last event that the caller had when the answer began, or NoEvent.
	// deliveredSum is the sum of its bytes, or 0 if it was sent by another request.
	delivered    int64
	deliveredSum uint64
	// previous is the last event of the answer, or NoEvent.
	previous int64
	// first is the first event of the answer, if previous is not NoEvent.
	first int64
}

func newEventSequence(delivered int64, deliveredSum uint64) *eventSequence {
	return &eventSequence{delivered: delivered, deliveredSum: deliveredSum, previous: NoEvent}
}

var sumSeed = maphash.MakeSeed()

// eventSum returns a sum of the bytes of an event, which is not 0.
func eventSum(event eventstream.Event) uint64 {
	return max(maphash.Bytes(sumSeed, event.Raw), 1)
}

// accept records a numbered event and reports whether it repeats one that the caller has. The
// error is errEventOrder or errEventGap if the event does not belong at this place.
func (s *eventSequence) accept(event eventstream.Event) (repeated bool, err error) {
	if s.previous != NoEvent && event.ID != s.previous+1 {
		return false, errEventOrder
	}
	if s.previous == NoEvent && s.delivered != NoEvent && event.ID > s.delivered && event.ID != s.delivered+1 {
		return false, errEventGap
	}
	if s.delivered != NoEvent && event.ID == s.delivered && s.deliveredSum != 0 && eventSum(event) != s.deliveredSum {
		return false, errEventOrder
	}
	if s.previous == NoEvent {
		s.first = event.ID
	}
	s.previous = event.ID
	return s.delivered != NoEvent && event.ID <= s.delivered, nil
}

// end returns errReplayEnded if the answer ended before the last event that the caller has, or
// with an event that is perhaps not that one. A wrong number makes a new event look like an
// old one.
func (s *eventSequence) end() error {
	if s.previous == NoEvent || s.previous > s.delivered || (s.previous == s.delivered && s.deliveredSum != 0) {
		return nil
	}
	return errReplayEnded
}

// inNumberedPart reports whether an event without a number stands behind one with a number, so
// that its own number may have been lost.
func (s *eventSequence) inNumberedPart(event eventstream.Event) bool {
	return !event.HasID && !event.Comment && s.previous != NoEvent
}

// startUnknown reports whether the number of the first event may be too high, given an event
// that accept has refused: the caller had none before the first, and the refused one, which is
// the second, has a lower number.
func (s *eventSequence) startUnknown(refused eventstream.Event) bool {
	return s.delivered == NoEvent && s.previous == s.first && refused.ID <= s.first
}
