// Package engine is a stand-in for a model engine: OpenAI-style chat completions
// with SSE, continuous batching, a prefix cache in limited memory, late cache
// events with gaps, a lagging load report, orders with fencing numbers, and
// fault switches. The answer is a function of the prompt, so that callers can
// check that they received the whole answer to their own request.
package engine

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
)

// Config describes one engine.
type Config struct {
	Name     string
	Speed    Speed
	Versions []string
	// Lag delays load reports and cache events.
	Lag time.Duration
	// EventLoss is the share of cache events that are never published.
	EventLoss float64
	// Seed makes event loss repeatable.
	Seed uint64
	// OnCrash is called when a request with the crash mark arrives; the default
	// drops all connections and refuses calls for CrashTime.
	OnCrash func()
	// Stamp writes the times of receipt and emission into each token's delta, so
	// that a caller on the same machine can tell the time on the way.
	Stamp     bool
	CrashTime time.Duration
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	Faults faults.Injector

	config Config
	batch  *batch
	events eventLog
	done   chan struct{}
	down   atomic.Int64
	// crashes counts requests with the crash mark that were run.
	crashes atomic.Int64
	crash   chan struct{}

	mu         sync.Mutex
	versions   []string
	fence      uint64
	orders     []Command
	executions []Execution
	reports    []report
}

// Execution is one request that the engine ran; a version that fails runs it too.
type Execution struct {
	RequestID string `json:"requestId"`
	Version   string `json:"version"`
	From      int    `json:"from"`
}

