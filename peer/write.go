package peer

import (
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// sender is the state of a session's writer goroutine.
type sender struct {
	session *session
	buffer  []byte
	// lastSent is the time of the last flush.
	lastSent time.Time
	// lastTold is the time at which the peer was last told the generation.
	lastTold   time.Time
	generation uint64
	sequence   uint64
}

// write sends queued messages, pongs and pings until the session ends.
//
// Messages are written with RawWrite and flushed when the ring is empty. The
// stream's manual flush mode is not used: with it every receive flushes too and
// waits for a blocked writer, so that two daemons with full buffers would wait
// for each other.
func (s *session) write() error {
	w := &sender{session: s, lastSent: s.since, lastTold: s.since, generation: s.mesh.config.Generation()}
	timer := time.NewTimer(w.untilPing())
	defer timer.Stop()
	for {
		var err error
		select {
		case message := <-s.out.Items():
			err = w.sendQueued(message)
		case sequence := <-s.pongs:
			err = w.sendPong(sequence)
		case <-timer.C:
			err = w.sendPingWhenDue()
			timer.Reset(w.untilPing())
		case <-s.drain:
			return w.sendRest()
		case <-s.closed:
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// untilPing returns the time until a ping may be due. It is rounded to a grid of
// the clock, so that the pings of all sessions, and their answers, are handled
// together: waking the process up for each of them costs more than the ping.
func (w *sender) untilPing() time.Duration {
	due := w.lastSent.Add(w.interval()).Round(pingGrid)
	return max(time.Until(due), pingGrid/2)
}

func (w *sender) interval() time.Duration {
	if w.session.dialled {
		return pingInterval
	}
	return pingInterval + acceptorPingDelay
}

// sendQueued sends a message and everything that waits behind it in one flush.
// drpc writes to the connection earlier when its buffer is full.
func (w *sender) sendQueued(message *peerpb.Envelope) error {
	for {
		if err := w.append(message); err != nil {
			return err
		}
		select {
		case message = <-w.session.out.Items():
		default:
			return w.flush()
		}
	}
}

// sendRest sends what is queued when the mesh is closed.
func (w *sender) sendRest() error {
	select {
	case message := <-w.session.out.Items():
		if err := w.sendQueued(message); err != nil {
			return err
		}
	default:
	}
	return ErrClosed
}

func (w *sender) sendPong(sequence uint64) error {
	w.noteTold()
	pong := &peerpb.Pong{Sequence: sequence, Generation: w.generation}
	if err := w.append(&peerpb.Envelope{Body: &peerpb.Envelope_Pong{Pong: pong}}); err != nil {
		return err
	}
	return w.flush()
}

// sendPingWhenDue pings an idle session, and a busy one when the peer has not
// been told the current generation.
func (w *sender) sendPingWhenDue() error {
	idle := time.Since(w.lastSent) >= w.interval()-pingGrid/2
	behind := w.generation != w.session.mesh.config.Generation()
	if !idle && (!behind || time.Since(w.lastTold) < pingInterval-pingGrid/2) {
		return nil
	}
	w.noteTold()
	w.sequence++
	ping := &peerpb.Ping{Sequence: w.sequence, Generation: w.generation}
	if err := w.append(&peerpb.Envelope{Body: &peerpb.Envelope_Ping{Ping: ping}}); err != nil {
		return err
	}
	return w.flush()
}

func (w *sender) noteTold() {
	w.generation = w.session.mesh.config.Generation()
	w.lastTold = time.Now()
}

func (w *sender) append(message *peerpb.Envelope) error {
	encoded, err := proto.MarshalOptions{}.MarshalAppend(w.buffer[:0], message)
	if err != nil {
		return err
	}
	if cap(encoded) <= keptBufferBytes {
		w.buffer = encoded
	}
	count(&w.session.mesh.stats.out, message, len(encoded))
	return w.session.raw.RawWrite(drpcwire.KindMessage, encoded)
}

func (w *sender) flush() error {
	w.lastSent = time.Now()
	w.session.mesh.stats.flushes.Add(1)
	return w.session.raw.RawFlush()
}
