package peer

import (
	"time"

	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

const (
	// maxEarly is the number of messages that may wait for the first session with a
	// peer; it holds the requests that one daemon sends in earlyAge.
	maxEarly = 64
	// earlyAge is how long a message waits for its session: a dial between regions
	// takes about 50 ms, and who waits for an answer gives up after 500 ms.
	earlyAge = 400 * time.Millisecond
)

// early holds the messages that were sent before the first session with a peer is up.
// Without it, the first message to each peer is lost: with hundreds of daemons most
// first requests of a day meet an owner or a keeper without a session.
type early struct {
	messages []earlyMessage
	// failed is set after a dial that brought no session, until one does.
	failed bool
}

type earlyMessage struct {
	at      time.Time
	message *peerpb.Envelope
}

// hold keeps a message for the session that is being dialled. A peer whose last dial
// failed, or whose dial takes too long, counts as unreachable.
func (e *early) hold(now time.Time, message *peerpb.Envelope) error {
	switch {
	case e.failed, len(e.messages) > 0 && now.Sub(e.messages[0].at) > earlyAge:
		return ErrNoSession
	case len(e.messages) >= maxEarly:
		return ErrQueueFull
	}
	e.messages = append(e.messages, earlyMessage{at: now, message: message})
	return nil
}

// take returns the messages that are still of use once the session is up.
func (e *early) take(now time.Time) []*peerpb.Envelope {
	var out []*peerpb.Envelope
	for _, m := range e.messages {
		if now.Sub(m.at) <= earlyAge {
			out = append(out, m.message)
		}
	}
	*e = early{}
	return out
}

// dialFailed drops the messages.
func (e *early) dialFailed() {
	*e = early{failed: true}
}
