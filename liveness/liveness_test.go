package liveness

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// dialResult is what one dial leads to: an error, or a connection that the other side keeps
// or closes.
type dialResult struct {
	err  error
	kept bool
}

// scriptedDialer returns its results in order and records the connections that it opened.
type scriptedDialer struct {
	t       *testing.T
	results []dialResult
	dials   int
}

func (d *scriptedDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	result := d.results[d.dials]
	d.dials++
	if result.err != nil {
		return nil, result.err
	}
	near, far := net.Pipe()
	d.t.Cleanup(func() { far.Close() })
	if !result.kept {
		far.Close()
	}
	return near, ctx.Err()
}

// Guards against a process that was killed, or killed and started again, that is taken for
// running, and against one that runs and is taken for killed because a packet was lost or its
// connections are at their limit.
func TestCheckTellsEndedProcesses(t *testing.T) {
	refused := dialResult{err: &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}}
	lost := dialResult{err: context.DeadlineExceeded}
	reset, kept := dialResult{}, dialResult{kept: true}
	for name, c := range map[string]struct {
		results []dialResult
		want    error
		dials   int
		conn    bool
	}{
		"runs":                         {results: []dialResult{kept}, dials: 1, conn: true},
		"runs, packet lost":            {results: []dialResult{lost, kept}, dials: 2, conn: true},
		"runs at its connection limit": {results: []dialResult{reset, reset}, dials: 2},
		"killed":                       {results: []dialResult{refused}, want: ErrNotRunning, dials: 1},
		"listener closes last":         {results: []dialResult{reset, refused}, want: ErrNotRunning, dials: 2},
		"restarted at once":            {results: []dialResult{reset, kept}, want: ErrUnknown, dials: 2},
		"unreachable":                  {results: []dialResult{lost, lost, lost}, want: ErrUnknown, dials: 3},
	} {
		d := &scriptedDialer{t: t, results: c.results}
		conn, err := Check(t.Context(), d, "192.0.2.1:1")
		assert.Assert(t, errors.Is(err, c.want), "%s: %v", name, err)
		assert.Equal(t, d.dials, c.dials, name)
		assert.Equal(t, conn != nil, c.conn, name)
	}
}

// Guards against a check that outlasts the request.
func TestCheckEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	d := &scriptedDialer{t: t, results: []dialResult{{kept: true}}}
	_, err := Check(ctx, d, "192.0.2.1:1")
	assert.ErrorIs(t, err, ErrUnknown)
	assert.Equal(t, d.dials, 1)
}
