package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// resettingTarget starts a target that answers each request when it has read the head, without a
// length, and then ends the connection with end. It returns its address.
func resettingTarget(t *testing.T, end func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 512)); err != nil {
					conn.Close()
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf of it")
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a part of an answer that is taken for the whole, because the write of a long
// request is told that the connection was reset, and the read sees an orderly end.
func TestAnswerResetDuringTheUploadIsIncomplete(t *testing.T) {
	const requests, uploadBytes = 64, 3 << 20
	for name, end := range map[string]func(*net.TCPConn){
		"reset":                    func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
		"closed with unread bytes": func(c *net.TCPConn) { c.Close() },
	} {
		address := resettingTarget(t, end)
		whole := 0
		for range requests {
			call := &Call{Address: address, Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, uploadBytes)}
			if _, err := sendAndRead(t, NewPool(Options{}), call); err == nil {
				whole++
			}
		}
		assert.Equal(t, whole, 0, "%s: %d of %d answers were taken for whole", name, whole, requests)
	}
}

// Guards against an answer that is refused although its target read the whole request after it
// had begun to answer, and then ended the connection in order.
func TestEarlyAnswerWithoutALengthIsWhole(t *testing.T) {
	address := resettingTarget(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		c.Close()
	})
	for range 8 {
		call := &Call{Address: address, Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, 3<<20)}
		text, err := sendAndRead(t, NewPool(Options{}), call)
		assert.NilError(t, err)
		assert.Equal(t, text, "half of it")
	}
}

// Guards against answers without a length that are refused because the answer before them ended
// shortly before with its connection, too.
func TestAnswersWithoutALengthInQuickSuccessionAreWhole(t *testing.T) {
	tg := newTarget(t, func(_ int64, conn net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		return false
	})
	p := NewPool(Options{})
	for range 20 {
		text, err := sendAndRead(t, p, tg.call(false))
		assert.NilError(t, err)
		assert.Equal(t, text, "whole")
	}
}
