package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/answerhead"
	"github.com/marjoramflow/marjoramflow/internal/resetconn"
	"github.com/marjoramflow/marjoramflow/liveness"
)

// ErrUnconfirmedEnd is wrapped by the error of an answer that ended with its connection when
// its target does not run any more, so that the answer may be incomplete.
var ErrUnconfirmedEnd = errors.New("the target ended together with its answer")

// errRequestNotReceived means that a target ended an answer with its connection before it had
// received the request.
var errRequestNotReceived = errors.New("the answer ended before the request was received")

// ErrNotSent is wrapped by errors that occurred before any byte of the request was written.
var ErrNotSent = errors.New("no byte of the request was sent")

// Field is one header field of a request.
type Field struct {
	Name, Value string
}

// Call describes one request to a target.
type Call struct {
	// Address is the IP:port of the target.
	Address string
	// Once is set for a request that must not run twice. It is written once like every
	// other; if the target closes a reused connection at that moment, its outcome is unknown.
	// So it goes only on connections on which that is unlikely.
	Once bool
	// OwnAnswer reports whether an answer with this header is that to the request. Others on
	// a reused connection are late answers to earlier requests and are skipped. If nil, every
	// answer is taken for the request's own.
	OwnAnswer func(http.Header) bool
	// Method, URI and Host are written to the request unchanged.
	Method, URI, Host string
	Header            []Field
	Body              []byte
	// HeaderDeadline bounds the wait for the status line and headers of the answer; zero
	// means no bound.
	HeaderDeadline time.Time
}

// Exchange is one request and its answer. Its user must call either Close or Discard
// once.
type Exchange struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 when the answer does not state it.
	Length int64
	// Delimited is true if the answer states its length or comes in chunks. Otherwise it ends
	// with its connection.
	Delimited bool

	// NewConnection is true if the connection was opened for this request.
	NewConnection bool

	pool *Pool
	call *Call
	conn *conn
	// ctx is that of Send, which bounds the whole exchange.
	ctx      context.Context
	response *http.Response
	// written is closed when the request has been written, or failed with writeErr.
	written        chan struct{}
	writeErr       error
	stopCancelHook func() bool
	bodyComplete   bool
	// readDeadline is the deadline of reads, also for the check of the body's end.
	readDeadline time.Time
	// sentAt is when the exchange began.
	sentAt time.Time
	// witness is set for an answer that ends with its connection.
	witness *liveness.Witness
}

// Send writes a request and reads the status line and headers of its answer. An error
// that wraps ErrNotSent means that the target cannot have received the request. The
// connection is closed when the context ends, also while the body is read. If that
// happens before the answer's headers were read, the error is the context's cause.
func (p *Pool) Send(ctx context.Context, call *Call) (*Exchange, error) {
	c, err := p.connect(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	e := &Exchange{NewConnection: c.idleUntil.IsZero(), pool: p, call: call, conn: c, ctx: ctx, sentAt: time.Now(), written: make(chan struct{})}
	p.addExchange(e)
	e.stopCancelHook = context.AfterFunc(ctx, func() { c.Close() })
	e.writeRequest()
	if err := e.readAnswer(); err != nil {
		if ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			p.recordRemoteEnd(e)
		}
		e.Close()
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		if !e.NewConnection && !errors.Is(err, os.ErrDeadlineExceeded) {
			p.poison(call.Address)
		}
		return nil, err
	}
	return e, nil
}

// maxSkippedAnswers and maxSkippedBytes bound the late answers to earlier requests that are
// skipped on a reused connection.
const (
	maxSkippedAnswers = 2
	maxSkippedBytes   = 256 << 10
)

var errNotOwnAnswer = errors.New("the connection carries answers to earlier requests")

// readAnswer reads the head of the answer to the request. On a reused connection it skips
// complete late answers to earlier requests.
func (e *Exchange) readAnswer() error {
	for range maxSkippedAnswers + 1 {
		if err := e.readHead(); err != nil {
			return err
		}
		if e.NewConnection || e.call.OwnAnswer == nil || e.call.OwnAnswer(e.Header) {
			e.openWitness()
			return nil
		}
		if !e.Delimited {
			break
		}
		e.pool.poison(e.call.Address)
		if n, err := io.Copy(io.Discard, io.LimitReader(e.response.Body, maxSkippedBytes)); err != nil || n == maxSkippedBytes {
			break
		}
	}
	return errNotOwnAnswer
}

// openWitness opens the connection that shows at the end of an answer without a length that
// the target has not ended.
func (e *Exchange) openWitness() {
	if !e.Delimited {
		e.witness = liveness.Watch(e.ctx, &e.pool.dialer, e.call.Address)
	}
}

// maxInlineBodyBytes is the largest body that is written before the answer is read. It
// fits into the buffers of a socket, so the write does not block. A larger body is
// written concurrently, because a target may answer before it has read all of it.
const maxInlineBodyBytes = 8 << 10

// writeRequest writes the request, in a goroutine if the body is large. It closes written at the
// end.
func (e *Exchange) writeRequest() {
	head := e.call.encodeHead()
	if len(e.call.Body) <= maxInlineBodyBytes {
		_, e.writeErr = e.conn.Write(append(head, e.call.Body...))
		close(e.written)
		return
	}
	go func() {
		defer close(e.written)
		if _, e.writeErr = e.conn.Write(head); e.writeErr == nil {
			_, e.writeErr = e.conn.Write(e.call.Body)
		}
	}()
}

