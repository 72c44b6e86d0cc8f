package peer

import (
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// sessionWriter is the state of a session's writer goroutine.
type sessionWriter struct {
	session *session
	buffer  []byte
	// lastSent is the time of the last flush.
	lastSent time.Time
	// generationSentAt is the time of the last message with the configuration
	// generation: a ping, a pong or Hello.
	generationSentAt time.Time
	// sentGeneration is the generation that was last sent to the peer.
	sentGeneration uint64
	pingSequence   uint64
}

// writeLoop sends queued messages, pongs and pings until the session ends.
//
// Messages are written with RawWrite and flushed when the ring is empty. The
// stream's manual flush mode is not used: in that mode every receive also flushes
// and waits for a blocked writer, so that two daemons with full buffers would
// deadlock.
func (s *session) writeLoop() error {
	w := &sessionWriter{session: s, lastSent: s.since, generationSentAt: s.since, sentGeneration: s.ownGeneration}
	timer := time.NewTimer(w.timeUntilPingCheck())
	defer timer.Stop()
	for {
		var err error
		select {
		case message := <-s.sendRing.Items():
			err = w.sendQueued(message)
		case sequence := <-s.pendingPongs:
			err = w.sendPong(sequence)
		case <-timer.C:
			err = w.sendPingIfDue()
			timer.Reset(w.timeUntilPingCheck())
		case <-s.drainRequested:
			return w.sendRemaining()
		case <-s.closed:
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// timeUntilPingCheck returns the time until a ping may be due. The due time is
// rounded to a multiple of pingRounding, so that the pings of all sessions, and
// their pongs, are handled together: waking the process up for each of them costs
// more than the ping itself.
func (w *sessionWriter) timeUntilPingCheck() time.Duration {
	due := w.lastSent.Add(w.idleTimeBeforePing()).Round(pingRounding)
	return max(time.Until(due), pingRounding/2)
}

// idleTimeBeforePing returns the time without sent messages after which this side of
// the session pings.
func (w *sessionWriter) idleTimeBeforePing() time.Duration {
	if w.session.dialled {
		return pingInterval
	}
	return pingInterval + acceptorPingDelay
}

// sendQueued sends message and all messages queued behind it with one flush. drpc
// writes to the connection earlier when its buffer is full.
func (w *sessionWriter) sendQueued(message *peerpb.Envelope) error {
	for {
		if err := w.writeMessage(message); err != nil {
			return err
		}
		select {
		case message = <-w.session.sendRing.Items():
		default:
			return w.flush()
		}
	}
}

// sendRemaining sends the queued messages when the mesh is closed. It returns
// ErrClosed when they were sent.
func (w *sessionWriter) sendRemaining() error {
	select {
	case message := <-w.session.sendRing.Items():
		if err := w.sendQueued(message); err != nil {
			return err
		}
	default:
	}
	return ErrClosed
}

func (w *sessionWriter) sendPong(sequence uint64) error {
	w.updateSentGeneration()
	pong := &peerpb.Pong{Sequence: sequence, Generation: w.sentGeneration}
	if err := w.writeMessage(&peerpb.Envelope{Body: &peerpb.Envelope_Pong{Pong: pong}}); err != nil {
		return err
	}
	return w.flush()
}

// sendPingIfDue sends a ping when the session is idle, or when the configuration
// generation has changed and none was sent to the peer for pingInterval.
func (w *sessionWriter) sendPingIfDue() error {
	idle := time.Since(w.lastSent) >= w.idleTimeBeforePing()-pingRounding/2
	generationChanged := w.sentGeneration != w.session.mesh.config.Generation()
	if !idle && (!generationChanged || time.Since(w.generationSentAt) < pingInterval-pingRounding/2) {
		return nil
	}
	w.updateSentGeneration()
	w.pingSequence++
	ping := &peerpb.Ping{Sequence: w.pingSequence, Generation: w.sentGeneration}
	if err := w.writeMessage(&peerpb.Envelope{Body: &peerpb.Envelope_Ping{Ping: ping}}); err != nil {
		return err
	}
	return w.flush()
}

// updateSentGeneration sets the generation that the next ping or pong carries.
func (w *sessionWriter) updateSentGeneration() {
	w.sentGeneration = w.session.mesh.config.Generation()
	w.generationSentAt = time.Now()
}

// writeMessage encodes and counts a message and writes it to the stream's buffer.
// flush sends it.
func (w *sessionWriter) writeMessage(message *peerpb.Envelope) error {
	encoded, err := proto.MarshalOptions{}.MarshalAppend(w.buffer[:0], message)
	if err != nil {
		return err
	}
	if cap(encoded) <= maxRetainedBufferBytes {
		w.buffer = encoded
	}
	countMessage(&w.session.mesh.stats.out, message, len(encoded))
	return w.session.raw.RawWrite(drpcwire.KindMessage, encoded)
}

func (w *sessionWriter) flush() error {
	w.lastSent = time.Now()
	w.session.mesh.stats.flushes.Add(1)
	return w.session.raw.RawFlush()
}
