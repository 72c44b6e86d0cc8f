// Package plain is a stand-in for a plain service such as a records or booking
// server. It logs each call that it runs as an execution, so that tests can compare
// the calls that ran with the answers that callers got.
package plain

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
)

// VersionHeader names the version that a request is meant for.
const VersionHeader = "X-Marjoram-Version"

// Execution is one call that ran.
type Execution struct {
	RequestID string `json:"requestId"`
	Key       string `json:"key,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Version   string `json:"version,omitempty"`
	Body      string `json:"body,omitempty"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	Faults faults.Injector
	// ServiceTime is the processing time of one call.
	ServiceTime time.Duration
	// Versions are the versions that the health answer lists.
	Versions []string

	mu         sync.Mutex
	executions []Execution
	running    int
}

// Executions returns all calls that ran, oldest first.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.handleHealth)
	mux.HandleFunc("GET /v1/executions", s.handleExecutions)
	mux.Handle("PUT /v1/faults", &s.Faults)
	mux.HandleFunc("/", s.handleCall)
	return mux
}

func (s *Server) handleHealth(w http.ResponseWriter, r *http.Request) {
	f := s.Faults.Get()
	if f.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.Freeze {
		<-r.Context().Done()
		return
	}
	state := "live"
	if f.Leaving {
		state = "leaving"
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"state": state, "versions": s.Versions})
}

func (s *Server) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Executions())
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	f := s.Faults.Get()
	if f.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.CrashMark != "" && bytes.Contains(body, []byte(f.CrashMark)) {
		faults.AbortConnection()
	}
	if rand.Float64() < f.DropCalls {
		faults.AbortConnection()
	}
	running := s.beginCall(r, body)
	defer s.endCall()
	version := f.Version(r.Header.Get(VersionHeader), running, r.URL.Path)
	time.Sleep(s.processingTime(f, version))
	if f.Freeze {
		<-r.Context().Done()
		return
	}
	if rand.Float64() < f.DropAnswers {
		faults.AbortConnection()
	}
	if rand.Float64() < version.FailShare {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"requestId": r.Header.Get("X-Request-Id"), "path": r.URL.Path, "body": string(body)})
}

// beginCall logs the call as an execution and returns the number of running calls.
func (s *Server) beginCall(r *http.Request, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.executions = append(s.executions, Execution{
		RequestID: r.Header.Get("X-Request-Id"),
		Key:       r.Header.Get("Idempotency-Key"),
		Method:    r.Method,
		Path:      r.URL.Path,
		Version:   r.Header.Get(VersionHeader),
		Body:      string(body),
	})
	return s.running
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) processingTime(f faults.Switches, v faults.VersionFault) time.Duration {
	factor := max(1, f.Slow) * max(1, v.Slow)
	return time.Duration(float64(s.ServiceTime)*factor) + f.Delay
}
