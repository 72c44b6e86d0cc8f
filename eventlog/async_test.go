package eventlog

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// gatedWriter is an output that blocks every write until the gate channel is closed.
type gatedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func (w *gatedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.String()
}

// Guards against logging that blocks requests while the output is blocked, and against
// dropped lines that are not reported.
func TestAsyncReportsDroppedLines(t *testing.T) {
	out := &gatedWriter{gate: make(chan struct{})}
	async := NewAsyncWriter(out)
	logger, err := New(async, "info", "json", "d")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- async.Run(ctx, func(n int64) { logger.Emit(LogDropped, Fields{"dropped": n}) }) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if async.running.Load() {
			return poll.Success()
		}
		return poll.Continue("not running")
	})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for range maxQueuedLines + 100 {
			logger.Emit(DaemonStarted, nil)
		}
	}()
	select {
	case <-finished:
	case <-time.After(10 * time.Second):
		close(out.gate)
		t.Fatal("logging blocked on the output")
	}
	close(out.gate)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(out.text(), `"event":"MF1007"`) {
			return poll.Success()
		}
		return poll.Continue("no line about dropped lines")
	})
	cancel()
	assert.NilError(t, <-done)
}

// Guards against losing queued lines when the process ends.
func TestAsyncFlushesAtTheEnd(t *testing.T) {
	var out bytes.Buffer
	async := NewAsyncWriter(&out)
	logger, err := New(async, "info", "json", "d")
	assert.NilError(t, err)
	async.running.Store(true)
	logger.Emit(DaemonStarted, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, async.Run(ctx, func(int64) {}))
	assert.Assert(t, strings.Contains(out.String(), "MF1001"))
}
