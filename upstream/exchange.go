package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ErrNotSent wraps errors that came up before any byte of the request was written.
var ErrNotSent = errors.New("no byte of the request was sent")

// Field is one header line of a request.
type Field struct {
	Name, Value string
}

// Call is one request.
type Call struct {
	// Address is IP:port of the target.
	Address string
	// NewConnection asks for a new connection, for requests that must not run twice: a kept
	// one may have been closed by the target without notice.
	NewConnection bool
	// Method, URI and Host go into the request as they are.
	Method, URI, Host string
	Header            []Field
	Body              []byte
	// HeaderDeadline bounds the wait for the head of the answer; zero is no bound.
	HeaderDeadline time.Time
}

// Exchange is one request and its answer. Close must be called once.
type Exchange struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 when it is not stated.
	Length int64

	// NewConnection says that the connection was made for this request.
	NewConnection bool

	pool     *Pool
	call     *Call
	conn     *conn
	response *http.Response
	written  chan error
	stop     func() bool
	whole    bool
}

// Send writes a request and reads the head of its answer. An error that wraps
// ErrNotSent means that the target cannot have seen the request. When the context
// ends, the connection is closed.
func (p *Pool) Send(ctx context.Context, call *Call) (*Exchange, error) {
	c, err := p.connect(ctx, call.Address, call.NewConnection)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	e := &Exchange{NewConnection: c.until.IsZero(), pool: p, call: call, conn: c, written: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, func() { c.Close() })
	e.write()
	if err := e.readHead(); err != nil {
		e.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, err
	}
	return e, nil
}

// inlineBody is the largest body that is written before the answer is read. It
// fits into the buffers of a socket; a target may answer before it has read a
// larger one.
const inlineBody = 8 << 10

func (e *Exchange) write() {
	head := e.call.head()
	if len(e.call.Body) <= inlineBody {
		_, err := e.conn.Write(append(head, e.call.Body...))
		e.written <- err
		return
	}
	go func() {
		_, err := e.conn.Write(head)
		if err == nil {
			_, err = e.conn.Write(e.call.Body)
		}
		e.written <- err
	}()
}

func (call *Call) head() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(call.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.URI, call.Host)
	for _, f := range call.Header {
		b.WriteString(f.Name)
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(call.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the status line and the headers, and skips interim answers.
func (e *Exchange) readHead() error {
	e.conn.headLeft = maxHeadBytes
	e.SetReadDeadline(e.call.HeaderDeadline)
	for {
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: e.call.Method})
		if err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			e.conn.headLeft = -1
			e.response = response
			e.Status = response.StatusCode
			e.Header = response.Header
			e.Length = response.ContentLength
			return nil
		}
	}
}

// SetReadDeadline bounds the reads from now on; the zero time is no bound.
func (e *Exchange) SetReadDeadline(at time.Time) {
	// The only error is that of a closed connection, which the next read reports.
	_ = e.conn.SetReadDeadline(at)
}

// Read reads the body. It returns io.EOF only at the end of a whole body: after a
// stated length, the last chunk or, without either, an orderly end of the
// connection.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.response.Body.Read(p)
	if err == io.EOF {
		e.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept when request and answer are
// complete and the target does not want to close it.
func (e *Exchange) Close() {
	usable := e.stop() && e.whole && !e.response.Close
	if usable {
		select {
		case err := <-e.written:
			usable = err == nil
		default:
			// The target answered before it read the whole request.
			usable = false
		}
	}
	idle := e.idleTime()
	if !usable || idle <= 0 || e.conn.reader.Buffered() > 0 {
		e.conn.Close()
		return
	}
	_ = e.conn.SetReadDeadline(time.Time{})
	e.pool.keep(e.call.Address, e.conn, idle)
}

// Discard ends the exchange and its connection, after an answer that cannot be
// trusted.
func (e *Exchange) Discard() {
	e.whole = false
	e.Close()
}

// idleTime is how long the connection may be kept, by the target's own word.
func (e *Exchange) idleTime() time.Duration {
	if e.Header == nil {
		return 0
	}
	for _, part := range strings.Split(e.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			return min(time.Duration(seconds)*time.Second-idleMargin, defaultIdle)
		}
	}
	return defaultIdle
}