// encodeHead returns the request line and headers, with capacity for the body.
func (call *Call) encodeHead() []byte {
	var head bytes.Buffer
	head.Grow(512 + len(call.Body))
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.URI, call.Host)
	for _, f := range call.Header {
		head.WriteString(f.Name)
		head.WriteString(": ")
		head.WriteString(f.Value)
		head.WriteString("\r\n")
	}
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(call.Body))
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// readHead reads the status line and the headers of the answer and skips interim answers.
func (e *Exchange) readHead() error {
	e.conn.headBytesLeft = maxHeadBytes
	e.SetReadDeadline(e.call.HeaderDeadline)
	for {
		response, err := e.conn.readResponse(e.call.Method)
		if err != nil {
			return err
		}
		if err := answerhead.Check(response); err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			e.conn.headBytesLeft = -1
			e.response = response
			e.Status = response.StatusCode
			e.Header = response.Header
			e.Length = response.ContentLength
			e.Delimited = response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
			return nil
		}
	}
}

// SetReadDeadline sets the deadline of all later reads; the zero time means no deadline.
func (e *Exchange) SetReadDeadline(at time.Time) {
	e.readDeadline = at
	// The only possible error is a closed connection, which the next read reports.
	_ = e.conn.SetReadDeadline(at)
}

// Read reads the body of the answer. It returns io.EOF only at the end of a complete
// body: after the stated length, after the last chunk or, if the answer has neither,
// after an orderly close of the connection by a target that has received the whole request and
// still runs. If the target does
// not run, the error wraps ErrUnconfirmedEnd.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.response.Body.Read(p)
	if err != io.EOF || e.bodyComplete {
		e.noteEnd(err)
		return n, err
	}
	if !e.Delimited {
		e.pool.recordRemoteEnd(e)
		if err := e.checkRequestReceived(); err != nil {
			return n, err
		}
		if err := e.confirmEnd(); err != nil {
			return n, err
		}
	}
	e.bodyComplete = true
	return n, io.EOF
}

// noteEnd records the end of the connection, if that is what a read failed for.
func (e *Exchange) noteEnd(err error) {
	if err != nil && err != io.EOF && !errors.Is(err, os.ErrDeadlineExceeded) && e.ctx.Err() == nil {
		e.pool.recordRemoteEnd(e)
	}
}

// maxWriteWait bounds the wait for the end of the write of a request whose answer has ended.
const maxWriteWait = 500 * time.Millisecond

// checkRequestReceived returns an error unless the target, which has ended the connection, has
// received the whole request. A target that closes a connection before that resets it, and an
// answer that was reset may be incomplete.
func (e *Exchange) checkRequestReceived() error {
	timer := time.NewTimer(maxWriteWait)
	defer timer.Stop()
	select {
	case <-e.written:
	case <-timer.C:
		return fmt.Errorf("%w: %w", errRequestNotReceived, resetconn.ErrUnread)
	}
	if e.writeErr != nil {
		return fmt.Errorf("%w: %w", errRequestNotReceived, e.writeErr)
	}
	if c, ok := e.conn.Conn.(*resetconn.Conn); ok {
		if err := c.CheckEnd(); err != nil {
			return fmt.Errorf("%w: %w", errRequestNotReceived, err)
		}
	}
	return nil
}

// confirmEnd returns an error unless the target runs after its answer has ended with the
// connection. A target that was started again accepts connections too, but has ended those of
// all other exchanges at the same time. The connection that the check opens replaces the one
// that ended.
func (e *Exchange) confirmEnd() error {
	ctx := e.ctx
	if !e.readDeadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, e.readDeadline)
		defer cancel()
	}
	endedAt := time.Now()
	c, err := e.witness.Confirm(ctx, endedAt)
	if err == nil && e.pool.endedWithOthers(e, endedAt) {
		err = errAllConnectionsEnded
		if c != nil {
			c.Close()
		}
	}
	if err != nil {
		e.pool.updateStats(func(s *Stats) { s.UnconfirmedEnds++ })
		return fmt.Errorf("%w: %w", ErrUnconfirmedEnd, err)
	}
	e.pool.updateStats(func(s *Stats) { s.ConfirmedEnds++ })
	if c != nil {
		e.pool.putIdle(e.call.Address, newConn(c), defaultIdleTimeout)
	}
	return nil
}

// Close ends the exchange. The connection returns to the pool if the request was fully
// written, the body was read to its end and the target did not ask to close it.
func (e *Exchange) Close() {
	e.pool.removeExchange(e)
	if e.witness != nil {
		e.witness.Close()
	}
	reusable := e.stopCancelHook() && e.bodyComplete && !e.response.Close
	if reusable {
		select {
		case <-e.written:
			reusable = e.writeErr == nil
		default:
			// The target answered before the whole request was written.
			reusable = false
		}
	}
	idle := e.idleTimeout()
	if !reusable || idle <= 0 || e.conn.reader.Buffered() > 0 {
		e.conn.Close()
		return
	}
	_ = e.conn.SetReadDeadline(time.Time{})
	e.pool.putIdle(e.call.Address, e.conn, idle)
}

// Discard ends the exchange and closes its connection, for answers that failed a check.
// It replaces Close.
func (e *Exchange) Discard() {
	e.bodyComplete = false
	e.Close()
}

// idleTimeout returns how long the connection may stay idle: the Keep-Alive timeout that
// the target states minus idleMargin, but at most defaultIdleTimeout. Zero or less means
// that the connection must be closed.
func (e *Exchange) idleTimeout() time.Duration {
	if e.Header == nil {
		return 0
	}
	for _, part := range strings.Split(e.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			return min(time.Duration(seconds)*time.Second-idleMargin, defaultIdleTimeout)
		}
	}
	return defaultIdleTimeout
}
