package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/marjoramflow/marjoramflow/ring"
)

// maxQueuedLines is the number of lines that may wait for the output, about 2 MB.
const maxQueuedLines = 4096

// AsyncWriter is an io.Writer for log lines. While Run runs, Write only queues the line and
// Run writes it to the output, so that a slow output does not block callers that log.
// Lines are dropped and counted when the queue is full. It is safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	queue   *ring.Ring[[]byte]
	dropped atomic.Int64
	running atomic.Bool
}

// NewAsyncWriter returns a writer to out. Before Run is called, Write writes lines to out
// directly.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, queue: ring.New[[]byte](maxQueuedLines)}
}

// Write implements io.Writer. Each call writes one line. A dropped line is not an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if !a.running.Load() {
		return a.out.Write(line)
	}
	if !a.queue.TryPush(append([]byte(nil), line...)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// TakeDropped returns the number of lines that were dropped since the previous call.
func (a *AsyncWriter) TakeDropped() int64 {
	return a.dropped.Swap(0)
}

// Run writes queued lines until the context ends, and then the remaining ones. After
// each written line it calls onDropped with the number of lines that were dropped
// since the last call, if any. It returns the first error of the output.
func (a *AsyncWriter) Run(ctx context.Context, onDropped func(lines int64)) error {
	a.running.Store(true)
	defer a.running.Store(false)
	for {
		line, err := a.queue.Pop(ctx)
		if err != nil {
			return a.flushQueue()
		}
		if err := a.writeLine(line); err != nil {
			return err
		}
		if n := a.TakeDropped(); n > 0 {
			onDropped(n)
		}
	}
}

// flushQueue writes the lines that remain in the queue.
func (a *AsyncWriter) flushQueue() error {
	for a.queue.Len() > 0 {
		line, err := a.queue.Pop(context.Background())
		if err != nil {
			return err
		}
		if err := a.writeLine(line); err != nil {
			return err
		}
	}
	return nil
}

func (a *AsyncWriter) writeLine(line []byte) error {
	if _, err := a.out.Write(line); err != nil {
		return fmt.Errorf("write log line: %w", err)
	}
	return nil
}
