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
	// grow asks for the memory of a larger event before it is allocated.
	grow func(bytes int64) error
}

// NewReader returns a reader of events. Grow is asked for the memory of events that are
// larger than all before; an error ends the stream. Nil grants everything.
func NewReader(r io.Reader, grow func(bytes int64) error) *Reader {
	if grow == nil {
		grow = func(int64) error { return nil }
	}
	return &Reader{lines: bufio.NewReaderSize(r, 2<<10), grow: grow}
}

// Next returns the next whole event. The error is io.EOF at the end of the stream
// between two events, and io.ErrUnexpectedEOF at its end inside of one.
func (r *Reader) Next() (Event, error) {
	var event Event
	r.raw = r.raw[:0]
	for {
		line, err := r.lines.ReadSlice('\n')
		if growErr := r.add(line); growErr != nil {
			return event, growErr
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

// add appends a part of a line to the event.
func (r *Reader) add(line []byte) error {
	size := len(r.raw) + len(line)
	if size > maxEventBytes {
		return ErrTooLarge
	}
	if size > cap(r.raw) {
		larger := max(size, 2*cap(r.raw))
		if err := r.grow(int64(larger - cap(r.raw))); err != nil {
			return err
		}
		grown := make([]byte, len(r.raw), larger)
		copy(grown, r.raw)
		r.raw = grown
	}
	r.raw = append(r.raw, line...)
	return nil
}
