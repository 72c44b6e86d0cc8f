package eventstream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// Guards against events that are changed, joined or split.
func TestEventsPassUnchanged(t *testing.T) {
	text := "id: 1\ndata: one\n\nx-weight-versions: 3\nid:2\r\ndata: " + strings.Repeat("y", 5000) + "\r\n\r\n: comment\n\nid: seven\ndata: z\n\n"
	r := NewReader(iotest.OneByteReader(strings.NewReader(text)), nil)
	var joined bytes.Buffer
	var ids []int64
	for {
		event, err := r.Next()
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		joined.Write(event.Raw)
		if event.HasID {
			ids = append(ids, event.ID)
		}
	}
	assert.Equal(t, joined.String(), text)
	assert.DeepEqual(t, ids, []int64{1, 2})
}

// Guards against an incomplete event at the end of a stream that is returned as complete.
func TestHalfAnEventIsAnError(t *testing.T) {
	r := NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n"), nil)
	_, err := r.Next()
	assert.NilError(t, err)
	_, err = r.Next()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	broken := errors.New("broken")
	r = NewReader(io.MultiReader(strings.NewReader("id: 1\n\n"), iotest.ErrReader(broken)), nil)
	_, err = r.Next()
	assert.NilError(t, err)
	_, err = r.Next()
	assert.ErrorIs(t, err, broken)
}

// Guards against unbounded memory use when a stream contains no blank line.
func TestEventIsBounded(t *testing.T) {
	_, err := NewReader(strings.NewReader(strings.Repeat("data: x\n", maxEventBytes/4)), nil).Next()
	assert.ErrorIs(t, err, ErrTooLarge)
}

// Guards against input that crashes the reader or whose bytes it changes.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n"))
	f.Add([]byte("\n\r\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data), nil)
		var joined []byte
		for {
			event, err := r.Next()
			if err != nil {
				break
			}
			joined = append(joined, event.Raw...)
		}
		if !bytes.HasPrefix(data, joined) {
			t.Fatalf("%q is not a prefix of %q", joined, data)
		}
	})
}

// Guards against a long line whose middle is taken for the end of an event or for an id.
func TestLongLineIsOneLine(t *testing.T) {
	for length := 2040; length <= 2060; length++ {
		for _, rest := range []string{"", "id: 7"} {
			text := "id: 1\ndata: " + strings.Repeat("y", length) + rest + "\ndata: z\n\n"
			event, err := NewReader(strings.NewReader(text), nil).Next()
			assert.NilError(t, err)
			assert.Equal(t, string(event.Raw), text, "%d bytes and %q", length, rest)
			assert.Equal(t, event.ID, int64(1), "%d bytes and %q", length, rest)
		}
	}
}

// Guards against bytes of another answer, or of an error message, that pass as events.
func TestTextThatIsNoFieldIsMalformed(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\n",
		"upstream failed\n\n",
		"{\"error\": \"x\"}\n\n",
		"<p>error: x</p>\n\n",
		"id: 2\nhalf HTTP/1.1 200 OK\n\n",
	} {
		r := NewReader(strings.NewReader("\ufeffid: 1\ndata\n\n: comment\n\n"+text), nil)
		event, err := r.Next()
		assert.NilError(t, err)
		assert.Assert(t, !event.Comment)
		event, err = r.Next()
		assert.NilError(t, err)
		assert.Assert(t, event.Comment)
		_, err = r.Next()
		assert.ErrorIs(t, err, ErrMalformed, "%q", text)
	}
}
