package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"

	"github.com/marjoramflow/marjoramflow/internal/answerhead"
)

// oldVersion begins an answer of HTTP/1.0.
const oldVersion = "HTTP/1.0"

// readResponse reads the head of an answer to a request with the given method. http.ReadResponse
// drops the transfer coding of an answer of HTTP/1.0, which does not have any, so that chunks and
// their framing would be the body. Such an answer is malformed (RFC 9112, section 6.1).
func (c *conn) readResponse(method string) (*http.Response, error) {
	// If the connection fails, http.ReadResponse reports it.
	begin, _ := c.reader.Peek(len(oldVersion))
	if c.copiesHead = string(begin) == oldVersion; c.copiesHead {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		c.headCopy = slices.Clone(buffered)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	head := c.headCopy
	c.copiesHead, c.headCopy = false, nil
	if err == nil && hasField(head, "Transfer-Encoding") {
		return nil, fmt.Errorf("%w: transfer coding in HTTP/1.0", answerhead.ErrMalformed)
	}
	return response, err
}

// hasField reports whether the head at the beginning of text has a field with the given name.
func hasField(text []byte, name string) bool {
	for line := range bytes.Lines(text) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return false
		}
		if field, _, found := bytes.Cut(line, []byte(":")); found && bytes.EqualFold(field, []byte(name)) {
			return true
		}
	}
	return false
}
