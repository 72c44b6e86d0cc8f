// Package eventstream splits a stream of server-sent events into whole events
// without changing a byte, so that a relay passes on only what arrived whole and
// knows behind which event a broken stream goes on.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// ErrTooLarge is returned for an event above the bound.
var ErrTooLarge = errors.New("event exceeds its bound")

// Event is one event with its blank line.
type Event struct {
	// Raw are the bytes as they arrived. They are valid until the next call.
	Raw []byte
	// ID is the numeric id of the event; HasID is false when it has none.
	ID    int64
	HasID bool
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	lines *bufio.Reader
	raw   []byte
}

// NewReader returns a reader of events.
func NewReader(r io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, 2<<10)}
}

// Next returns the next whole event. The error is io.EOF at the end of the stream
// between two events, and io.ErrUnexpectedEOF at its end inside of one.
func (r *Reader) Next() (Event, error) {
	var event Event
	r.raw = r.raw[:0]
	for {
		line, err := r.lines.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if len(r.raw) > maxEventBytes {
			return event, ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(r.raw) > 0 {
			return event, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			event.Raw = r.raw
			return event, nil
		}
		if id, found := bytes.CutPrefix(text, []byte("id:")); found {
			number, parseErr := strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64)
			event.ID, event.HasID = number, parseErr == nil
		}
	}
}