// Command is a control command.
type Command struct {
	Action  string `json:"action"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// Load is a lagging load report.
type Load struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	KVTokens int      `json:"kvTokens"`
	Versions []string `json:"versions"`
}

type report struct {
	at   time.Time
	load Load
}

// New returns a running engine; Close stops its loop.
func New(config Config) *Server {
	s := &Server{config: config, done: make(chan struct{}), crash: make(chan struct{}), versions: slices.Clone(config.Versions)}
	s.events.random = rand.New(rand.NewPCG(config.Seed, 1))
	s.events.loss = config.EventLoss
	s.batch = newBatch(config.Speed, s.slowness, s.versionSlowness, s.events.add)
	go s.batch.run(s.done)
	go s.sample()
	return s
}

// Close stops the engine.
func (s *Server) Close() {
	close(s.done)
}

// PrefillTokens returns the prompt tokens processed so far and those wasted by
// cancellation.
func (s *Server) PrefillTokens() (all, wasted int64) {
	s.batch.mu.Lock()
	defer s.batch.mu.Unlock()
	return s.batch.prefilledTotal, s.batch.wastedTotal
}

// Executions returns the requests that the engine admitted.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}

// Commands returns the orders that the engine executed.
func (s *Server) Commands() []Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

func (s *Server) slowness() float64 {
	return max(1, s.Faults.Get().Slow)
}

func (s *Server) versionSlowness(version string, running int) float64 {
	return max(1, s.Faults.Get().Version(version, running, "").Slow)
}

// sample records load reports that are read with a lag.
func (s *Server) sample() {
	const interval = 100 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	keep := int(s.config.Lag/interval) + 2
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			running, waiting, kv := s.batch.counts()
			s.mu.Lock()
			s.reports = append(s.reports, report{at: now, load: Load{Running: running, Waiting: waiting, KVTokens: kv}})
			s.reports = s.reports[max(0, len(s.reports)-keep):]
			s.mu.Unlock()
		}
	}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("GET /v1/cache-events", s.cacheEvents)
	mux.HandleFunc("POST /v1/orders", s.order)
	mux.HandleFunc("GET /v1/executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Executions()) })
	mux.HandleFunc("GET /v1/prefill", s.prefill)
	mux.HandleFunc("GET /v1/crashes", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int64{"crashes": s.crashes.Load()})
	})
	mux.HandleFunc("GET /health", s.health)
	mux.Handle("PUT /v1/faults", &s.Faults)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/faults" && s.unavailable() {
			faults.AbortConnection()
		}
		mux.ServeHTTP(w, r)
	})
}

// unavailable says whether the engine is down after a crash or by a switch.
func (s *Server) unavailable() bool {
	return time.Now().UnixNano() < s.down.Load() || s.Faults.Get().Down
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) prefill(w http.ResponseWriter, _ *http.Request) {
	all, wasted := s.PrefillTokens()
	writeJSON(w, map[string]int64{"tokens": all, "wasted": wasted})
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	f := s.Faults.Get()
	if f.Freeze {
		<-r.Context().Done()
		return
	}
	state := "live"
	if f.Leaving {
		state = "leaving"
	}
	s.mu.Lock()
	versions := slices.Clone(s.versions)
	s.mu.Unlock()
	writeJSON(w, map[string]any{"state": state, "versions": versions})
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var load Load
	limit := time.Now().Add(-s.config.Lag)
	for _, r := range s.reports {
		if r.at.After(limit) {
			break
		}
		load = r.load
	}
	load.Versions = slices.Clone(s.versions)
	writeJSON(w, load)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o Command
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Fence < s.fence && !s.Faults.Get().IgnoreFencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	s.fence = max(s.fence, o.Fence)
	s.orders = append(s.orders, o)
	switch o.Action {
	case "load":
		if !slices.Contains(s.versions, o.Version) {
			s.versions = append(s.versions, o.Version)
		}
	case "unload":
		s.versions = slices.DeleteFunc(s.versions, func(v string) bool { return v == o.Version })
	default:
		http.Error(w, "unknown action", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// request is the body of a chat completion call.
type request struct {
	Model      string    `json:"model"`
	Messages   []Message `json:"messages"`
	MaxTokens  int       `json:"max_tokens"`
	Stream     bool      `json:"stream"`
	ResumeFrom int       `json:"resume_from"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
	// Received and Emitted are set with Config.Stamp, in nanoseconds since 1970.
	Received int64 `json:"received,omitempty"`
	Emitted  int64 `json:"emitted,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

type chunk struct {
	ID         string   `json:"id"`
	Object     string   `json:"object"`
	Model      string   `json:"model"`
	TokenIndex int      `json:"token_index"`
	Choices    []choice `json:"choices"`
	Usage      *usage   `json:"usage,omitempty"`
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	var in request
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := s.Faults.Get()
	prompt := PromptText(in.Messages)
	if f.CrashMark != "" && strings.Contains(prompt, f.CrashMark) {
		s.crashNow()
		faults.AbortConnection()
	}
	if !s.serves(in.Model) {
		http.Error(w, "version is not loaded", http.StatusNotFound)
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.logExecution(Execution{RequestID: id, Version: in.Model, From: in.ResumeFrom})
	running, _, _ := s.batch.counts()
	if rand.Float64() < f.Version(in.Model, running, r.URL.Path).FailShare {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	seq := s.submit(id, in, prompt)
	defer s.batch.cancel(seq)
	stream := &streamWriter{w: w, r: r, s: s, seq: seq, id: id, model: in.Model, hash: xxhash.Sum64String(prompt), received: received}
	if in.Stream {
		stream.events()
		return
	}
	stream.whole()
}

func (s *Server) serves(version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.versions, version)
}

func (s *Server) submit(id string, in request, prompt string) *sequence {
	total := AnswerTokens(prompt, in.MaxTokens)
	seq := &sequence{
		id:      id,
		version: in.Model,
		prompt:  PromptTokens(prompt),
		blocks:  promptBlocks(prompt),
		from:    min(in.ResumeFrom, total-1),
		total:   total,
		out:     make(chan int, total),
	}
	s.batch.add(seq)
	return seq
}

func (s *Server) logExecution(x Execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, x)
}

// crashNow drops all streams and refuses calls for the crash time.
func (s *Server) crashNow() {
	s.crashes.Add(1)
	if s.config.OnCrash != nil {
		s.config.OnCrash()
		return
	}
	s.down.Store(time.Now().Add(s.config.CrashTime).UnixNano())
	s.mu.Lock()
	close(s.crash)
	s.crash = make(chan struct{})
	s.mu.Unlock()
}

// crashed returns a channel that is closed when the engine crashes.
func (s *Server) crashed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crash
}
