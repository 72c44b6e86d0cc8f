package plainservice

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/attempt"
)

// breakingTarget answers the first request of a connection, and closes the connection
// without an answer after it has read the second. runs counts the requests with an
// Idempotency-Key header.
func breakingTarget(t *testing.T) (address string, runs *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	runs = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for n := range 2 {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if request.Header.Get("Idempotency-Key") != "" {
						runs.Add(1)
					}
					if n == 0 {
						fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			}()
		}
	}()
	return l.Addr().String(), runs
}

// keyedCall returns a call with an Idempotency-Key header.
func keyedCall(address string) *Call {
	return &Call{ID: "r", Target: "t", Address: address, Method: http.MethodPost, Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}}
}

// Guards against a call with an idempotency key that runs twice because the transport
// sends it again when a reused connection breaks. The case with reuse shows that
// http.Transport does so.
func TestBrokenConnectionDoesNotSendTwice(t *testing.T) {
	for _, reuse := range []bool{true, false} {
		address, runs := breakingTarget(t)
		c := NewClient()
		if reuse {
			c.singleUse = c.pooled
		}
		first := keyedCall(address)
		first.Header = nil
		first.Idempotent = true
		_, err := c.Do(t.Context(), first)
		assert.NilError(t, err)
		_, _ = c.Do(t.Context(), keyedCall(address))
		want := int64(1)
		if reuse {
			want = 2
		}
		assert.Equal(t, runs.Load(), want, "reuse %v", reuse)
	}
}

// Guards against a call that runs a second time because a redirect is followed, and
// against forwarding the caller's token and hop-by-hop headers to the target.
func TestRedirectsAndHeaders(t *testing.T) {
	var redirected atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { redirected.Add(1) }))
	defer other.Close()
	var got http.Header
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		http.Redirect(w, r, other.URL, http.StatusTemporaryRedirect)
	}))
	defer target.Close()
	call := keyedCall(target.Listener.Addr().String())
	call.Version = "v2"
	call.Header.Set("Authorization", "Bearer x")
	call.Header.Set("X-Kept", "yes")
	call.Header.Set("X-For-This-Connection", "x")
	for _, name := range hopByHopHeaders {
		call.Header.Set(name, "x")
	}
	call.Header.Add("Connection", "close, X-For-This-Connection")
	for _, idempotent := range []bool{false, true} {
		call.Idempotent = idempotent
		answer, err := NewClient().Do(t.Context(), call)
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, http.StatusTemporaryRedirect)
		for _, name := range append([]string{"Authorization", "X-For-This-Connection"}, hopByHopHeaders...) {
			if name != "Connection" { // Go sets "close" on connections that are not reused
				assert.Equal(t, got.Get(name), "", name)
			}
		}
		assert.Assert(t, got.Get("Connection") != "x")
		assert.Equal(t, got.Get("X-Kept")+got.Get("X-Request-Id")+got.Get(VersionHeader)+got.Get("Idempotency-Key"), "yesrv2k")
	}
	assert.Equal(t, redirected.Load(), int64(0))
	assert.Equal(t, call.Header.Get("Authorization"), "Bearer x")
}

// Guards against the kind NotSent for a request that may have run.
func TestKindsOfFailures(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	expired, expire := context.WithTimeout(t.Context(), 0)
	defer expire()
	closed := httptest.NewServer(nil)
	closed.Close()
	cases := []struct {
		name    string
		ctx     context.Context
		handler http.HandlerFunc
		kind    attempt.Kind
	}{
		{"refused", t.Context(), nil, attempt.NotSent},
		{"expired before", expired, func(http.ResponseWriter, *http.Request) {}, attempt.NotSent},
		{"broken", t.Context(), func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, attempt.MaybeSent},
		{"cut", t.Context(), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			fmt.Fprint(w, "half")
		}, attempt.Cut},
		{"too large", t.Context(), func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, strings.Repeat("x", MaxAnswerBytes+1))
		}, attempt.Cut},
		{"canceled", canceled, func(_ http.ResponseWriter, r *http.Request) {
			cancel()
			<-r.Context().Done()
		}, attempt.Canceled},
	}
	for _, c := range cases {
		server := closed
		if c.handler != nil {
			server = httptest.NewServer(c.handler)
		}
		_, err := NewClient().Do(c.ctx, keyedCall(server.Listener.Addr().String()))
		assert.Equal(t, attempt.KindOf(err), c.kind, c.name)
		var failed *attempt.Error
		assert.Assert(t, errors.As(err, &failed) && failed.Target == "t")
		server.Close()
	}
}

// Guards against an answer without a length that is taken for complete although its target's
// process ended with it.
func TestAnswerOfAnEndedTargetIsCut(t *testing.T) {
	for _, ends := range []bool{true, false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			if ends {
				listener.Close()
			}
			conn.Close()
		}()
		answer, err := NewClient().Do(t.Context(), keyedCall(listener.Addr().String()))
		if ends {
			assert.Equal(t, attempt.KindOf(err), attempt.Cut)
		} else {
			assert.NilError(t, err)
			assert.Equal(t, string(answer.Body), "half")
		}
		listener.Close()
	}
}

// endlessTarget starts a target that answers with head and then repeats text until the
// connection is closed. It returns the target's address.
func endlessTarget(t *testing.T, head, text string) string {
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
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, head)
				for err == nil {
					_, err = io.WriteString(conn, text)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against endless answers of faulty targets that take the memory of the daemon: their
// heads, and the bodies of many at once.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const callers, maxHeapBytes = 40, 4 * answerMemoryBytes
	client := NewClient()
	head := endlessTarget(t, "HTTP/1.1 200 OK\r\n", "X-More: "+strings.Repeat("x", 1000)+"\r\n")
	body := endlessTarget(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10))
	var calls sync.WaitGroup
	var ended atomic.Int64
	for i := range callers {
		calls.Go(func() {
			defer ended.Add(1)
			_, err := client.Do(t.Context(), keyedCall([]string{head, body}[i%2]))
			assert.Check(t, err != nil)
		})
	}
	maxHeap := uint64(0)
	var stats runtime.MemStats
	for ended.Load() < callers {
		runtime.ReadMemStats(&stats)
		maxHeap = max(maxHeap, stats.HeapAlloc)
		time.Sleep(time.Millisecond)
	}
	calls.Wait()
	assert.Assert(t, maxHeap < maxHeapBytes, "%d MB on the heap", maxHeap>>20)
	assert.Equal(t, client.memory.Used(), int64(0))
}

// Guards against a part of an answer without a length that is taken for the whole, because the
// write of a long request is told that the connection was reset, and the read is not.
func TestAnswerResetDuringTheUploadIsCut(t *testing.T) {
	const requests, uploadBytes = 64, 3 << 20
	for name, end := range map[string]func(*net.TCPConn){
		"reset":                    func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
		"closed with unread bytes": func(c *net.TCPConn) { c.Close() },
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
				_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 512))
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
				end(conn.(*net.TCPConn))
			}
		}()
		whole := 0
		call := keyedCall(listener.Addr().String())
		call.Body = make([]byte, uploadBytes)
		for range requests {
			if _, err := NewClient().Do(t.Context(), call); err == nil {
				whole++
			}
		}
		assert.Check(t, whole == 0, "%s: %d of %d answers were taken for whole", name, whole, requests)
		listener.Close()
	}
}
