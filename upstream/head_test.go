package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// malformedHeads are answers whose head is not sound, each followed by an orderly close.
var malformedHeads = map[string]string{
	"status 000, then an answer": "HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"status 000 with a length":   "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody",
	"status 099":                 "HTTP/1.1 099 \r\nContent-Length: 4\r\n\r\nbody",
	"status with a sign":         "HTTP/1.1 +20 OK\r\nContent-Length: 4\r\n\r\nbody",
	"status 600":                 "HTTP/1.1 600 \r\nContent-Length: 4\r\n\r\nbody",
	"status 999":                 "HTTP/1.1 999 \r\nContent-Length: 4\r\n\r\nbody",
	"switch of protocols":        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nbody",
	"HTTP/2.0":                   "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"blank in a name":            "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
	"blank behind a name":        "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more",
	"blank behind the coding":    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"blank in an interim answer": "HTTP/1.1 103 Early\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"tab behind a name":          "HTTP/1.1 200 OK\r\nContent-Length\t: 4\r\n\r\nbody",
	"control byte in a name":     "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
	"byte over 127 in a name":    "HTTP/1.1 200 OK\r\nX\xe9: 1\r\nContent-Length: 4\r\n\r\nbody",
	"control byte in a value":    "HTTP/1.1 200 OK\r\nX-Odd: a\x01b\r\nContent-Length: 4\r\n\r\nbody",
	"line without a colon":       "HTTP/1.1 200 OK\r\nX-Odd\r\nContent-Length: 4\r\n\r\nbody",
	"two lengths":                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
	"chunks in a long HTTP/1.0":  "HTTP/1.0 200 OK\r\nX-Long: " + strings.Repeat("x", 2*readBufferBytes) + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nX-One: 1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
}

// endedHeads are answers that end with an orderly close before the end of their head.
var endedHeads = map[string]string{
	"nothing":             "",
	"part of the version": "HTTP/1.",
	"version":             "HTTP/1.1 ",
	"status":              "HTTP/1.1 200",
	"status line":         "HTTP/1.1 200 OK\r\n",
	"part of a name":      "HTTP/1.1 200 OK\r\nContent-Le",
	"part of a value":     "HTTP/1.1 200 OK\r\nContent-Length: 4",
	"line of a field":     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
	"part of the end":     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r",
	"interim answer":      "HTTP/1.1 100 Continue\r\n\r\n",
	"head after interim":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// Guards against an answer whose head is not sound, or ends early, that is taken for an answer.
func TestUnsoundHeadIsNoAnswer(t *testing.T) {
	for _, heads := range []map[string]string{malformedHeads, endedHeads} {
		for name, text := range heads {
			tg := newTarget(t, func(_ int64, conn net.Conn, _ *http.Request, _ []byte) bool {
				_, _ = io.WriteString(conn, text)
				return false
			})
			_, err := NewPool(Options{}).Send(t.Context(), tg.call(true))
			assert.Check(t, err != nil, "%s: taken for an answer", name)
			assert.Check(t, !errors.Is(err, ErrNotSent), "%s: the request may have run", name)
		}
	}
}

// Guards against an answer of HTTP/1.0 that is refused although its head is sound.
func TestAnswerOfTheOldVersionIsRead(t *testing.T) {
	for _, head := range []string{"Content-Length: 4\r\n", "", "X-Long: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n"} {
		tg := newTarget(t, func(_ int64, conn net.Conn, _ *http.Request, _ []byte) bool {
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n"+head+"\r\nTransfer-Encoding: body")
			return false
		})
		text, err := sendAndRead(t, NewPool(Options{}), tg.call(false))
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix("Transfer-Encoding: body", text), "%q", text)
		assert.Assert(t, len(text) >= 4)
	}
}

// Guards against an answer that is refused although its head is sound.
func TestInterimAnswersAreSkipped(t *testing.T) {
	tg := newTarget(t, func(_ int64, conn net.Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 599 odd\r\nContent-Length: 4\r\n\r\nbody")
		return err == nil
	})
	e, err := NewPool(Options{}).Send(t.Context(), tg.call(false))
	assert.NilError(t, err)
	defer e.Close()
	e.SetReadDeadline(time.Now().Add(time.Minute))
	body, err := io.ReadAll(e)
	assert.NilError(t, err)
	assert.Equal(t, e.Status, 599)
	assert.Equal(t, string(body), "body")
}
