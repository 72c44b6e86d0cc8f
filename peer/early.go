package peer

import (
	"time"

	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

const (
	// maxEarlyMessages is the number of messages that may wait for the first
	// session with a peer. It suffices for the requests that one daemon sends to
	// a peer within maxEarlyMessageAge.
	maxEarlyMessages = 64
	// maxEarlyMessageAge is how long a message may wait for the first session. A
	// dial between regions takes about 50 ms, and senders that wait for an answer
	// give up after 500 ms.
	maxEarlyMessageAge = 400 * time.Millisecond
)

// earlyQueue holds the messages that were sent to a peer before the first session
// with it is up. Without it, the first message to each peer would be lost: among
// hundreds of daemons, most of the first requests after a start need the owner of a
// target group or of a rate-limit bucket with which no session is up yet. It is
// guarded by Mesh.mu.
type earlyQueue struct {
	messages []earlyMessage
	// lastDialFailed is true from a failed dial until a session is up.
	lastDialFailed bool
}

type earlyMessage struct {
	queuedAt time.Time
	message  *peerpb.Envelope
}

// enqueue adds a message that is sent once the session is up. It returns
// ErrNoSession when the last dial failed or the oldest message has waited longer
// than maxEarlyMessageAge, and ErrQueueFull when the queue is full.
func (e *earlyQueue) enqueue(now time.Time, message *peerpb.Envelope) error {
	switch {
	case e.lastDialFailed, len(e.messages) > 0 && now.Sub(e.messages[0].queuedAt) > maxEarlyMessageAge:
		return ErrNoSession
	case len(e.messages) >= maxEarlyMessages:
		return ErrQueueFull
	}
	e.messages = append(e.messages, earlyMessage{queuedAt: now, message: message})
	return nil
}

// drain empties the queue when the session is up. It returns the messages that are
// not older than maxEarlyMessageAge, oldest first.
func (e *earlyQueue) drain(now time.Time) []*peerpb.Envelope {
	var fresh []*peerpb.Envelope
	for _, m := range e.messages {
		if now.Sub(m.queuedAt) <= maxEarlyMessageAge {
			fresh = append(fresh, m.message)
		}
	}
	*e = earlyQueue{}
	return fresh
}

// discardAfterFailedDial drops all messages and makes enqueue fail until a session
// is up.
func (e *earlyQueue) discardAfterFailedDial() {
	*e = earlyQueue{lastDialFailed: true}
}
