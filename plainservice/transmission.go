package plainservice

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/resetconn"
)

// maxWriteWait bounds the wait for the end of the write of a request whose answer has ended.
const maxWriteWait = 500 * time.Millisecond

// transmission follows how a request is written. The HTTP client may write it again on another
// connection if a reused one breaks. It is safe for concurrent use.
type transmission struct {
	// changed holds at most one wake-up of checkWritten.
	changed chan struct{}

	mu sync.Mutex
	// begun and ended count the writes of the request. succeeded is set if one of them reached
	// its end; err is the error of the last one that did not.
	begun, ended int
	succeeded    bool
	err          error
}

func newTransmission() *transmission {
	return &transmission{changed: make(chan struct{}, 1)}
}

// trace returns the hooks of the HTTP client that follow the request.
func (t *transmission) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.begin, WroteRequest: t.end}
}

func (t *transmission) begin(httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun++
}

func (t *transmission) end(info httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended++
	t.succeeded = t.succeeded || info.Err == nil
	t.err = info.Err
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// connected reports whether the request got a connection.
func (t *transmission) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.begun > 0
}

// state reports whether no write is in progress, and whether the request was written.
func (t *transmission) state() (finished bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.succeeded {
		return true, nil
	}
	return t.begun == t.ended, t.err
}

// checkWritten returns an error unless the whole request was written. A target that ends its
// answer with the connection before that resets the connection.
func (t *transmission) checkWritten(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, maxWriteWait, resetconn.ErrUnread)
	defer cancel()
	for {
		if finished, err := t.state(); finished {
			return err
		}
		select {
		case <-t.changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
