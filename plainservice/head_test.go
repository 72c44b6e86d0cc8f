package plainservice

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/attempt"
)

// Guards against an answer that is passed on although its head is not sound or ends early.
func TestUnsoundHeadIsNoAnswer(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nbody",
		"HTTP/1.1 999 \r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more",
		"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length: 4",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
		"HTTP/1.1 200",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			if conn, err := listener.Accept(); err == nil {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, text)
				conn.Close()
			}
		}()
		call := keyedCall(listener.Addr().String())
		_, err = NewClient().Do(t.Context(), call)
		assert.Check(t, attempt.KindOf(err) == attempt.MaybeSent, "%q: %v", text, err)
		listener.Close()
	}
}
