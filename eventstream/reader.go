// Package eventstream splits a stream of server-sent events into complete events
// without changing a byte. A relay can thus forward only complete events, and knows
// after which event to resume a broken stream.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// ErrMalformed is returned for bytes that are not lines of an event stream, for example the
// head of another answer.
var ErrMalformed = errors.New("the stream carries a line that is not a field of an event")

// ErrTooLarge is returned for an event larger than maxEventBytes.
var ErrTooLarge = errors.New("event exceeds 1 MiB")

// Event is one event with the blank line that ends it.
type Event struct {
	// Raw holds the bytes of the event as received. It is valid until the next call of
	// Next.
	Raw []byte
	// ID is the numeric id of the event, zero or more. HasID is false if the event has none.
	ID    int64
	HasID bool
	// Comment is true if the event holds nothing but comments.
	Comment bool
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	buffer []byte
	// reserve is called with the number of additional bytes before buffer grows.
	reserve func(bytes int64) error
}

// NewReader returns a reader of the events in r. It calls reserve with the number of
// additional bytes before it enlarges its buffer; an error of reserve is returned by Next.
// A nil reserve permits all allocations.
func NewReader(r io.Reader, reserve func(bytes int64) error) *Reader {
	if reserve == nil {
		reserve = func(int64) error { return nil }
	}
	return &Reader{source: bufio.NewReaderSize(r, 2<<10), reserve: reserve}
}

// Next returns the next complete event. The error is io.EOF if the stream ends between two
// events, io.ErrUnexpectedEOF if it ends inside one, ErrTooLarge if the event exceeds
// maxEventBytes, ErrMalformed if a line is not a field, and otherwise that of the stream or
// of reserve.
func (r *Reader) Next() (Event, error) {
	event := Event{Comment: true}
	r.buffer = r.buffer[:0]
	lineStart := 0
	for {
		part, err := r.source.ReadSlice('\n')
		if appendErr := r.appendPart(part); appendErr != nil {
			return event, appendErr
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			// The rest of a long line follows.
			continue
		}
		if err == io.EOF && len(r.buffer) > 0 {
			return event, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event, err
		}
		text := bytes.TrimRight(r.buffer[lineStart:], "\r\n")
		lineStart = len(r.buffer)
		if len(text) == 0 {
			event.Raw = r.buffer
			return event, nil
		}
		if !isField(text) {
			return event, ErrMalformed
		}
		event.Comment = event.Comment && text[0] == ':'
		if id, found := bytes.CutPrefix(text, []byte("id:")); found {
			number, parseErr := strconv.ParseUint(string(bytes.TrimSpace(id)), 10, 63)
			event.ID, event.HasID = int64(number), parseErr == nil
		}
	}
}

// isField reports whether a line has the form of a field: a name, or a name, a colon and a
// value. A comment has an empty name. Names that the format does not define are permitted
// only with a colon, because text without one is more likely an error message.
func isField(line []byte) bool {
	name, _, hasValue := bytes.Cut(bytes.TrimPrefix(line, byteOrderMark), []byte(":"))
	if !hasValue {
		return slices.Contains(bareFields, string(name))
	}
	return !bytes.ContainsFunc(name, func(r rune) bool {
		return r != '-' && r != '_' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
}

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\ufeff")

// bareFields are the fields that the format defines, which may stand without a value.
var bareFields = []string{"data", "event", "id", "retry"}

// appendPart appends a line, or a part of one, to the current event. It returns
// ErrTooLarge or the error of reserve.
func (r *Reader) appendPart(line []byte) error {
	size := len(r.buffer) + len(line)
	if size > maxEventBytes {
		return ErrTooLarge
	}
	if size > cap(r.buffer) {
		capacity := max(size, 2*cap(r.buffer))
		if err := r.reserve(int64(capacity - cap(r.buffer))); err != nil {
			return err
		}
		buffer := make([]byte, len(r.buffer), capacity)
		copy(buffer, r.buffer)
		r.buffer = buffer
	}
	r.buffer = append(r.buffer, line...)
	return nil
}
