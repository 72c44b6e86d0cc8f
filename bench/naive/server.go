// Package naive is the scheduler that marjoramflow is measured against: it sends
// each request at once to the engine with the fewest requests of its own, knows
// no tiers and no deadlines, and tries again blindly.
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

// attempts is the number of blind tries.
const attempts = 3

// Server relays chat completions. It is safe for concurrent use.
type Server struct {
	engines []string
	client  *http.Client

	mu   sync.Mutex
	open map[string]int
}

// New returns a server before the given engines.
func New(engines []string) *Server {
	return &Server{
		engines: engines,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		open:    make(map[string]int),
	}
}

// ServeHTTP relays one chat completion.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	body = bytes.Replace(body, []byte(`"model":"assistant"`), []byte(`"model":"m1"`), 1)
	for range attempts {
		if s.relay(w, r, body) {
			return
		}
	}
	w.Header().Set("X-Marjoram-Outcome", "unknown")
	w.WriteHeader(http.StatusBadGateway)
	fmt.Fprint(w, `{"error":{"code":"failed","outcome":"unknown"}}`)
}

// relay tries one engine. It reports false while nothing was sent to the caller.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, body []byte) bool {
	engine := s.take()
	defer s.give(engine)
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
	copyLines(w, resp.Body)
	return true
}

// copyLines relays events as they come.
func copyLines(w http.ResponseWriter, body io.Reader) {
	flush := w.(http.Flusher)
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadBytes('\n')
		if len(line) > 0 {
			if _, werr := w.Write(line); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
		if len(line) == 1 {
			flush.Flush()
		}
	}
}

func (s *Server) take() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := s.engines[0]
	for _, e := range s.engines[1:] {
		if s.open[e] < s.open[best] {
			best = e
		}
	}
	s.open[best]++
	return best
}

func (s *Server) give(engine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[engine]--
}
