// Package naive is the baseline scheduler that marjoramflow is compared with. It sends
// each request at once to the engine to which it has the fewest open requests, has no
// tiers and no deadlines, and retries without checking whether the request was run.
package naive

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/google/uuid"
)

// maxAttempts is the number of attempts for each request.
const maxAttempts = 3

// Server relays chat completions. It is safe for concurrent use.
type Server struct {
	engines []string
	client  *http.Client

	mu       sync.Mutex
	inFlight map[string]int
}

// New returns a server in front of the engines with the given addresses; at least one
// is required.
func New(engines []string) *Server {
	return &Server{
		engines:  engines,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		inFlight: make(map[string]int),
	}
}

// ServeHTTP relays one chat completion. When all attempts fail, it answers 502 with the
// outcome unknown.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	body = bytes.Replace(body, []byte(`"model":"assistant"`), []byte(`"model":"m1"`), 1)
	for range maxAttempts {
		if s.relay(w, r, body) {
			return
		}
	}
	w.Header().Set("X-Marjoram-Outcome", "unknown")
	w.WriteHeader(http.StatusBadGateway)
	fmt.Fprint(w, `{"error":{"code":"failed","outcome":"unknown"}}`)
}

// relay sends the request to one engine and copies the answer to the caller. It returns
// false if it failed before anything was sent to the caller.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, body []byte) bool {
	engine := s.acquireEngine()
	defer s.releaseEngine(engine)
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+engine+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("X-Request-Id", uuid.NewString())
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	copyEvents(w, resp.Body)
	return true
}

// copyEvents copies server-sent events and flushes after each event, which ends with an
// empty line. It returns when either side ends or fails.
func copyEvents(w http.ResponseWriter, body io.Reader) {
	flusher := w.(http.Flusher)
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadBytes('\n')
		if len(line) > 0 {
			if _, writeErr := w.Write(line); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
		if len(line) == 1 {
			flusher.Flush()
		}
	}
}

// acquireEngine returns the engine with the fewest open requests and counts one more.
func (s *Server) acquireEngine() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	leastLoaded := s.engines[0]
	for _, e := range s.engines[1:] {
		if s.inFlight[e] < s.inFlight[leastLoaded] {
			leastLoaded = e
		}
	}
	s.inFlight[leastLoaded]++
	return leastLoaded
}

func (s *Server) releaseEngine(engine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[engine]--
}
