// Package liveness finds out whether the process behind an address still runs.
//
// An HTTP/1.1 answer without a stated length ends with its connection. When a process is
// killed, the kernel closes its connections in the same orderly way, so the end of such an
// answer alone does not show that it is complete.
package liveness

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// settleTime is how long a new connection must stay open to show that its process runs.
	// While the kernel ends a process, its listener may still accept connections, and resets
	// them milliseconds later.
	settleTime = 20 * time.Millisecond
	// maxDials bounds the dials of one check. More than one is needed when a packet is lost
	// or a connection is reset.
	maxDials = 3
)

var (
	// ErrNotRunning means that nothing listens at the address.
	ErrNotRunning = errors.New("no process listens at the address")
	// ErrUnknown means that the check had no result.
	ErrUnknown = errors.New("it is unknown whether the process still runs")
)

// Dialer opens connections; net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Check returns nil if the process that listened at an address until now still runs, and
// otherwise an error that wraps ErrNotRunning or ErrUnknown. It takes a round trip and
// settleTime. The connection that it opened is returned for further use, or nil if the
// process did not keep it.
func Check(ctx context.Context, dialer Dialer, address string) (net.Conn, error) {
	return check(ctx, dialer, address, 0)
}

// errConnectionEnded means that the process ended a connection that was just opened.
var errConnectionEnded = errors.New("a new connection was ended at once")

// check is Check after a number of new connections that the process has ended.
func check(ctx context.Context, dialer Dialer, address string, resets int) (net.Conn, error) {
	lastErr := errConnectionEnded
	for range maxDials {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return nil, fmt.Errorf("%w: %w", ErrNotRunning, err)
		case ctx.Err() != nil:
			closeIfOpen(conn)
			return nil, fmt.Errorf("%w: %w", ErrUnknown, context.Cause(ctx))
		case err != nil:
			lastErr = err
			continue
		}
		switch open, err := staysOpen(conn); {
		case open && resets == 0:
			return conn, nil
		case open:
			// The process may have been replaced since the reset.
			conn.Close()
			return nil, fmt.Errorf("%w: %w", ErrUnknown, lastErr)
		default:
			conn.Close()
			lastErr = err
			resets++
		}
		if resets > 1 {
			// A process that had been killed would not listen any more. This one closes
			// connections beyond its limit.
			return nil, nil
		}
	}
	return nil, fmt.Errorf("%w: %w", ErrUnknown, lastErr)
}

// closeIfOpen closes a connection that may be nil.
func closeIfOpen(conn net.Conn) {
	if conn != nil {
		conn.Close()
	}
}

// errEarlyBytes is the error of a connection on which bytes arrive before any request.
var errEarlyBytes = errors.New("bytes arrived before a request")

// staysOpen reports whether a new connection stays open and silent for settleTime, and
// otherwise how it ended.
func staysOpen(conn net.Conn) (bool, error) {
	if err := conn.SetReadDeadline(time.Now().Add(settleTime)); err != nil {
		return false, err
	}
	var buffer [1]byte
	_, err := conn.Read(buffer[:])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return true, conn.SetReadDeadline(time.Time{})
	}
	if err == nil {
		err = errEarlyBytes
	}
	return false, err
}
