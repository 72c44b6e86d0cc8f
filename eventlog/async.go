package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/marjoramflow/marjoramflow/ring"
)

// asyncLines bounds the lines that wait for the output, about 2 MB.
const asyncLines = 4096

// Async passes log lines on from a goroutine of its own, so that a slow output
// never holds up who logs. Lines that find the ring full are dropped and counted.
// It is safe for concurrent use.
type Async struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	running atomic.Bool
}

// NewAsync returns a writer to out. Until Run, lines are written at once.
func NewAsync(out io.Writer) *Async {
	return &Async{out: out, lines: ring.New[[]byte](asyncLines)}
}

// Write implements io.Writer. It takes one line.
func (a *Async) Write(line []byte) (int, error) {
	if !a.running.Load() {
		return a.out.Write(line)
	}
	if !a.lines.TryPush(append([]byte(nil), line...)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last call.
func (a *Async) Dropped() int64 {
	return a.dropped.Swap(0)
}

// Run writes lines until the context ends, and then those that still wait. It tells
// onDropped how many lines were dropped once there is room again.
func (a *Async) Run(ctx context.Context, onDropped func(lines int64)) error {
	a.running.Store(true)
	defer a.running.Store(false)
	for {
		line, err := a.lines.Pop(ctx)
		if err != nil {
			return a.flush()
		}
		if err := a.write(line); err != nil {
			return err
		}
		if n := a.Dropped(); n > 0 {
			onDropped(n)
		}
	}
}

func (a *Async) flush() error {
	for a.lines.Len() > 0 {
		line, err := a.lines.Pop(context.Background())
		if err != nil {
			return err
		}
		if err := a.write(line); err != nil {
			return err
		}
	}
	return nil
}

func (a *Async) write(line []byte) error {
	if _, err := a.out.Write(line); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	return nil
}
