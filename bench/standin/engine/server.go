// Package engine is a stand-in for a model engine: OpenAI-style chat completions
// with SSE, continuous batching, a prefix cache in limited memory, delayed cache
// events with gaps, a delayed load report, commands with fencing numbers, and
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
	// closes all streams and refuses calls for CrashTime.
	OnCrash func()
	// Stamp writes the times of receipt and emission into each token's delta, so
	// that a caller on the same machine can compute the transit time.
	Stamp     bool
	CrashTime time.Duration
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	Faults faults.Injector

	config    Config
	batcher   *batcher
	events    eventLog
	done      chan struct{}
	downUntil atomic.Int64
	// crashes counts the simulated crashes.
	crashes atomic.Int64
	crashed chan struct{}

	mu           sync.Mutex
	versions     []string
	highestFence uint64
	commands     []Command
	executions   []Execution
	loadReports  []loadReport
}

// Execution is one request that the engine ran, also if a version fault made it fail.
// From is the index of the first token, above 0 for a resumed request.
type Execution struct {
	RequestID string `json:"requestId"`
	Version   string `json:"version"`
	From      int    `json:"from"`
}

// Command is a control command: Action load or unload of a version. Fence is the
// fencing number.
type Command struct {
	Action  string `json:"action"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// Load is a load report, published with the delay Config.Lag.
type Load struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	KVTokens int      `json:"kvTokens"`
	Versions []string `json:"versions"`
}

type loadReport struct {
	at   time.Time
	load Load
}

// New returns a running engine; Close stops its goroutines.
func New(config Config) *Server {
	s := &Server{config: config, done: make(chan struct{}), crashed: make(chan struct{}), versions: slices.Clone(config.Versions)}
	s.events.rng = rand.New(rand.NewPCG(config.Seed, 1))
	s.events.lossShare = config.EventLoss
	s.batcher = newBatcher(config.Speed, s.slowdown, s.versionSlowdown, s.events.add)
	go s.batcher.run(s.done)
	go s.sampleLoad()
	return s
}

// Close stops the engine. Call it once.
func (s *Server) Close() {
	close(s.done)
}

// PrefillTokens returns the prompt tokens processed so far and those wasted: tokens of
// requests that were canceled before their first token, and tokens that resumed
// requests had to process.
func (s *Server) PrefillTokens() (all, wasted int64) {
	s.batcher.mu.Lock()
	defer s.batcher.mu.Unlock()
	return s.batcher.prefilledTokens, s.batcher.wastedTokens
}

// Executions returns the requests that the engine ran, oldest first.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}

// Commands returns the commands whose fencing number the engine accepted, oldest first.
func (s *Server) Commands() []Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.commands)
}

func (s *Server) slowdown() float64 {
	return max(1, s.Faults.Get().Slow)
}

func (s *Server) versionSlowdown(version string, running int) float64 {
	return max(1, s.Faults.Get().Version(version, running, "").Slow)
}

// sampleLoad records a load report every 100 ms, until Close, and keeps those of the
// last Config.Lag.
func (s *Server) sampleLoad() {
	const interval = 100 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	maxReports := int(s.config.Lag/interval) + 2
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			running, waiting, kv := s.batcher.counts()
			s.mu.Lock()
			s.loadReports = append(s.loadReports, loadReport{at: now, load: Load{Running: running, Waiting: waiting, KVTokens: kv}})
			s.loadReports = s.loadReports[max(0, len(s.loadReports)-maxReports):]
			s.mu.Unlock()
		}
	}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.handleCompletion)
	mux.HandleFunc("GET /v1/load", s.handleLoad)
	mux.HandleFunc("GET /v1/cache-events", s.handleCacheEvents)
	mux.HandleFunc("POST /v1/orders", s.handleCommand)
	mux.HandleFunc("GET /v1/executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Executions()) })
	mux.HandleFunc("GET /v1/prefill", s.handlePrefill)
	mux.HandleFunc("GET /v1/crashes", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int64{"crashes": s.crashes.Load()})
	})
	mux.HandleFunc("GET /health", s.handleHealth)
	mux.Handle("PUT /v1/faults", &s.Faults)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/faults" && s.unavailable() {
			faults.AbortConnection()
		}
		mux.ServeHTTP(w, r)
	})
}

// unavailable reports whether the engine is down after a crash or by a fault switch.
func (s *Server) unavailable() bool {
	return time.Now().UnixNano() < s.downUntil.Load() || s.Faults.Get().Down
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) handlePrefill(w http.ResponseWriter, _ *http.Request) {
	all, wasted := s.PrefillTokens()
	writeJSON(w, map[string]int64{"tokens": all, "wasted": wasted})
}

func (s *Server) handleHealth(w http.ResponseWriter, r *http.Request) {
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

// handleLoad answers with the newest load report that is older than Config.Lag. The
// versions are the present ones.
func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var load Load
	limit := time.Now().Add(-s.config.Lag)
	for _, r := range s.loadReports {
		if r.at.After(limit) {
			break
		}
		load = r.load
	}
	load.Versions = slices.Clone(s.versions)
	writeJSON(w, load)
}

// handleCommand executes a command. A fencing number below the highest one so far is
// answered with status 409.
func (s *Server) handleCommand(w http.ResponseWriter, r *http.Request) {
	var command Command
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if command.Fence < s.highestFence && !s.Faults.Get().IgnoreFencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	s.highestFence = max(s.highestFence, command.Fence)
	s.commands = append(s.commands, command)
	switch command.Action {
	case "load":
		if !slices.Contains(s.versions, command.Version) {
			s.versions = append(s.versions, command.Version)
		}
	case "unload":
		s.versions = slices.DeleteFunc(s.versions, func(v string) bool { return v == command.Version })
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

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	var body request
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := s.Faults.Get()
	prompt := PromptText(body.Messages)
	if f.CrashMark != "" && strings.Contains(prompt, f.CrashMark) {
		s.simulateCrash()
		faults.AbortConnection()
	}
	if !s.hasVersion(body.Model) {
		http.Error(w, "version is not loaded", http.StatusNotFound)
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.logExecution(Execution{RequestID: id, Version: body.Model, From: body.ResumeFrom})
	running, _, _ := s.batcher.counts()
	if rand.Float64() < f.Version(body.Model, running, r.URL.Path).FailShare {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	seq := s.enqueue(id, body, prompt)
	defer s.batcher.cancel(seq)
	answer := &answerWriter{w: w, r: r, server: s, sequence: seq, id: id, model: body.Model, promptHash: xxhash.Sum64String(prompt), received: received}
	if body.Stream {
		answer.writeStream()
		return
	}
	answer.writeDocument()
}

func (s *Server) hasVersion(version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.versions, version)
}

func (s *Server) enqueue(id string, body request, prompt string) *sequence {
	total := AnswerTokens(prompt, body.MaxTokens)
	seq := &sequence{
		id:           id,
		version:      body.Model,
		promptTokens: PromptTokens(prompt),
		blocks:       promptBlocks(prompt),
		resumeFrom:   min(body.ResumeFrom, total-1),
		answerTokens: total,
		tokens:       make(chan int, total),
	}
	s.batcher.add(seq)
	return seq
}

func (s *Server) logExecution(execution Execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, execution)
}

// simulateCrash calls Config.OnCrash or, by default, closes all streams and refuses calls
// for Config.CrashTime.
func (s *Server) simulateCrash() {
	s.crashes.Add(1)
	if s.config.OnCrash != nil {
		s.config.OnCrash()
		return
	}
	s.downUntil.Store(time.Now().Add(s.config.CrashTime).UnixNano())
	s.mu.Lock()
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.mu.Unlock()
}

// crashSignal returns a channel that is closed when the engine crashes.
func (s *Server) crashSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}
