package liveness

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// sameTime is the longest time between the ends of two connections that count as ended
// together. The kernel ends those of a killed process within milliseconds.
const sameTime = 50 * time.Millisecond

// errWitnessEnded means that the witness ended together with the answer.
var errWitnessEnded = errors.New("another connection to the process ended at the same time")

// Witness is an idle connection to a process that is sending an answer. As long as it is open,
// the process is the one that accepted it; a new connection at the end of the answer can't
// show that, since a process may be killed and started again. All methods but Close are for
// one goroutine.
type Witness struct {
	dialer  Dialer
	address string
	cancel  context.CancelFunc
	// dialled is closed when the dial has ended, ended when the connection has.
	dialled, ended chan struct{}

	mu sync.Mutex
	// conn is nil until the dial succeeded, and after the connection was handed over.
	conn net.Conn
	// openedAt and endedAt are when the connection was opened and ended, readErr is why.
	openedAt, endedAt time.Time
	readErr           error
}

// Watch opens a witness in the background. Its user calls Confirm, Close or both.
func Watch(ctx context.Context, dialer Dialer, address string) *Witness {
	ctx, cancel := context.WithCancel(ctx)
	w := &Witness{dialer: dialer, address: address, cancel: cancel, dialled: make(chan struct{}), ended: make(chan struct{})}
	go w.watch(ctx)
	return w
}

// watch opens the connection and waits for its end.
func (w *Witness) watch(ctx context.Context) {
	conn, err := w.dialer.DialContext(ctx, "tcp", w.address)
	if err == nil && ctx.Err() != nil {
		conn.Close()
		err = ctx.Err()
	}
	if err != nil {
		close(w.dialled)
		return
	}
	w.mu.Lock()
	w.conn, w.openedAt = conn, time.Now()
	w.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	close(w.dialled)
	var buffer [1]byte
	_, err = conn.Read(buffer[:])
	if err == nil {
		err = errEarlyBytes
	}
	if !stop() {
		// The context closes the connection, so it can't be handed over.
		err = ctx.Err()
	}
	w.mu.Lock()
	w.endedAt, w.readErr = time.Now(), err
	w.mu.Unlock()
	close(w.ended)
}

// Confirm is Check at the end of an answer whose connection the process has ended at a time.
// The witness decides if it was open until then; otherwise a new connection does.
func (w *Witness) Confirm(ctx context.Context, answerEnd time.Time) (net.Conn, error) {
	select {
	case <-w.dialled:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUnknown, context.Cause(ctx))
	}
	if w.conn == nil {
		return Check(ctx, w.dialer, w.address)
	}
	settled := time.NewTimer(time.Until(later(answerEnd, w.openedAt).Add(settleTime)))
	defer settled.Stop()
	select {
	case <-settled.C:
		if conn := w.handOver(); conn != nil {
			return conn, nil
		}
	case <-w.ended:
	}
	switch {
	case w.openedAt.After(answerEnd):
		return check(ctx, w.dialer, w.address, 1)
	case w.endedAt.Before(answerEnd.Add(-sameTime)):
		// It was idle for too long, or above the process's limit of connections.
		return Check(ctx, w.dialer, w.address)
	}
	return nil, fmt.Errorf("%w: %w", ErrNotRunning, errWitnessEnded)
}

// handOver ends the wait for the end of the connection and returns it, or nil if it has ended.
func (w *Witness) handOver() net.Conn {
	if err := w.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		w.conn.Close()
	}
	<-w.ended
	conn := w.conn
	if !errors.Is(w.readErr, os.ErrDeadlineExceeded) || conn.SetReadDeadline(time.Time{}) != nil {
		return nil
	}
	w.mu.Lock()
	w.conn = nil
	w.mu.Unlock()
	return conn
}

// Close closes the connection unless Confirm has returned it.
func (w *Witness) Close() {
	w.mu.Lock()
	conn := w.conn
	w.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	w.cancel()
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
