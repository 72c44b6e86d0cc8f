package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// txTime is the time of one transaction, txMs in the settings.
	txTime = 5 * time.Millisecond
	// feedPoll is the interval at which a feed call looks for changes.
	feedPoll = 5 * time.Millisecond
	// pageRows bounds the rows of one answer.
	pageRows = 500
)

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) fullKey() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store plays the platform's metadata store. It answers every call, loses nothing and applies
// each transaction once.
type store struct {
	started time.Time

	mu    sync.Mutex
	rows  map[rowKey]row
	blobs map[string][]byte
	ver   uint64
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowKey]row), blobs: make(map[string][]byte)}
}

// put writes a row as the operator or a server, and returns the time of the acknowledgement.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Value: data, Ver: s.ver}
	return time.Now()
}

// remove deletes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Ver: s.ver, Deleted: true}
}

// get decodes a row into out and reports whether the row exists.
func (s *store) get(table, key string, out any) bool {
	s.mu.Lock()
	r, found := s.rows[rowKey{table, "", key}]
	s.mu.Unlock()
	return found && !r.Deleted && json.Unmarshal(r.Value, out) == nil
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.list)
	mux.HandleFunc("GET /rows-parts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{"parts": []string{""}})
	})
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("PUT /blob-put/{id}", s.putBlob)
	mux.HandleFunc("GET /blob-get/{id}", s.getBlob)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// answer returns the body of an answer about rows. The caller holds mu.
func (s *store) answer(rows []row, hasMore bool) map[string]any {
	if rows == nil {
		rows = []row{}
	}
	return map[string]any{"rows": rows, "hasMore": hasMore, "ver": s.ver, "nowMs": time.Since(s.started).Milliseconds()}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct{ Expect, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, change := range append(slices.Clone(in.Puts), in.Remove...) {
		if change.Table == "op" || change.Table == "servers" {
			http.Error(w, "read only", http.StatusForbidden)
			return
		}
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, current := false, []row{}
	for _, e := range in.Expect {
		now := s.rows[e.fullKey()]
		if now.Deleted {
			now = row{}
		}
		if now.Ver != e.Ver {
			conflict = true
		}
		if now.Ver != 0 {
			current = append(current, now)
		}
	}
	if conflict {
		writeJSON(w, http.StatusPreconditionFailed, s.answer(current, false))
		return
	}
	s.ver++
	for _, change := range in.Puts {
		s.rows[change.fullKey()] = row{Table: change.Table, Part: change.Part, Key: change.Key, Value: change.Value, Ver: s.ver}
	}
	for _, change := range in.Remove {
		s.rows[change.fullKey()] = row{Table: change.Table, Part: change.Part, Key: change.Key, Ver: s.ver, Deleted: true}
	}
	writeJSON(w, http.StatusOK, map[string]any{"ver": s.ver, "nowMs": time.Since(s.started).Milliseconds()})
}

// selected returns the rows for which match returns true. The caller holds mu.
func (s *store) selected(match func(row) bool) []row {
	var out []row
	for _, r := range s.rows {
		if match(r) {
			out = append(out, r)
		}
	}
	return out
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := min(number(q, "limit", pageRows), pageRows)
	s.mu.Lock()
	rows := s.selected(func(r row) bool {
		return !r.Deleted && r.Table == q.Get("table") && r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to"))
	})
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	hasMore := len(rows) > limit
	if hasMore {
		rows = rows[:limit]
	}
	body := s.answer(rows, hasMore)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := uint64(number(q, "after", 0))
	deadline := time.Now().Add(time.Duration(number(q, "waitMs", 0)) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := s.selected(func(r row) bool { return r.Table == q.Get("table") && r.Ver > after })
		slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Ver, b.Ver) })
		body := s.answer(rows, false)
		s.mu.Unlock()
		if len(rows) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			writeJSON(w, http.StatusOK, body)
			return
		}
		time.Sleep(feedPoll)
	}
}

func (s *store) putBlob(w http.ResponseWriter, r *http.Request) {
	data := make([]byte, 0, max(0, r.ContentLength))
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buffer)
		data = append(data, buffer[:n]...)
		if err != nil {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.blobs[r.PathValue("id")]; exists && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.blobs[r.PathValue("id")] = data
}

func (s *store) getBlob(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, found := s.blobs[r.PathValue("id")]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func number(q url.Values, name string, fallback int) int {
	if n, err := strconv.Atoi(q.Get(name)); err == nil {
		return n
	}
	return fallback
}
